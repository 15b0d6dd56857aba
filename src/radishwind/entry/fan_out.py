"""Knows calls that belong together, so that they are served or refused alike.

A run that makes several calls at once is lost if one of them is refused, with
the slot that it took and what its other calls got. Where a service can serve
six of ten calls and each is decided by itself, of runs with two calls 36 in 100
get both, and 48 got one in vain; decided alike it is 60. So calls that belong
together draw one rank, and servers that can't serve go by the ranks: each by itself,
and yet the same for both calls.

Calls that belong together come to one node at one moment, with the same time
left. Which routes have such calls is learned; on others nobody gets a rank.
"""

import random

import msgspec

#: Requests of one route that come within this time belong together (s), if they
#: also have the same time left.
TOGETHER_S = 0.005

#: The same time left may differ by what lies between two writes (ms).
SAME_MS = 2

#: Routes remembered; the longest known is forgotten.
MOST_ROUTES = 2048

#: Part of the moments at which several came, from which on lots are drawn.
LEAST_PART = 0.5

#: Weight of one moment in that part.
_WEIGHT = 0.1


class _Group(msgspec.Struct):
    """The requests of a route that came last.

    Attributes:
      began: when the first of them came (monotonic s).
      told_ms: the time that they have left (ms).
      group_rank: what they drew, -0.5 to 0.5.
      size: how many they are.
      part: part of the moments so far at which several came.
    """

    began: float
    told_ms: int
    group_rank: float
    size: int = 1
    part: float = 0.0


class FanOutDetector:
    """Draws lots for requests that come together."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._groups: dict[str, _Group] = {}

    def group_rank(self, route: str, told_ms: int, now: float) -> float:
        """Returns the group_rank of a request; 0 where it belongs to no others.

        Args:
          route: that takes it.
          told_ms: the time that it has left (ms).
          now: monotonic time (s).
        """
        group = self._groups.get(route)
        if group is None:
            group = self._groups[route] = _Group(now, told_ms, self._draw())
            if len(self._groups) > MOST_ROUTES:
                del self._groups[next(iter(self._groups))]
            return 0.0
        same_ms = abs(told_ms - group.told_ms) <= SAME_MS
        if same_ms and now - group.began <= TOGETHER_S:
            group.size += 1
        else:
            group.part += _WEIGHT * ((group.size > 1) - group.part)
            group.began, group.told_ms = now, told_ms
            group.group_rank, group.size = self._draw(), 1
        return group.group_rank if group.part >= LEAST_PART else 0.0

    def _draw(self) -> float:
        return self._rng.random() - 0.5
