"""What it takes to send a request of a route to another node.

A way costs time: there and back, and as long as the bytes of a usual exchange
take on the links at both ends beside what these carry. Between failure domains
they also take room that all nodes of both domains share, so that small answers
leave their domain first and large ones last.
"""

import abc
from collections.abc import Callable
import math

import msgspec

from radishwind.routing.cost_weights import CROSS_DOMAIN_S
from radishwind.routing.round_trip_times import RoundTripTimes
from radishwind.routing.route_sizes import RouteSizes

#: The least a link is taken to have left (kbit/s): one that is full gets free.
LEAST_FREE_KBPS = 64

#: Links that an exchange passes: that of either node, and between failure
#: domains the way out of one and into the other.
NEAR_LINKS = 2
FAR_LINKS = 4

#: The bytes of a way weigh at most this part of the time in which an answer
#: earns its full worth, so that no caller is late for their sake.
MOST_PART = 0.5

#: Links are spared while an answer comes within this part of the time that is
#: left to earn its full worth; the rest is for what a forecast is wrong by.
IN_TIME_PART = 0.7

#: A way that was weighed is kept so long (s): the time over which a node
#: counts what its link carries.
KEPT_S = 0.1

_BITS_PER_BYTE = 8
_BITS_PER_KBIT = 1000


class PathCost(msgspec.Struct, frozen=True):
    """The cost of the path to a target, for a typical exchange.

    Attributes:
      round_trip_s: round-trip time of an empty message (s).
      transmission_s: time to transmit the bodies at the free capacity of the
        links (s). Not part of forecasts, since it assumes the mean utilization
        and an idle link is faster.
      penalty_s: further cost of the use of links (s).
    """

    round_trip_s: float = 0.0
    transmission_s: float = 0.0
    penalty_s: float = 0.0


#: To the own target.
NO_PATH_COST = PathCost()


class PathCostModel(abc.ABC):
    """Says what the way to another node adds."""

    @abc.abstractmethod
    def path_cost(
        self, domain: str, free_kbps: int, route: str, now: float
    ) -> PathCost:
        """Returns what a usual exchange of `route` takes.

        Args:
          domain: the failure domain of the other node.
          free_kbps: what that node's link has left (kbit/s); 0 where it isn't
            told.
          route: the route of the request.
          now: monotonic time (s).
        """


class FixedPathCosts(PathCostModel):
    """The same for whatever crosses."""

    def __init__(
        self, own_domain: str, cross_domain_s: float = CROSS_DOMAIN_S
    ) -> None:
        """Takes what a way counts.

        Args:
          own_domain: the failure domain of this node.
          cross_domain_s: the way to any other and back (s).
        """
        self._own_domain = own_domain
        self._far = PathCost(cross_domain_s)

    def path_cost(
        self, domain: str, free_kbps: int, route: str, now: float
    ) -> PathCost:
        return NO_PATH_COST if domain == self._own_domain else self._far


class LinkPathCosts(PathCostModel):
    """Weighs ways by the bytes of a route and what links have left.

    Without a link to go by, a way counts as a fixed one; without a fresh round
    trip, its time does.
    """

    def __init__(
        self,
        *,
        own_domain: str,
        sizes: RouteSizes,
        trips: RoundTripTimes,
        own_free_kbps: Callable[[], int],
        aim_s: Callable[[str], float],
        cross_domain_s: float = CROSS_DOMAIN_S,
    ) -> None:
        """Wires the ways.

        Args:
          own_domain: the failure domain of this node.
          sizes: of exchanges, by route.
          trips: to other failure domains.
          own_free_kbps: returns what the own link has left (kbit/s); 0 where
            it isn't known.
          aim_s: returns the time in which an answer of a route earns its full
            worth (s).
          cross_domain_s: what the way to another failure domain and back counts
            for at least, whatever crosses (s).
        """
        self._own_domain = own_domain
        self._sizes = sizes
        self._trips = trips
        self._own_free_kbps = own_free_kbps
        self._aim_s = aim_s
        self._crossing_s = cross_domain_s
        self._kept: dict[tuple[str, int, str], PathCost] = {}
        self._kept_since = -math.inf

    def path_cost(
        self, domain: str, free_kbps: int, route: str, now: float
    ) -> PathCost:
        # A choice asks for each candidate, and little changes between.
        if not 0 <= now - self._kept_since < KEPT_S:
            self._kept.clear()
            self._kept_since = now
        key = (domain, free_kbps, route)
        way = self._kept.get(key)
        if way is None:
            way = self._kept[key] = self._weighed(domain, free_kbps, route, now)
        return way

    def _weighed(
        self, domain: str, free_kbps: int, route: str, now: float
    ) -> PathCost:
        is_near = domain == self._own_domain
        there_s = counted_s = 0.0 if is_near else self._crossing_s
        own_kbps = self._own_free_kbps()
        if not own_kbps:
            return PathCost(there_s)
        if not is_near:
            trip_s = self._trips.mean_s(domain, now)
            there_s = counted_s if trip_s is None else trip_s
        most_s = MOST_PART * self._aim_s(route)
        kbps = max(LEAST_FREE_KBPS, min(own_kbps, free_kbps or own_kbps))
        bits = self._sizes.exchange_bytes(route) * _BITS_PER_BYTE
        bytes_s = bits / (_BITS_PER_KBIT * kbps)
        # A body passes the links of a way piece by piece, so that they add up
        # in what they carry but not in its time.
        others = (NEAR_LINKS if is_near else FAR_LINKS) - 1
        penalty_s = min(most_s, others * bytes_s)
        penalty_s += max(0.0, counted_s - there_s)
        return PathCost(there_s, min(most_s, bytes_s), penalty_s)
