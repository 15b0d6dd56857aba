"""What a node knows of its link and of the ways to other nodes."""

from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.loads.link_admission import LinkAdmission
from radishwind.loads.link_meter import LinkMeter
from radishwind.peers.peer_traffic import PeerTraffic
from radishwind.routes.model import RouteConfig
from radishwind.routing.path_costs import LinkPathCosts
from radishwind.routing.round_trip_times import RoundTripTimes
from radishwind.routing.route_sizes import RouteSizes
from radishwind.settings.placed import PlacedSettings


class LinkSide:
    """The parts that learn of links, and decide by what they learned.

    Attributes:
      meter: what the link carries.
      room: what the node takes on for others.
      sizes: of requests and answers, by route.
      traffic: what passes to other nodes.
      trips: round trips to other failure domains.
    """

    def __init__(self, settings: PlacedSettings, clock: Clock) -> None:
        """Knows nothing yet.

        Args:
          settings: of the node; they tell its link.
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
        """Returns how ways to other nodes are weighed.

        Args:
          cross_domain_s: what the way to another failure domain and back counts
            for at least (s).
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
        """Follows a new configuration."""
        self._aims = {route.name: route.aim_s for route in cfg.routes}
        self.sizes.expect_large(
            frozenset(r.name for r in cfg.routes if r.has_large_responses)
        )

    def record_round_trip(self, address: Address, trip_s: float) -> None:
        """Takes how long a message to another node took there and back (s)."""
        domain = self.traffic.domain_of(address.host)
        if domain is not None:
            self.round_trips.record(domain, trip_s, self._clock.monotonic())
