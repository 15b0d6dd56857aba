"""A budget of repeats that all nodes share without asking one another.

All nodes together may repeat a share of the requests and a fixed slack in a
window of time. Each takes the share of its own requests, and of the slack its
part by the number of nodes, so that their sum holds whatever each one knows.
"""

import collections
from collections.abc import Callable
from typing import TYPE_CHECKING

from radishwind.core.codes import ResultCode
from radishwind.http.types import is_at_hand
from radishwind.http.types import is_server_error
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.retries.policy import RetryPolicy

if TYPE_CHECKING:
    from radishwind.entry.call import Call

#: The part of what is allowed that is used; the rest covers what other nodes
#: count otherwise.
USED_PART = 0.5

#: The part of what is allowed that is kept for nested calls where a service
#: gets such: their callers don't come back, and each that fails costs the run
#: that waits for it. A caller outside may come again, which takes no repeat.
NESTED_PART = 0.6

#: Nodes that are taken to share the slack at least: one that just started
#: knows of itself only.
LEAST_NODES = 8

#: Attempts of one call, with those that were refused before any server.
MOST_ATTEMPTS = 6

#: Windows are counted in so many steps.
_STEPS = 10

#: Refusals that hold at any target.
_FINAL = frozenset({ResultCode.DEADLINE_PASSED, ResultCode.QUARANTINED})

#: Refusals by the server itself, which count as arrivals there.
_ARRIVED = frozenset({ResultCode.SERVER_SHED, ResultCode.SERVER_REPLACED})

#: A request is not sent again with less than this left (s).
LEAST_LEFT_S = 0.03


class _Window:
    """Counts in a window that slides by steps."""

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
    """Counts requests and repeats by service."""

    def __init__(
        self,
        share: float,
        slack: float,
        window_s: float,
        nodes: Callable[[], int],
    ) -> None:
        """Makes a budget.

        Args:
          share: repeats as a share of requests, over all nodes.
          slack: repeats beyond it, over all nodes, in one window.
          window_s: the window (s).
          nodes: returns how many nodes share the budget, rather too many.
        """
        self._nodes = nodes
        self._share = share * USED_PART
        self._slack = slack * USED_PART
        self._window_s = window_s
        self._requests: dict[str, _Window] = {}
        self._repeats: dict[str, _Window] = {}
        self._nested: dict[str, _Window] = {}

    def record_request(self, service: str, now: float) -> None:
        """Counts a caller's request for `service`."""
        self._window(self._requests, service).add(now)

    def record_nested(self, service: str, now: float, repeated: float) -> None:
        """Counts a call of a run, which adds nothing to what is allowed.

        Args:
          service: that is called.
          now: monotonic time (s).
          repeated: how likely the run was a repeat, whose calls are repeats.
        """
        self._window(self._nested, service).add(now)
        if repeated:
            self._window(self._repeats, service).add(now, repeated)

    def try_spend(
        self, service: str, now: float, *, nested: bool = False
    ) -> bool:
        """Takes one repeat; returns whether there was one left."""
        requests = self._window(self._requests, service).total(now)
        repeats = self._window(self._repeats, service)
        allowed = self._share * requests + self._slack / max(
            LEAST_NODES, self._nodes()
        )
        if not nested and self._window(self._nested, service).total(now):
            allowed *= 1 - NESTED_PART
        if repeats.total(now) + 1 > allowed:
            return False
        repeats.add(now)
        return True

    def _window(self, kind: dict[str, _Window], service: str) -> _Window:
        window = kind.get(service)
        if window is None:
            window = kind[service] = _Window(self._window_s)
        return window


class FleetRetryPolicy(RetryPolicy):
    """Repeats within the shared budget; a refusal before any server is free."""

    def __init__(
        self,
        budget: FleetRetryBudget,
        retry_fraction: Callable[[], float] = float,
    ) -> None:
        """Wires the policy.

        Args:
          budget: that all nodes share.
          retry_fraction: returns the part of what runs at the server beside
            that is a repeat; by default none is.
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
        if attempts >= MOST_ATTEMPTS or now + LEAST_LEFT_S >= call.deadline:
            return False
        if not is_at_hand(call.request.body):
            return False
        if isinstance(outcome, NotRun):
            if outcome.code in _FINAL:
                return False
            if outcome.code not in _ARRIVED:
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
