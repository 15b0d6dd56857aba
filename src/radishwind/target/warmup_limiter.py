"""Limits the requests sent to a cold server, so that they do not crash it.

A server that has just started sustains few requests a second, and crashes with
everything it runs if it gets many more. After a power loss all servers of a
fleet are cold at once: each server that crashes is cold again after its
restart, and retrying callers crash it again for as long as they come. The node
beside a server is the only one that sends to it, so its count is exact.
"""

import abc
import collections
import math

import msgspec

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.outcomes.model import NotRun
from radishwind.telemetry.part_logger import PartLogger

#: Sliding window in which sent requests are counted (s). It is a little longer
#: than the second that the limit is for, since requests may arrive closer
#: together than they were sent.
WINDOW_S = 1.1

#: Fraction of the limit reserved for requests of the highest priority while
#: their rate is unknown.
INITIAL_RESERVED_FRACTION = 1 / 3

#: Upper bound of the sent requests that are tracked, and so of the limit.
MAX_TRACKED = 512

#: Time over which the rate of the highest priority is measured (s).
DEMAND_WINDOW_S = 4.0

#: Lower bound of the Retry-After of a refusal (s).
_MIN_RETRY_AFTER_S = 0.05


class WarmupLimit(msgspec.Struct, frozen=True):
    """The rate of requests that a cold server of a service sustains.

    Attributes:
      rate_per_s: sustained rate (requests/s); 0 for no requests at all.
      burst_factor: factor on the rate that is allowed within any second.
      burst_allowance: requests beyond it that are allowed within any second.
      warmup_s: time for which a server is cold after its start (s).
    """

    rate_per_s: float
    burst_factor: float = 1.0
    burst_allowance: float = 0.0
    warmup_s: float = 0.0

    @property
    def max_per_window(self) -> int:
        """Requests that may be sent in any window of `WINDOW_S`."""
        if self.rate_per_s <= 0:
            return 0
        max_requests = (
            math.floor(
                self.rate_per_s * self.burst_factor + self.burst_allowance
            )
            - 1
        )
        return min(max(1, max_requests), MAX_TRACKED)


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


class NoSendLimiter(SendLimiter):
    """Limits nothing."""

    def refusal(self, call: Call, waiting: int) -> NotRun | None:
        return None

    def try_send(self, call: Call) -> NotRun | None:
        return None

    def remaining(self) -> int | None:
        return None


