"""Distinguishes routes that backend servers call from those of callers.

A backend server that processes a request may send further requests, here called
nested calls, through its node. They arrive like any request, and no field
marks them. If one is refused, the request that waits for it fails, and the slot
that it holds is wasted. Therefore they are detected by their arrival times:
requests of external callers arrive independently of what the local server does,
whereas nested calls arrive the more often the more requests the server
processes, and never while it processes none. Each request adds the
log-likelihood ratio of these two hypotheses to the evidence for its route.
Nothing can be inferred from a server that is always equally busy.
"""

from collections.abc import Callable
import math

#: Routes remembered; the one known for longest is forgotten first.
MAX_ROUTES = 2048

#: Evidence (log-likelihood ratio) from which on requests of a route count as
#: nested calls: what the server processed made them e to this power times more
#: likely.
DECISION_EVIDENCE = 4.0

#: Bound of the evidence, so that a route that external callers begin to use is
#: soon recognized as external.
_MAX_EVIDENCE = 8.0

#: Bounds of the evidence of one request, for and against a nested call. The
#: bound for is low, since the mean concurrency follows a change of load with a
#: delay. The bound against is high: a request that arrives while the server
#: processes nothing was no nested call.
_MAX_STEP_FOR = 0.7
_MAX_STEP_AGAINST = 3.0

#: Lower bound of the mean concurrency in the likelihood ratio.
_MIN_MEAN_CONCURRENCY = 0.05

#: Requests that arrive within this time (s) after the last run ended while
#: nothing runs are no evidence: a run that fails with its first nested call
#: ends before its other nested calls have arrived.
_AFTERMATH_S = 0.05

#: Time constant of the mean concurrency (s).
_MEAN_TIME_CONSTANT_S = 1.0

#: Requests of a route that arrive closer together than this (s) count in part:
#: after a rise of load the mean lags behind, whatever arrives in that time.
_INDEPENDENCE_S = 0.5


class LocalConcurrency:
    """Counts requests that the local server processes, now and on average."""

    def __init__(self) -> None:
        self._running = 0
        self._retries = 0
        self._mean = 0.0
        self._changed_at = -math.inf

    @property
    def running(self) -> int:
        """Number of requests that run there now."""
        return self._running

    @property
    def retry_fraction(self) -> float:
        """Fraction of the running requests that are retries or hedges."""
        return self._retries / self._running if self._running else 0.0

    def run_started(self, now: float, *, is_retry: bool = False) -> None:
        """Records that a run started at `now` (monotonic s)."""
        self._mean = self.mean(now)
        self._changed_at = now
        self._running += 1
        self._retries += is_retry

    def run_ended(self, now: float, *, is_retry: bool = False) -> None:
        """Records that a run ended at `now` (monotonic s)."""
        self._mean = self.mean(now)
        self._changed_at = now
        self._running -= 1
        self._retries -= is_retry

    def just_ended(self, now: float) -> bool:
        """Returns whether a run has just ended, if none is running now."""
        return now - self._changed_at < _AFTERMATH_S

    def mean(self, now: float) -> float:
        """Returns the exponentially weighted mean of the running requests."""
        weight = math.exp((self._changed_at - now) / _MEAN_TIME_CONSTANT_S)
        return self._running + (self._mean - self._running) * weight


class NestedRouteDetector:
    """Learns on which routes the local backend server sends nested calls."""

    def __init__(
        self, runs: LocalConcurrency, on_change: Callable[[str, bool], None]
    ) -> None:
        """Creates a detector without evidence.

        Args:
          runs: the requests that the local server processes.
          on_change: called with a route and whether its requests now count as
            nested calls, when this changes.
        """
        self._runs = runs
        self._on_change = on_change
        self._evidence: dict[str, float] = {}
        # By route, when the last request arrived (monotonic s).
        self._last_arrival: dict[str, float] = {}
        self._external: set[str] = set()

    def observe(self, route: str, now: float) -> bool:
        """Records a request and returns whether it counts as a nested call.

        Args:
          route: the route of the request.
          now: monotonic time (s).
        """
        before = self._evidence.get(route, 0.0)
        step = self._step(now)
        if self._runs.running:
            # Requests in quick succession are compared with nearly the same
            # mean, so that they are not independent evidence.
            since_s = now - self._last_arrival.get(route, -math.inf)
            step *= min(1.0, since_s / _INDEPENDENCE_S)
        self._last_arrival[route] = now
        after = max(-_MAX_EVIDENCE, min(_MAX_EVIDENCE, before + step))
        self._evidence[route] = after
        if len(self._evidence) > MAX_ROUTES:
            oldest = next(iter(self._evidence))
            del self._evidence[oldest], self._last_arrival[oldest]
            self._external.discard(oldest)
        if after <= -DECISION_EVIDENCE:
            self._external.add(route)
        is_nested = after >= DECISION_EVIDENCE
        if is_nested:
            self._external.discard(route)
        if is_nested != (before >= DECISION_EVIDENCE):
            self._on_change(route, is_nested)
        return is_nested and self._runs.running > 0

    def is_external(self, route: str) -> bool:
        """Returns whether `route` is known to be used by external callers.

        A new route is known neither as external nor as nested. The same holds
        for every route if the local server was always busy.
        """
        return route in self._external

    def _step(self, now: float) -> float:
        """Returns the bounded log-likelihood ratio of a request at `now`."""
        if not self._runs.running:
            return 0.0 if self._runs.just_ended(now) else -_MAX_STEP_AGAINST
        mean = max(_MIN_MEAN_CONCURRENCY, self._runs.mean(now))
        ratio = math.log(self._runs.running / mean)
        return max(-_MAX_STEP_AGAINST, min(_MAX_STEP_FOR, ratio))
