"""How long ago a caller first asked, by what it says it still waits.

A caller that comes back is a new request with less time left. What an answer is
worth to it counts from when it first asked, so that one which returns late had
better not go before one that can still be answered in time.
"""

import msgspec

#: Routes remembered; the longest known is forgotten.
MOST_ROUTES = 2048

#: What callers of a route wait at most is learned anew in two such spans (s).
SPAN_S = 15.0

#: A request that has this part of the longest wait left was not sent before.
FRESH_PART = 0.95

#: Weight of one request in the part of those not sent before.
_WEIGHT = 0.02

#: Callers of one route that wait for different times can't be told from those
#: who return; with fewer than this part of them fresh nothing is inferred.
LEAST_FRESH = 0.4


class _Waits(msgspec.Struct):
    """What callers of one route said that they wait.

    Attributes:
      longest_s: in this span (s).
      before_s: in the span before (s).
      since: when this span began (monotonic s).
      fresh: part of the requests that were not sent before.
    """

    longest_s: float
    before_s: float
    since: float
    fresh: float = 1.0


class RetryAgeEstimator:
    """Learns the longest wait of each route's callers."""

    def __init__(self) -> None:
        self._waits: dict[str, _Waits] = {}

    def age_s(self, route: str, told_s: float, now: float) -> float:
        """Returns how long ago the caller first asked (s); 0 if not known.

        Args:
          route: that takes the request.
          told_s: how long the caller still waits (s).
          now: monotonic time (s).
        """
        waits = self._waits.get(route)
        if waits is None:
            waits = self._waits[route] = _Waits(told_s, told_s, now)
            if len(self._waits) > MOST_ROUTES:
                del self._waits[next(iter(self._waits))]
        if now - waits.since > SPAN_S:
            if waits.longest_s < FRESH_PART * waits.before_s:
                # All wait for less than before; nobody is known to return yet.
                waits.fresh = 1.0
            waits.before_s, waits.longest_s = waits.longest_s, told_s
            waits.since = now
        waits.longest_s = max(waits.longest_s, told_s)
        longest_s = max(waits.longest_s, waits.before_s)
        is_fresh = told_s >= FRESH_PART * longest_s
        waits.fresh += _WEIGHT * (is_fresh - waits.fresh)
        if is_fresh or waits.fresh < LEAST_FRESH:
            return 0.0
        return longest_s - told_s