class WarmupLimiter(SendLimiter):
    """Limits what a cold server is sent in a sliding window.

    A server whose state is unknown counts as cold for the whole warm-up time of
    a server that has just started. The response to a health check sent since
    then determines the remaining time. A heartbeat, which may be late, can only
    extend it. The warm-up ends by monotonic time, so clock steps don't end it.
    """

    def __init__(self, clock: Clock, running_s: float = 0.0) -> None:
        """Creates a limiter for a server whose state is unknown.

        Args:
          clock: the clock.
          running_s: time since the start of this process (s). Requests sent by
            the previous process are assumed to exhaust the first window.
        """
        self._clock = clock
        self._limit: WarmupLimit | None = None
        self._log = PartLogger("target", clock)
        self._began = clock.monotonic() - running_s
        # Since when the state is unknown (monotonic s); `None` if it is known.
        self._unknown_since: float | None = clock.monotonic()
        self._cold_until = -math.inf
        # Send times (monotonic s) and priorities of the latest requests.
        self._sent: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=MAX_TRACKED
        )
        # When requests of the highest priority were offered (monotonic s).
        self._highest_offers: collections.deque[float] = collections.deque(
            maxlen=MAX_TRACKED
        )
        self._highest_priority: int | None = None
        # Calls with a group rank offered within the window, by their id, the
        # oldest first, and when (monotonic s).
        self._group_offers: dict[str, float] = {}
        self._offers_since = -math.inf

    @property
    def is_cold(self) -> bool:
        """Whether the server is cold or may be."""
        limit = self._limit
        if limit is None:
            return False
        now = self._clock.monotonic()
        since = self._unknown_since
        if since is not None and now < since + limit.warmup_s:
            return True
        return now < self._cold_until

    def configure(self, limit: WarmupLimit | None) -> None:
        """Sets the configured limit; `None` for unlimited."""
        if limit == self._limit:
            return
        self._limit = limit
        if limit is not None and not limit.rate_per_s:
            self._log.warning(
                "The configuration allows cold servers no requests."
            )

    def mark_unknown(self, since: float) -> None:
        """Records that the server may have become cold without reporting it.

        Args:
          since: health checks sent before this don't count (monotonic s).
        """
        self._unknown_since = since

    def record_start(self, left_s: float) -> None:
        """Records the remaining warm-up time of a server that just started.

        Args:
          left_s: remaining warm-up time (s).
        """
        now = self._clock.monotonic()
        self._unknown_since = None
        self._cold_until = now + left_s
        limit = self._limit
        if limit is not None and now - (limit.warmup_s - left_s) >= self._began:
            # The server is younger than this node, so that no previous process
            # of the node sent it anything.
            self._began = -math.inf
        self._log_cold(left_s)

    def record_heartbeat(self, left_s: float) -> None:
        """Records the warm-up time in a heartbeat, which may be late.

        Args:
          left_s: remaining warm-up time (s).
        """
        self._extend(left_s)

    def record_check(self, left_s: float, asked: float) -> None:
        """Records the warm-up time in the response to a health check.

        Args:
          left_s: remaining warm-up time (s).
          asked: when the check was sent (monotonic s).
        """
        if self._unknown_since is not None and asked < self._unknown_since:
            return
        self._unknown_since = None
        if left_s > 0:
            self._extend(left_s)
            return
        self._cold_until = min(self._cold_until, self._clock.monotonic())

    def _extend(self, left_s: float) -> None:
        now = self._clock.monotonic()
        if now >= self._cold_until:
            self._log_cold(left_s)
        self._cold_until = max(self._cold_until, now + left_s)

    def _log_cold(self, left_s: float) -> None:
        if left_s <= 0:
            return
        self._log.change(
            "The server is cold.",
            left_s=round(left_s, 3),
            most=self._limit.max_per_window if self._limit else None,
        )

    def refusal(self, call: Call, waiting: int) -> NotRun | None:
        limit = self._limit
        if limit is None or not self.is_cold:
            return None
        now = self._clock.monotonic()
        self._record_offer(call.priority, now)
        if self._is_excluded_by_rank(limit, call, now):
            return self._refused(limit, now)
        if self._available(limit, call.priority, now) > waiting:
            return None
        return self._refused(limit, now)

    def try_send(self, call: Call) -> NotRun | None:
        limit = self._limit
        now = self._clock.monotonic()
        # A request that was allowed to wait is refused only by the total limit.
        is_cold = limit is not None and self.is_cold
        if (
            limit is not None
            and is_cold
            and self._count_sent(limit, now) >= limit.max_per_window
        ):
            return self._refused(limit, now)
        self._sent.append((now, call.priority))
        return None

    def remaining(self) -> int | None:
        limit = self._limit
        if limit is None or not self.is_cold:
            return None
        return max(
            0,
            limit.max_per_window
            - self._count_sent(limit, self._clock.monotonic()),
        )

    def _available(self, limit: WarmupLimit, priority: int, now: float) -> int:
        """Returns how many requests of `priority` may be sent now."""
        left = limit.max_per_window - self._count_sent(limit, now)
        if self._is_highest(priority):
            return left
        others = sum(sent != self._highest_priority for _, sent in self._sent)
        return min(
            left, limit.max_per_window - self._reserved(limit, now) - others
        )

    def _is_highest(self, priority: int) -> bool:
        return (
            self._highest_priority is None or priority <= self._highest_priority
        )

    def _is_excluded_by_rank(
        self, limit: WarmupLimit, call: Call, now: float
    ) -> bool:
        """Returns whether `call` is refused because of its group rank.

        Calls of one group share a rank, so that either all or none of them are
        served, whichever servers they come to. Calls are served whose rank is
        within the fraction of calls that the limit allows.
        """
        if not call.group_rank:
            return False
        name = call.call_id.rpartition(".")[0] or call.call_id
        self._group_offers.pop(name, None)
        self._group_offers[name] = now
        while now - next(iter(self._group_offers.values())) >= WINDOW_S:
            del self._group_offers[next(iter(self._group_offers))]
        reserved = (
            0 if self._is_highest(call.priority) else self._reserved(limit, now)
        )
        return call.group_rank + 0.5 > (limit.max_per_window - reserved) / len(
            self._group_offers
        )

    def _count_sent(self, limit: WarmupLimit, now: float) -> int:
        """Returns how many requests count as sent in the window ending now."""
        if now - self._began < WINDOW_S:
            return limit.max_per_window
        while self._sent and now - self._sent[0][0] >= WINDOW_S:
            self._sent.popleft()
        return len(self._sent)

    def _reserved(self, limit: WarmupLimit, now: float) -> int:
        """Returns how many requests are reserved for the highest priority.

        This is the expected number in a window plus its standard deviation.
        First come, first served would leave the highest priority only its share
        of all requests, however small that is.
        """
        since = max(now - DEMAND_WINDOW_S, self._offers_since)
        while self._highest_offers and self._highest_offers[0] < since:
            self._highest_offers.popleft()
        if now - since < WINDOW_S:
            return math.ceil(limit.max_per_window * INITIAL_RESERVED_FRACTION)
        expected = len(self._highest_offers) * WINDOW_S / (now - since)
        return math.ceil(expected + math.sqrt(expected))

    def _record_offer(self, priority: int, now: float) -> None:
        if self._highest_priority is None or priority < self._highest_priority:
            self._highest_priority = priority
            self._offers_since = now
            self._highest_offers.clear()
        if priority == self._highest_priority:
            self._highest_offers.append(now)

    def _refused(self, limit: WarmupLimit, now: float) -> NotRun:
        until = self._began + WINDOW_S
        if self._sent:
            until = max(until, self._sent[0][0] + WINDOW_S)
        if not limit.max_per_window:
            until = self._cold_until
        wait_s = min(max(_MIN_RETRY_AFTER_S, until - now), WINDOW_S)
        return NotRun(
            ResultCode.SERVER_COLD,
            "The server is cold and its request rate is exhausted.",
            round(wait_s, 3),
        )
