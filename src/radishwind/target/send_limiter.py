"""Limits the requests sent to the backend server, whatever the reason is.

The node beside a server is the only one that sends to it, so its count is
exact. Each cause of a limit states sliding windows and how many requests these
may hold; a request is sent only if it fits into all of them.
"""

import abc
import collections
from collections.abc import Sequence
import math

import msgspec

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.outcomes.model import NotRun

#: Fraction of a limit reserved for requests of the highest priority while
#: their rate is unknown.
INITIAL_RESERVED_FRACTION = 1 / 3

#: Upper bound of the sent requests that are tracked, and so of a window.
MAX_TRACKED = 1024

#: Time over which the rate of the highest priority is measured (s), and the
#: shortest time after which it counts as known (s).
DEMAND_WINDOW_S = 4.0
MIN_DEMAND_S = 1.1

#: Time for which the calls of a group are compared by their rank (s).
GROUP_WINDOW_S = 1.1

#: Lower bound of the Retry-After of a refusal (s).
_MIN_RETRY_AFTER_S = 0.05


class SendWindow(msgspec.Struct, frozen=True):
    """A sliding window and the requests that may be sent within it.

    Attributes:
      window_s: its length (s).
      max_requests: requests that may be sent in any such time; at most
        `MAX_TRACKED`.
      code: result code of a refusal by this window.
      detail: explanation of such a refusal.
      since: requests sent before this don't count (monotonic s).
      opens_at: no request may be sent before this (monotonic s).
      includes_checks: whether health checks count as well.
    """

    window_s: float
    max_requests: int
    code: ResultCode
    detail: str
    since: float = -math.inf
    opens_at: float = -math.inf
    includes_checks: bool = False


class LimitCause(abc.ABC):
    """A reason for which the requests to the server are limited."""

    @abc.abstractmethod
    def windows(self, now: float) -> Sequence[SendWindow]:
        """Returns the windows in force at `now`; empty for no limit."""

    @property
    def stated_per_s(self) -> float | None:
        """The limit if the server itself states it (requests/s)."""
        return None


class SendLimiter(abc.ABC):
    """Decides whether the backend server may be sent one more request."""

    @abc.abstractmethod
    def refusal(self, call: Call, waiting: int) -> NotRun | None:
        """Returns the refusal of a `call` that had better not wait here.

        Args:
          call: the call that would wait.
          waiting: requests already waiting.

        Returns:
          The refusal; `None` if the call may wait.
        """

    @abc.abstractmethod
    def try_send(self, call: Call) -> NotRun | None:
        """Counts `call` as sent now, or returns why it must not be sent."""

    @abc.abstractmethod
    def remaining(self) -> int | None:
        """Returns how many requests may be sent now; `None` if unlimited."""

    @property
    @abc.abstractmethod
    def stated_per_s(self) -> float | None:
        """The limit that the server states (requests/s); `None` for none."""

    @abc.abstractmethod
    def wait_s(self) -> float:
        """Returns the time until a request may be sent (s); 0 if it is now."""


class NoSendLimiter(SendLimiter):
    """Limits nothing."""

    def refusal(self, call: Call, waiting: int) -> NotRun | None:
        return None

    def try_send(self, call: Call) -> NotRun | None:
        return None

    def remaining(self) -> int | None:
        return None

    @property
    def stated_per_s(self) -> float | None:
        return None

    def wait_s(self) -> float:
        return 0.0


