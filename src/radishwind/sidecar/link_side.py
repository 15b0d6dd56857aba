"""Wires what a node learns about its link and the paths to other nodes."""

from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.loads.link_admission import LinkAdmission
from radishwind.loads.link_meter import LinkMeter
from radishwind.peers.peer_traffic import PeerTraffic
from radishwind.routes.model import RouteConfig
from radishwind.routing.path_costs import LinkPathCosts
from radishwind.routing.round_trip_times import RoundTripTimes
from radishwind.routing.route_sizes import RouteSizes
from radishwind.settings.placed_settings import PlacedSettings


class LinkSide:
    """The parts that measure the link, and those that use the results.

    Attributes:
      meter: measures the utilization of the link.
      link_admission: admits forwarded attempts by the free link capacity.
      sizes: body sizes of requests and responses, by route.
      traffic: counts the messages to other nodes.
      round_trips: round-trip times to other failure domains.
    """

    def __init__(self, settings: PlacedSettings, clock: Clock) -> None:
        """Starts without measurements.

        Args:
          settings: settings of the node, with the capacity of its link.
          clock: the clock.
        """
        self._clock = clock
        self._own_domain = settings.failure_domain
        self._aims: dict[str, float] = {}
        self.meter = LinkMeter(settings.link_mbps, clock)
        self.sizes = RouteSizes()
        self.link_admission = LinkAdmission(self.meter, self.sizes, clock)
        self.traffic = PeerTraffic()
        self.round_trips = RoundTripTimes()

    def path_costs(self, cross_domain_s: float) -> LinkPathCosts:
        """Returns the model of the path costs to other nodes.

        Args:
          cross_domain_s: minimum round trip counted for a path to another
            failure domain (s).
        """
        return LinkPathCosts(
            own_domain=self._own_domain,
            sizes=self.sizes,
            round_trips=self.round_trips,
            own_free_kbps=self.meter.free_kbps,
            aim_s=lambda route: self._aims.get(route, 0.0),
            cross_domain_s=cross_domain_s,
        )

    def adopt(self, cfg: RouteConfig) -> None:
        """Adopts a new routes configuration."""
        self._aims = {route.name: route.aim_s for route in cfg.routes}
        self.sizes.expect_large(
            frozenset(r.name for r in cfg.routes if r.has_large_responses)
        )

    def record_round_trip(self, address: Address, round_trip_s: float) -> None:
        """Records the round-trip time of a message to another node (s)."""
        domain = self.traffic.domain_of(address.host)
        if domain is not None:
            self.round_trips.record(
                domain, round_trip_s, self._clock.monotonic()
            )
