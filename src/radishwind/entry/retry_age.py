"""Estimates how long ago a caller first sent a request.

A retry of a caller is a new request with a shorter timeout. The value of the
response to the caller depends on the time since the first request, so that a
retry that is already late should not precede a request that can still be
answered in time.
"""

import msgspec

#: Routes remembered; the one known for longest is forgotten first.
MAX_ROUTES = 2048

#: The longest timeout of a route is the maximum over the current window and the
#: one before, each of this length (s).
WINDOW_S = 15.0

#: A request with at least this fraction of the longest timeout is not a retry.
FIRST_TIMEOUT_FRACTION = 0.95

#: Weight of one request in the fraction of requests that are not retries.
_WEIGHT = 0.02

#: If less than this fraction of the requests of a route are not retries,
#: nothing is inferred: callers with different timeouts can't be distinguished
#: from callers that retry.
MIN_FIRST_FRACTION = 0.4


class _Timeouts(msgspec.Struct):
    """The timeouts that callers of one route state.

    Attributes:
      longest_s: longest timeout in this window (s).
      previous_s: longest timeout in the window before (s).
      since: when this window began (monotonic s).
      first_fraction: fraction of the requests that are not retries.
    """

    longest_s: float
    previous_s: float
    since: float
    first_fraction: float = 1.0


class RetryAgeEstimator:
    """Estimates the age of requests by the longest timeout of their route."""

    def __init__(self) -> None:
        self._timeouts: dict[str, _Timeouts] = {}

    def age_s(self, route: str, timeout_s: float, now: float) -> float:
        """Returns how long ago the caller first sent it (s); 0 if unknown.

        Args:
          route: the route of the request.
          timeout_s: how long the caller still waits (s).
          now: monotonic time (s).
        """
        timeouts = self._timeouts.get(route)
        if timeouts is None:
            timeouts = self._timeouts[route] = _Timeouts(
                timeout_s, timeout_s, now
            )
            if len(self._timeouts) > MAX_ROUTES:
                del self._timeouts[next(iter(self._timeouts))]
        if now - timeouts.since > WINDOW_S:
            if (
                timeouts.longest_s
                < FIRST_TIMEOUT_FRACTION * timeouts.previous_s
            ):
                # All timeouts became shorter, so that none indicates a retry.
                timeouts.first_fraction = 1.0
            timeouts.previous_s, timeouts.longest_s = (
                timeouts.longest_s,
                timeout_s,
            )
            timeouts.since = now
        timeouts.longest_s = max(timeouts.longest_s, timeout_s)
        longest_s = max(timeouts.longest_s, timeouts.previous_s)
        is_first = timeout_s >= FIRST_TIMEOUT_FRACTION * longest_s
        timeouts.first_fraction += _WEIGHT * (
            is_first - timeouts.first_fraction
        )
        if is_first or timeouts.first_fraction < MIN_FIRST_FRACTION:
            return 0.0
        return longest_s - timeout_s
