"""Limits the requests to a cold server, so that they do not crash it.

A server that has just started sustains few requests a second, and crashes with
everything it runs if it gets many more. After a power loss all servers of a
fleet are cold at once: each server that crashes is cold again after its
restart, and retrying callers crash it again for as long as they come.
"""

from collections.abc import Sequence
import math

import msgspec

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.target.send_limiter import LimitCause
from radishwind.target.send_limiter import MAX_TRACKED
from radishwind.target.send_limiter import SendWindow
from radishwind.telemetry.part_logger import PartLogger

#: Sliding window in which sent requests are counted (s). It is a little longer
#: than the second that the limit is for, since requests may arrive closer
#: together than they were sent.
WINDOW_S = 1.1


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


class Warmup(LimitCause):
    """The warm-up of the server, during which a sliding window limits it.

    A server whose state is unknown counts as cold for the whole warm-up time of
    a server that has just started. The response to a health check sent since
    then determines the remaining time. A heartbeat, which may be late, can only
    extend it. The warm-up ends by monotonic time, so clock steps don't end it.
    """

    def __init__(self, clock: Clock, running_s: float = 0.0) -> None:
        """Creates the warm-up of a server whose state is unknown.

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

    def windows(self, now: float) -> Sequence[SendWindow]:
        limit = self._limit
        if limit is None or not self.is_cold:
            return ()
        opens_at = self._began + WINDOW_S
        if not limit.max_per_window:
            opens_at = max(opens_at, self._cold_until)
        return (
            SendWindow(
                WINDOW_S,
                limit.max_per_window,
                ResultCode.SERVER_COLD,
                "The server is cold and its request rate is exhausted.",
                opens_at=opens_at,
            ),
        )
