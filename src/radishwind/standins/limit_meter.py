"""Measures by how much a server gets more requests than the limit it states."""

import collections

#: Time after which the limit is binding once it is first stated (s).
LIMIT_GRACE_S = 3.0

#: Window in which requests are counted (s), and what is allowed in it: a
#: multiple of the limit, and further requests.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK_REQUESTS = 5.0


class LimitMeter:
    """Counts the requests that arrive while a limit is stated.

    Attributes:
      excess: most requests beyond those allowed in a window so far.
    """

    def __init__(self) -> None:
        self.excess = 0.0
        self._per_s: float | None = None
        self._set_at = 0.0
        self._is_stated = False
        self._arrivals: collections.deque[float] = collections.deque()

    @property
    def per_s(self) -> float | None:
        """The limit stated at present (requests/s); `None` for none."""
        return self._per_s

    def set_limit(self, per_s: float | None, now: float) -> None:
        """Begins, changes or ends the limit.

        A change counts as a new statement.

        Args:
          per_s: the limit (requests/s); `None` for none.
          now: the time (monotonic s).
        """
        self._per_s = per_s
        self._set_at = now
        self._is_stated = False
        self._arrivals.clear()

    def record_statement(self) -> None:
        """Records that a response states the limit.

        Requests that arrived before the first one don't count.
        """
        self._is_stated = self._per_s is not None

    def record_arrival(self, now: float) -> None:
        """Counts a request that arrived at `now` (monotonic s)."""
        if self._per_s is None or not self._is_stated:
            return
        self._arrivals.append(now)
        while self._arrivals[0] <= now - LIMIT_WINDOW_S:
            self._arrivals.popleft()
        if now < self._set_at + LIMIT_GRACE_S:
            return
        allowed = LIMIT_FACTOR * self._per_s * LIMIT_WINDOW_S
        allowed += LIMIT_SLACK_REQUESTS
        self.excess = max(self.excess, len(self._arrivals) - allowed)
