"""Wires the freshness proof of keys, if the settings require one."""

import random

import anyio.abc

from radishwind.accounts import AlwaysFresh
from radishwind.accounts import KeyFreshness
from radishwind.core.clock import Clock
from radishwind.membership.directory import Directory
from radishwind.peers.peer_socket import PeerSocket
from radishwind.recency import ProofRenewer
from radishwind.recency import ProofSchedule
from radishwind.routes.active_routes import ActiveRoutes
from radishwind.routes.route_feed import RouteFeed
from radishwind.settings.placed_settings import PlacedSettings
from radishwind.sidecar.options import start_spread_s


class RecencySide:
    """The freshness of the keys known here, and the task that proves it.

    Attributes:
      freshness: whether the keys known here are fresh enough to accept.
      renewer: renews the proof; `None` if the settings require none.
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
        self.freshness: KeyFreshness = AlwaysFresh()
        self.renewer: ProofRenewer | None = None
        if settings.revoke_s is None:
            return
        self.renewer = ProofRenewer(
            node_name=settings.node,
            failure_domain=settings.failure_domain,
            schedule=ProofSchedule(settings.revoke_s),
            clock=clock,
            rng=rng,
            directory=directory,
            socket=socket,
            routes=routes,
            first_wait_s=start_spread_s(settings),
        )
        self.freshness = self.renewer.freshness

    def start(self, tasks: anyio.abc.TaskGroup, feed: RouteFeed) -> None:
        """Starts the task, which reads the store through `feed`."""
        if self.renewer is None:
            return
        self.renewer.connect(feed.confirm, feed.note_version)
        tasks.start_soon(self.renewer.run)
