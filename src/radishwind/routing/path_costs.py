"""The cost of the network path to another node.

A path costs its round-trip time and the transmission time of a typical exchange
at the free capacity of the links on both ends. Paths between failure domains
also use links that are shared by all nodes of both domains. The cost makes
small responses leave their failure domain first and large ones last.
"""

import abc
from collections.abc import Callable
import math

import msgspec

from radishwind.routing.cost_weights import CROSS_DOMAIN_S
from radishwind.routing.round_trip_times import RoundTripTimes
from radishwind.routing.route_sizes import RouteSizes

#: Lower bound of the free capacity of a link (kbit/s), since a full link
#: becomes free again.
MIN_FREE_KBPS = 64

#: Links on a path: those of both nodes, and between failure domains the
#: outbound link of one and the inbound link of the other.
LOCAL_LINK_COUNT = 2
REMOTE_LINK_COUNT = 4

#: The cost of transmission is at most this fraction of the latency target, so
#: that sparing links doesn't delay responses beyond it.
MAX_LINK_COST_FRACTION = 0.5

#: Links are spared while a response is expected within this fraction of the
#: time left until the latency target. The rest is a margin for errors of the
#: forecast.
IN_TIME_FRACTION = 0.7

#: Computed costs are cached for this time (s), which is the length of a bucket
#: of the link meter.
CACHE_TTL_S = 0.1

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


#: The path to the own target.
NO_PATH_COST = PathCost()


class PathCostModel(abc.ABC):
    """Interface: returns the cost of paths to other nodes."""

    @abc.abstractmethod
    def path_cost(
        self, domain: str, free_kbps: int, route: str, now: float
    ) -> PathCost:
        """Returns the cost for a typical exchange of `route`.

        Args:
          domain: the failure domain of the other node.
          free_kbps: free capacity of that node's link (kbit/s); 0 if not known.
          route: the route of the request.
          now: monotonic time (s).
        """


class FixedPathCosts(PathCostModel):
    """A fixed cost for each path to another failure domain."""

    def __init__(
        self, own_domain: str, cross_domain_s: float = CROSS_DOMAIN_S
    ) -> None:
        """Creates fixed costs.

        Args:
          own_domain: the failure domain of this node.
          cross_domain_s: round trip counted for other failure domains (s).
        """
        self._own_domain = own_domain
        self._remote = PathCost(cross_domain_s)

    def path_cost(
        self, domain: str, free_kbps: int, route: str, now: float
    ) -> PathCost:
        return NO_PATH_COST if domain == self._own_domain else self._remote


class LinkPathCosts(PathCostModel):
    """Costs by the body sizes of a route and the free capacity of links.

    If the capacity of the own link isn't known, costs are fixed ones. Without a
    recent round trip, only the round-trip time is.
    """

    def __init__(
        self,
        *,
        own_domain: str,
        sizes: RouteSizes,
        round_trips: RoundTripTimes,
        own_free_kbps: Callable[[], int],
        aim_s: Callable[[str], float],
        cross_domain_s: float = CROSS_DOMAIN_S,
    ) -> None:
        """Creates a cost model.

        Args:
          own_domain: the failure domain of this node.
          sizes: learned body sizes by route.
          round_trips: round-trip times to other failure domains.
          own_free_kbps: returns the free capacity of the own link (kbit/s); 0
            if not known.
          aim_s: returns the latency target of a route (s).
          cross_domain_s: lower bound of the round trip counted for other
            failure domains (s).
        """
        self._own_domain = own_domain
        self._sizes = sizes
        self._round_trips = round_trips
        self._own_free_kbps = own_free_kbps
        self._aim_s = aim_s
        self._cross_domain_s = cross_domain_s
        self._cache: dict[tuple[str, int, str], PathCost] = {}
        self._cache_created = -math.inf

    def path_cost(
        self, domain: str, free_kbps: int, route: str, now: float
    ) -> PathCost:
        # Called for each candidate of a choice, while the inputs hardly change.
        if not 0 <= now - self._cache_created < CACHE_TTL_S:
            self._cache.clear()
            self._cache_created = now
        key = (domain, free_kbps, route)
        cost = self._cache.get(key)
        if cost is None:
            cost = self._cache[key] = self._compute(
                domain, free_kbps, route, now
            )
        return cost

    def _compute(
        self, domain: str, free_kbps: int, route: str, now: float
    ) -> PathCost:
        is_local = domain == self._own_domain
        round_trip_s = min_round_trip_s = (
            0.0 if is_local else self._cross_domain_s
        )
        own_kbps = self._own_free_kbps()
        if not own_kbps:
            return PathCost(round_trip_s)
        if not is_local:
            measured_s = self._round_trips.mean_s(domain, now)
            round_trip_s = (
                min_round_trip_s if measured_s is None else measured_s
            )
        max_s = MAX_LINK_COST_FRACTION * self._aim_s(route)
        kbps = max(MIN_FREE_KBPS, min(own_kbps, free_kbps or own_kbps))
        bits = self._sizes.exchange_bytes(route) * _BITS_PER_BYTE
        transmission_s = bits / (_BITS_PER_KBIT * kbps)
        # Bodies are pipelined across the links of a path: the links add up in
        # the traffic that they carry, but not in transmission time.
        further_links = (
            LOCAL_LINK_COUNT if is_local else REMOTE_LINK_COUNT
        ) - 1
        penalty_s = min(max_s, further_links * transmission_s)
        penalty_s += max(0.0, min_round_trip_s - round_trip_s)
        return PathCost(round_trip_s, min(max_s, transmission_s), penalty_s)
