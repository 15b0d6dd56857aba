"""Wires the freshness proof of the configuration."""

import random

from radishwind.core.clock import Clock
from radishwind.core.freshness import AlwaysFresh
from radishwind.core.freshness import Freshness
from radishwind.membership.directory import Directory
from radishwind.peers.peer_socket import PeerSocket
from radishwind.recency import ProofRenewer
from radishwind.recency import ProofSchedule
from radishwind.routes.active_routes import ActiveRoutes
from radishwind.routes.route_feed import RouteFeed
from radishwind.settings.placed_settings import PlacedSettings
from radishwind.sidecar.options import start_spread_s


class RecencySide:
    """The freshness of the configuration, and the duty that proves it.

    Attributes:
      routes: whether the routes known here are fresh enough to deny others.
      keys: whether the keys known here are fresh enough to accept.
      renewer: renews the proof.
    """

    def __init__(
        self,
        *,
        settings: PlacedSettings,
        clock: Clock,
        rng: random.Random,
        directory: Directory,
        routes: ActiveRoutes,
        socket: PeerSocket,
    ) -> None:
        """Wires the proof.

        Args:
          settings: settings of the node.
          clock: the clock.
          rng: chooses identifiers of queries and spreads store calls.
          directory: the known nodes.
          routes: the configuration in force.
          socket: carries queries and replies.
        """
        bounds_s = {"routes": settings.config_s}
        if settings.revoke_s is not None:
            bounds_s["keys"] = settings.revoke_s
        self.renewer = ProofRenewer(
            node_name=settings.node,
            failure_domain=settings.failure_domain,
            schedule=ProofSchedule(min(bounds_s.values())),
            clock=clock,
            rng=rng,
            directory=directory,
            socket=socket,
            routes=routes,
            first_wait_s=start_spread_s(settings),
            max_ages_s={
                use: ProofSchedule(bound_s).max_age_s
                for use, bound_s in bounds_s.items()
            },
        )
        proven = self.renewer.freshness
        self.routes: Freshness = proven.within(settings.config_s)
        self.keys: Freshness = AlwaysFresh()
        if settings.revoke_s is not None:
            self.keys = proven.within(settings.revoke_s)

    def connect(self, feed: RouteFeed) -> None:
        """Reads the store through `feed`."""
        self.renewer.connect(feed.confirm, feed.note_version)
