"""What it takes to send a request of a route to another node.

A way costs time: there and back, and as long as the bytes of a usual exchange
take on the links at both ends beside what these carry. Between failure domains
they also take room that all nodes of both domains share, so that small answers
leave their domain first and large ones last.
"""

import abc
from collections.abc import Callable

import msgspec

from radishwind.routing.sizes import RouteSizes

#: The least a link is taken to have left (kbit/s): one that is full gets free.
LEAST_FREE_KBPS = 64

#: Links that an exchange passes: that of either node, and between failure
#: domains the way out of one and into the other.
NEAR_LINKS = 2
FAR_LINKS = 4

#: The links of a way weigh at most this part of the time in which an answer
#: earns its full worth, so that no caller is late for their sake.
MOST_PART = 0.5

#: Links are spared while an answer comes within this part of the time that is
#: left to earn its full worth; the rest is for what a forecast is wrong by.
IN_TIME_PART = 0.7

_BITS_PER_BYTE = 8
_BITS_PER_KBIT = 1000


class Way(msgspec.Struct, frozen=True):
    """One way, as weighed.

    Attributes:
      time_s: what its bytes add to an answer time (s).
      weight_s: what its use of links counts for beside that (s).
    """

    time_s: float = 0.0
    weight_s: float = 0.0


NO_WAY = Way()


class WayCosts(abc.ABC):
    """Says what the links between two nodes add."""

    @abc.abstractmethod
    def way(self, is_near: bool, free_kbps: int, route: str) -> Way:
        """Returns what a usual exchange of `route` takes.

        Args:
          is_near: whether both nodes stand in one failure domain.
          free_kbps: what the other node's link has left (kbit/s); 0 where it
            isn't told.
          route: the route of the request.
        """


class UnmeteredWays(WayCosts):
    """Links that count for nothing."""

    def way(self, is_near: bool, free_kbps: int, route: str) -> Way:
        return NO_WAY


class LinkWays(WayCosts):
    """Weighs ways by the bytes of a route and what links have left."""

    def __init__(
        self,
        sizes: RouteSizes,
        own_free_kbps: Callable[[], int],
        aim_s: Callable[[str], float],
    ) -> None:
        """Wires the ways.

        Args:
          sizes: of exchanges, by route.
          own_free_kbps: returns what the own link has left (kbit/s); 0 where
            it isn't known.
          aim_s: returns the time in which an answer of a route earns its full
            worth (s).
        """
        self._sizes = sizes
        self._own_free_kbps = own_free_kbps
        self._aim_s = aim_s

    def way(self, is_near: bool, free_kbps: int, route: str) -> Way:
        own_kbps = self._own_free_kbps()
        if not own_kbps:
            return NO_WAY
        size = self._sizes.exchange_bytes(route)
        if not size:
            return NO_WAY
        kbps = min(own_kbps, free_kbps or own_kbps)
        bits = size * _BITS_PER_BYTE
        time_s = bits / (_BITS_PER_KBIT * max(LEAST_FREE_KBPS, kbps))
        most_s = MOST_PART * self._aim_s(route)
        links = NEAR_LINKS if is_near else FAR_LINKS
        # A body passes the links of a way piece by piece, so that they add up
        # in what they carry but not in its time.
        weight_s = min(most_s, (links - 1) * time_s)
        return Way(min(most_s, time_s), weight_s)
