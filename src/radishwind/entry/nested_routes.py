"""Tells routes that backend servers call from those that callers use.

A call that a server makes while it runs something comes to the node beside it
like any request, with no field that says so. If it is refused, the run that
waits for it is lost with the slot that it holds. So it is told apart by when it
comes: callers come whatever the server beside is doing, calls come the more the
more it runs, and never while it runs nothing. Each request weighs these two
explanations of its route by their likelihood; nothing is inferred from a server
that is always equally busy.
"""

from collections.abc import Callable
import math

#: Routes remembered; the longest known is forgotten.
MOST_ROUTES = 2048

#: Evidence from which on requests of a route count as calls: they came so much
#: (e to this power) more likely with what the server ran.
ENOUGH = 4.0

#: Evidence is kept up to this, so that a route which callers begin to use is
#: soon one of theirs.
_MOST = 8.0

#: What one request counts at most, for and against. The mean follows a change
#: of load with a delay, so that one request proves little; one that comes while
#: nothing runs was no call.
_MOST_FOR = 0.7
_MOST_AGAINST = 3.0

#: Requests that the server runs in the mean count for at least this.
_LEAST_MEAN = 0.05

#: A run that is lost with its first call ends before the others have come (s):
#: a request so soon after the last run proves nothing.
_AFTERMATH_S = 0.05

#: Time over which the mean is taken (s).
_MEAN_S = 1.0

#: Requests of a route that come closer than this (s) count in part: a rise of
#: load lasts as long as the mean lags, whatever comes in it.
_APART_S = 0.5


class LocalConcurrency:
    """Counts what the server beside runs, now and in the mean of late."""

    def __init__(self) -> None:
        self._running = 0
        self._retries = 0
        self._mean = 0.0
        self._since = -math.inf

    @property
    def running(self) -> int:
        """Requests that run there now."""
        return self._running

    @property
    def retry_fraction(self) -> float:
        """The part of them that were sent to a server before."""
        return self._retries / self._running if self._running else 0.0

    def run_started(self, now: float, *, is_retry: bool = False) -> None:
        """Takes that a run began (monotonic s)."""
        self._mean = self.mean(now)
        self._since = now
        self._running += 1
        self._retries += is_retry

    def run_ended(self, now: float, *, is_retry: bool = False) -> None:
        """Takes that a run ended (monotonic s)."""
        self._mean = self.mean(now)
        self._since = now
        self._running -= 1
        self._retries -= is_retry

    def just_ended(self, now: float) -> bool:
        """Returns whether a run ended only just before."""
        return now - self._since < _AFTERMATH_S

    def mean(self, now: float) -> float:
        """Returns how many ran there in the last seconds."""
        faded = math.exp((self._since - now) / _MEAN_S)
        return self._running + (self._mean - self._running) * faded


class NestedRouteDetector:
    """Learns which routes' requests are calls of the server beside."""

    def __init__(
        self, runs: LocalConcurrency, learned: Callable[[str, bool], None]
    ) -> None:
        """Makes a learner that knows nothing yet.

        Args:
          runs: what the server beside runs.
          learned: told of a route whose requests now count as calls, or no
            longer do.
        """
        self._runs = runs
        self._learned = learned
        self._evidence: dict[str, float] = {}
        # By route, when the last request came (monotonic s).
        self._seen: dict[str, float] = {}
        self._callers: set[str] = set()

    def observe(self, route: str, now: float) -> bool:
        """Takes a request; returns whether it counts as a call of the server.

        Args:
          route: that takes it.
          now: monotonic time (s).
        """
        before = self._evidence.get(route, 0.0)
        step = self._step(now)
        if self._runs.running:
            # What follows soon is seen against the same mean, and proves
            # little anew.
            since_s = now - self._seen.get(route, -math.inf)
            step *= min(1.0, since_s / _APART_S)
        self._seen[route] = now
        after = max(-_MOST, min(_MOST, before + step))
        self._evidence[route] = after
        if len(self._evidence) > MOST_ROUTES:
            oldest = next(iter(self._evidence))
            del self._evidence[oldest], self._seen[oldest]
            self._callers.discard(oldest)
        if after <= -ENOUGH:
            self._callers.add(route)
        is_nested = after >= ENOUGH
        if is_nested:
            self._callers.discard(route)
        if is_nested != (before >= ENOUGH):
            self._learned(route, is_nested)
        return is_nested and self._runs.running > 0

    def is_external(self, route: str) -> bool:
        """Returns whether requests of `route` surely are callers' own.

        Neither this nor that is known of a route at first, nor at a server
        that was always busy.
        """
        return route in self._callers

    def _step(self, now: float) -> float:
        """Returns the logarithm of the likelihoods' ratio, bounded."""
        if not self._runs.running:
            return 0.0 if self._runs.just_ended(now) else -_MOST_AGAINST
        mean = max(_LEAST_MEAN, self._runs.mean(now))
        ratio = math.log(self._runs.running / mean)
        return max(-_MOST_AGAINST, min(_MOST_FOR, ratio))
