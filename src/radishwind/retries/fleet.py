"""A retry budget of the whole fleet, kept without coordination.

In any time window all nodes together may send retries up to a share of the
requests plus a fixed slack. Each node uses the share of its own requests and an
equal part of the slack, so that the sum stays within the bound whatever each
node knows. Hedges count as retries.
"""

import collections
from collections.abc import Callable
from typing import TYPE_CHECKING

from radishwind.core.codes import ResultCode
from radishwind.http.types import is_resendable
from radishwind.http.types import is_server_error
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.retries.policy import RetryPolicy

if TYPE_CHECKING:
    from radishwind.entry.call import Call

#: Fraction of the allowed retries that is used; the rest is a margin for
#: requests that other nodes count differently.
USED_FRACTION = 0.5

#: Fraction of the budget of a service that is reserved for nested calls if the
#: service receives such. The sender of a nested call does not retry, and each
#: failed call fails the request that waits for it; an external caller may retry
#: by itself, at no cost to the budget.
NESTED_FRACTION = 0.6

#: Minimum number of nodes among which the slack is divided: a node that has
#: just started knows only of itself.
MIN_NODES = 8

#: Maximum number of attempts of one call, including those that were refused
#: before they reached a server.
MAX_ATTEMPTS = 6

#: Number of steps in which a window slides.
_STEPS = 10

#: Refusals that any other target would repeat.
_FINAL = frozenset({ResultCode.DEADLINE_PASSED, ResultCode.QUARANTINED})

#: Refusals by the server itself, which has therefore received the request.
_SERVER_REFUSALS = frozenset(
    {ResultCode.SERVER_SHED, ResultCode.SERVER_REPLACED}
)

#: A call with less time than this to its deadline (s) is not retried.
MIN_TIME_LEFT_S = 0.03


class _Window:
    """A counter over a time window that slides in steps."""

    __slots__ = ("_counts", "_step_s", "_steps")

    def __init__(self, window_s: float) -> None:
        self._step_s = window_s / _STEPS
        self._steps: collections.deque[int] = collections.deque()
        self._counts: collections.deque[float] = collections.deque()

    def add(self, now: float, count: float = 1) -> None:
        step = int(now / self._step_s)
        if self._steps and self._steps[-1] == step:
            self._counts[-1] += count
            return
        self._steps.append(step)
        self._counts.append(count)

    def total(self, now: float) -> float:
        oldest = int(now / self._step_s) - _STEPS
        while self._steps and self._steps[0] < oldest:
            self._steps.popleft()
            self._counts.popleft()
        return sum(self._counts)


class FleetRetryBudget:
    """Counts requests and retries by service and limits the retries."""

    def __init__(
        self,
        share: float,
        slack: float,
        window_s: float,
        node_count: Callable[[], int],
    ) -> None:
        """Creates a budget.

        Args:
          share: allowed retries as a share of requests, for the whole fleet.
          slack: further retries allowed in one window, for the whole fleet.
          window_s: length of the window (s).
          node_count: returns the number of nodes that share the budget; it
            must rather be too high than too low.
        """
        self._node_count = node_count
        self._share = share * USED_FRACTION
        self._slack = slack * USED_FRACTION
        self._window_s = window_s
        self._requests: dict[str, _Window] = {}
        self._retries: dict[str, _Window] = {}
        self._nested: dict[str, _Window] = {}

    def record_request(self, service: str, now: float) -> None:
        """Counts a request of an external caller for `service`."""
        self._window(self._requests, service).add(now)

    def record_nested(
        self, service: str, now: float, retry_probability: float
    ) -> None:
        """Counts a nested call, which does not add to the allowed retries.

        Args:
          service: the service called.
          now: monotonic time (s).
          retry_probability: probability that the request that sent the call is
            a retry; nested calls of a retry count as retries.
        """
        self._window(self._nested, service).add(now)
        if retry_probability:
            self._window(self._retries, service).add(now, retry_probability)

    def try_spend(
        self, service: str, now: float, *, nested: bool = False
    ) -> bool:
        """Takes one retry of the budget; returns `False` if none is left."""
        requests = self._window(self._requests, service).total(now)
        retries = self._window(self._retries, service)
        allowed = self._share * requests + self._slack / max(
            MIN_NODES, self._node_count()
        )
        if not nested and self._window(self._nested, service).total(now):
            allowed *= 1 - NESTED_FRACTION
        if retries.total(now) + 1 > allowed:
            return False
        retries.add(now)
        return True

    def _window(self, windows: dict[str, _Window], service: str) -> _Window:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _Window(self._window_s)
        return window


class FleetRetryPolicy(RetryPolicy):
    """Retries within the fleet's budget.

    A retry after a refusal that came before any server is free.
    """

    def __init__(
        self,
        budget: FleetRetryBudget,
        retry_fraction: Callable[[], float] = float,
    ) -> None:
        """Creates a policy.

        Args:
          budget: the budget that all nodes share.
          retry_fraction: returns the fraction of the requests running at the
            local server that are retries; 0 by default.
        """
        self._budget = budget
        self._retry_fraction = retry_fraction

    def record_first_attempt(self, call: "Call", now: float) -> None:
        if call.depth:
            self._budget.record_nested(
                call.service, now, self._retry_fraction()
            )
        elif call.is_external:
            self._budget.record_request(call.service, now)

    def should_retry(
        self, call: "Call", outcome: Outcome, attempts: int, now: float
    ) -> bool:
        if attempts >= MAX_ATTEMPTS or now + MIN_TIME_LEFT_S >= call.deadline:
            return False
        if not is_resendable(call.request.body):
            return False
        if isinstance(outcome, NotRun):
            if outcome.code in _FINAL:
                return False
            if outcome.code not in _SERVER_REFUSALS:
                return True
            return self._spend(call, now)
        if not call.idempotent:
            return False
        if isinstance(outcome, Done) and not is_server_error(
            outcome.response.status
        ):
            return False
        return self._spend(call, now)

    def _spend(self, call: "Call", now: float) -> bool:
        return self._budget.try_spend(call.service, now, nested=call.depth > 0)