class WindowLimiter(SendLimiter):
    """Applies the windows of all causes to one record of sent requests."""

    def __init__(self, clock: Clock, causes: Sequence[LimitCause]) -> None:
        """Creates a limiter that has sent nothing.

        Args:
          clock: the clock.
          causes: the reasons for which requests are limited.
        """
        self._clock = clock
        self._causes = tuple(causes)
        # Send times (monotonic s) and priorities of the latest requests.
        self._sent: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=MAX_TRACKED
        )
        # When the latest health checks were sent (monotonic s).
        self._checks: collections.deque[float] = collections.deque(
            maxlen=MAX_TRACKED
        )
        # When requests of the highest priority were offered (monotonic s).
        self._highest_offers: collections.deque[float] = collections.deque(
            maxlen=MAX_TRACKED
        )
        self._highest_priority: int | None = None
        # Calls with a group rank offered recently, by their id, the oldest
        # first, and when (monotonic s).
        self._group_offers: dict[str, float] = {}
        # Since when offers are recorded: while there is a limit (monotonic s).
        self._offers_since = -math.inf

    def record_check_sent(self) -> None:
        """Counts a health check as sent now."""
        self._checks.append(self._clock.monotonic())

    def refusal(self, call: Call, waiting: int) -> NotRun | None:
        now = self._clock.monotonic()
        windows = self._windows(now)
        if not windows:
            self._offers_since = now
            return None
        self._record_offer(call, now)
        for window in windows:
            if self._is_excluded_by_rank(window, call, now):
                return self._refused(window, now)
            if self._available(window, call.priority, now) <= waiting:
                return self._refused(window, now)
        return None

    def try_send(self, call: Call) -> NotRun | None:
        now = self._clock.monotonic()
        # A request that was allowed to wait is refused only by the total limit.
        for window in self._windows(now):
            if self._count(window, now) >= window.max_requests:
                return self._refused(window, now)
        self._sent.append((now, call.priority))
        return None

    def remaining(self) -> int | None:
        now = self._clock.monotonic()
        return min(
            (
                max(0, window.max_requests - self._count(window, now))
                for window in self._windows(now)
            ),
            default=None,
        )

    @property
    def stated_per_s(self) -> float | None:
        stated = [cause.stated_per_s for cause in self._causes]
        return min((x for x in stated if x is not None), default=None)

    def wait_s(self) -> float:
        now = self._clock.monotonic()
        return max(
            (
                self._opens_at(window, now) - now
                for window in self._windows(now)
                if self._count(window, now) >= window.max_requests
            ),
            default=0.0,
        )

    def _windows(self, now: float) -> list[SendWindow]:
        return [w for cause in self._causes for w in cause.windows(now)]

    def _available(self, window: SendWindow, priority: int, now: float) -> int:
        """Returns how many requests of `priority` may be sent now."""
        left = window.max_requests - self._count(window, now)
        if self._is_highest(priority):
            return left
        others = sum(
            sent_priority != self._highest_priority
            for _, sent_priority in self._sent_within(window, now)
        )
        unreserved = window.max_requests - self._reserved(window, now)
        return min(left, unreserved - others)

    def _is_highest(self, priority: int) -> bool:
        return (
            self._highest_priority is None or priority <= self._highest_priority
        )

    def _is_excluded_by_rank(
        self, window: SendWindow, call: Call, now: float
    ) -> bool:
        """Returns whether `call` is refused because of its group rank.

        Calls of one group share a rank, so that either all or none of them are
        served, whichever servers they come to. Calls are served whose rank is
        within the fraction of calls that the limit allows.
        """
        if not call.group_rank:
            return False
        reserved = (
            0
            if self._is_highest(call.priority)
            else self._reserved(window, now)
        )
        max_requests = (
            (window.max_requests - reserved) * GROUP_WINDOW_S / window.window_s
        )
        return call.group_rank + 0.5 > max_requests / len(self._group_offers)

    def _sent_within(
        self, window: SendWindow, now: float
    ) -> list[tuple[float, int]]:
        """Returns the requests that count in the window ending now."""
        within = []
        for sent in reversed(self._sent):
            if now - sent[0] >= window.window_s or sent[0] < window.since:
                break
            within.append(sent)
        return within

    def _counted_times(self, window: SendWindow, now: float) -> list[float]:
        """Returns when what counts in the window ending now was sent."""
        times = [at for at, _ in self._sent_within(window, now)]
        if window.includes_checks:
            since = max(window.since, now - window.window_s)
            times += [at for at in self._checks if at > since]
        return times

    def _count(self, window: SendWindow, now: float) -> int:
        """Returns how many requests count in the window ending now."""
        if now < window.opens_at:
            return window.max_requests
        return len(self._counted_times(window, now))

    def _reserved(self, window: SendWindow, now: float) -> int:
        """Returns how many requests are reserved for the highest priority.

        This is the expected number in a window plus its standard deviation.
        First come, first served would leave the highest priority only its share
        of all requests, however small that is. One request is left to the
        others.
        """
        since = max(now - DEMAND_WINDOW_S, self._offers_since)
        while self._highest_offers and self._highest_offers[0] < since:
            self._highest_offers.popleft()
        if now - since < MIN_DEMAND_S:
            reserved = math.ceil(
                window.max_requests * INITIAL_RESERVED_FRACTION
            )
        else:
            rate_per_s = len(self._highest_offers) / (now - since)
            expected = rate_per_s * window.window_s
            reserved = math.ceil(expected + math.sqrt(expected))
        return min(reserved, max(0, window.max_requests - 1))

    def _record_offer(self, call: Call, now: float) -> None:
        priority = call.priority
        if self._highest_priority is None or priority < self._highest_priority:
            self._highest_priority = priority
            self._offers_since = now
            self._highest_offers.clear()
        if priority == self._highest_priority:
            self._highest_offers.append(now)
        if not call.group_rank:
            return
        name = call.call_id.rpartition(".")[0] or call.call_id
        self._group_offers.pop(name, None)
        self._group_offers[name] = now
        while now - next(iter(self._group_offers.values())) >= GROUP_WINDOW_S:
            del self._group_offers[next(iter(self._group_offers))]

    def _opens_at(self, window: SendWindow, now: float) -> float:
        """Returns when a window has room for one more (monotonic s).

        For one with room that is reserved, when the oldest request leaves it.
        """
        if now < window.opens_at or not window.max_requests:
            return window.opens_at
        times = sorted(self._counted_times(window, now))
        if not times:
            return now
        excess = max(0, len(times) - window.max_requests)
        return times[excess] + window.window_s

    def _refused(self, window: SendWindow, now: float) -> NotRun:
        wait_s = max(_MIN_RETRY_AFTER_S, self._opens_at(window, now) - now)
        return NotRun(
            window.code,
            window.detail,
            round(min(wait_s, window.window_s), 3),
        )
