"""Detects calls of one fan-out, so that they are served or refused together.

A request that fans out to several calls fails if one of them is refused, and
the slot that it holds and the responses of its other calls are wasted. If a
service can serve six of ten calls and decides on each independently, then of
the requests with two calls 36 % get both and 48 % get one in vain; if it
decides alike on both, 60 % get both. Therefore the calls of one fan-out share a
random rank, and servers that can't serve all calls serve the lower ranks: each
server decides by itself, and yet alike on all calls of the fan-out.

The calls of one fan-out arrive at one node at nearly the same moment, with the
same time left until their deadline. The routes with such calls are learned; on
other routes calls get no rank.
"""

import random

import msgspec

#: Requests of one route that arrive within this time (s) are of one fan-out, if
#: they also have the same time left.
ARRIVAL_WINDOW_S = 0.005

#: Times left that differ by at most this (ms) count as the same: they may
#: differ by the time between two writes of the sender.
TIMEOUT_TOLERANCE_MS = 2

#: Routes remembered; the one known for longest is forgotten first.
MAX_ROUTES = 2048

#: Ranks are drawn on routes where at least this fraction of the arrival windows
#: contain several requests.
MIN_FAN_OUT_FRACTION = 0.5

#: Weight of the latest arrival window in that fraction.
_WEIGHT = 0.1


class _Group(msgspec.Struct):
    """The latest group of requests of a route.

    Attributes:
      began: when the first of them arrived (monotonic s).
      timeout_ms: the time that they have left (ms).
      rank: their random rank, -0.5 to 0.5.
      size: number of requests.
      fan_out_fraction: fraction of the groups so far with several requests,
        exponentially weighted.
    """

    began: float
    timeout_ms: int
    rank: float
    size: int = 1
    fan_out_fraction: float = 0.0


class FanOutDetector:
    """Assigns one random rank to requests that arrive together."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._groups: dict[str, _Group] = {}

    def group_rank(self, route: str, timeout_ms: int, now: float) -> float:
        """Returns the rank of a request; 0 if it is not part of a fan-out.

        Args:
          route: the route of the request.
          timeout_ms: the time that the request has left (ms).
          now: monotonic time (s).
        """
        group = self._groups.get(route)
        if group is None:
            group = self._groups[route] = _Group(now, timeout_ms, self._draw())
            if len(self._groups) > MAX_ROUTES:
                del self._groups[next(iter(self._groups))]
            return 0.0
        same_timeout = (
            abs(timeout_ms - group.timeout_ms) <= TIMEOUT_TOLERANCE_MS
        )
        if same_timeout and now - group.began <= ARRIVAL_WINDOW_S:
            group.size += 1
        else:
            group.fan_out_fraction += _WEIGHT * (
                (group.size > 1) - group.fan_out_fraction
            )
            group.began, group.timeout_ms = now, timeout_ms
            group.rank, group.size = self._draw(), 1
        return (
            group.rank
            if group.fan_out_fraction >= MIN_FAN_OUT_FRACTION
            else 0.0
        )

    def _draw(self) -> float:
        return self._rng.random() - 0.5
