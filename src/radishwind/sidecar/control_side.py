"""Wires the control side: routes, heartbeats, leaving records, profiles."""

import random

from radishwind.core.clock import Clock
from radishwind.membership.ranking import ranks_among_first
from radishwind.node.membership_tasks import MembershipTasks
from radishwind.peers.peer_client import PeerClient
from radishwind.peers.peer_listener import PeerListener
from radishwind.platform import decode_routes
from radishwind.platform.routes import CONFIG_KEY
from radishwind.platform.routes import evacuated_domain
from radishwind.platform.routes import OPERATOR_PREFIX
from radishwind.routes.active_routes import ActiveRoutes
from radishwind.routes.evacuation import EvacuationState
from radishwind.routes.route_feed import CONTROL_NAME as ROUTES_CONTROL
from radishwind.routes.route_feed import MAX_CONFIG_BYTES as ROUTES_MAX_BYTES
from radishwind.routes.route_feed import RouteFeed
from radishwind.routes.store_watcher import OperatorKeys
from radishwind.routes.unsigned_requests import UnsignedRequestHandler
from radishwind.settings.placed_settings import PlacedSettings
from radishwind.sidecar.control import HeartbeatListener
from radishwind.sidecar.era_notices import EraNotices
from radishwind.sidecar.leaving_records_loader import LeavingRecordsLoader
from radishwind.sidecar.options import FIRST_START_SPREAD_S
from radishwind.sidecar.recency_side import RecencySide
from radishwind.sidecar.service_profile import EARLY_LEARNERS
from radishwind.sidecar.service_profile import LocalEstimates
from radishwind.sidecar.service_profile import ProfileSynchronizer
from radishwind.sidecar.target_side import SidecarTarget
from radishwind.store.base import Store
from radishwind.store.era_tracker import EraTracker
from radishwind.store.watch_monitor import WatchMonitor
from radishwind.supervision import Duty
from radishwind.target.leaving_records import CONTROL_NAME as LEAVING_CONTROL
from radishwind.target.leaving_records import LeavingRecords
from radishwind.target.leaving_records_reader import (
    CONTROL_NAME as LIST_CONTROL,
)
from radishwind.target.leaving_records_reader import LeavingRecordsReader
from radishwind.target.server_process import ServerProcess


class ControlSide:
    """The parts of the control plane, and their duties.

    Attributes:
      heartbeats: handles heartbeats of the local backend server.
    """

    def __init__(
        self,
        *,
        settings: PlacedSettings,
        clock: Clock,
        rng: random.Random,
        store: Store,
        client: PeerClient,
        membership: MembershipTasks,
        routes: ActiveRoutes,
        evacuation: EvacuationState,
        target: SidecarTarget,
        recency: RecencySide,
        eras: EraTracker,
    ) -> None:
        """Wires the control side.

        Args:
          settings: settings of the node.
          clock: the clock.
          rng: chooses peers and spreads store calls.
          store: the platform's store.
          client: sends control messages to other nodes.
          membership: the known nodes.
          routes: the routes in force.
          evacuation: the evacuated failure domains.
          target: the own target.
          recency: the freshness proof of the configuration.
          eras: follows the era of the store.
        """
        self._settings = settings
        self._recency = recency
        self._membership = membership
        self._routes = routes
        self._target = target
        self._records_reader = LeavingRecordsReader(
            node_name=settings.node,
            clock=clock,
            store=store,
            directory=membership.directory,
            peers=client,
            rng=rng,
        )
        self._records = LeavingRecords(
            node_name=settings.node,
            clock=clock,
            store=store,
            directory=membership.directory,
            rumor_bus=membership.rumor_bus,
            peers=client,
            rng=rng,
            reader=self._records_reader,
            on_leaving=target.server.mark_leaving,
        )
        self._profile = ProfileSynchronizer(
            clock=clock,
            store=store,
            estimates=LocalEstimates(
                target.concurrency_estimator, target.load_monitor
            ),
            service=lambda: target.server.service,
            is_on_duty=lambda: self._ranks_among(1),
            first_start=settings.first_start,
            rumor_bus=membership.rumor_bus,
        )
        self._feed = RouteFeed(
            node_name=settings.node,
            failure_domain=settings.failure_domain,
            keys=OperatorKeys(OPERATOR_PREFIX, CONFIG_KEY, evacuated_domain),
            decode=decode_routes,
            store=store,
            active_routes=routes,
            evacuation=evacuation,
            directory=membership.directory,
            rumor_bus=membership.rumor_bus,
            peers=client,
            clock=clock,
            rng=rng,
            first_wait_s=(
                FIRST_START_SPREAD_S if settings.first_start else 0.0
            ),
            on_proof=recency.renewer.accept_first_read,
        )
        recency.connect(self._feed)
        eras.subscribe(self._feed.on_new_era)
        eras.subscribe(self._records.on_new_era)
        self._era_notices = EraNotices(
            eras=eras,
            store=store,
            rumor_bus=membership.rumor_bus,
            node_count=membership.node_count,
            clock=clock,
            rng=rng,
        )
        self._unsigned_requests = UnsignedRequestHandler(
            feed=self._feed,
            directory=membership.directory,
            peers=client,
            clock=clock,
        )
        self.heartbeats = HeartbeatListener(
            clock=clock,
            register=target.register,
            resolve=target.server.resolve,
            is_service_allowed=self._is_service_allowed,
            records=self._records,
            are_records_loaded=lambda: self._records_loader.is_done,
        )
        self._records_loader = LeavingRecordsLoader(
            clock=clock,
            records=self._records,
            first_start=settings.first_start,
            on_loaded=self.heartbeats.on_records_loaded,
        )

    @property
    def watch_monitor(self) -> WatchMonitor:
        """State of this node's watch of the store."""
        return self._feed.watch_monitor

    def listen_on(self, peers: PeerListener) -> None:
        """Handles messages of other nodes about routes and leaving servers."""
        peers.add_control_handler(
            ROUTES_CONTROL,
            self._feed.handle,
            ROUTES_MAX_BYTES,
            unsigned_handler=self._unsigned_requests.handle,
        )
        peers.add_control_handler(LEAVING_CONTROL, self._records.handle)
        peers.add_control_handler(LIST_CONTROL, self._records_reader.handle)

    def duties(self) -> tuple[Duty, ...]:
        """Returns the duties of the control side."""
        return (
            *self._feed.duties(),
            Duty("store.era_notices", self._era_notices.run),
            *self._recency.renewer.duties(),
            Duty("leaving.load", self._records_loader.run, may_end=True),
            Duty("leaving.records", self._records.run),
            Duty("profile", self._profile.run),
        )

    def announce_leaving(self, process: ServerProcess) -> None:
        """Announces that a process of the local server is leaving."""
        self._records.announce(process)

    def apply_settings(self, settings: PlacedSettings) -> None:
        """Applies changed settings."""
        self._settings = settings

    def is_early_learner(self) -> bool:
        """Returns whether this node measures its server before it is used.

        A node that knows no other node of its service need not, since it learns
        as soon as it has callers.
        """
        return bool(self._others_of_service()) and self._ranks_among(
            EARLY_LEARNERS
        )

    def _ranks_among(self, count: int) -> bool:
        """Returns whether it ranks among the first `count` of its service."""
        others = self._others_of_service()
        return ranks_among_first(self._settings.node, others, count)

    def _others_of_service(self) -> list[str]:
        service = self._target.server.service
        return [
            member.name
            for member in self._membership.directory.eligible_members(service)
            if member.name != self._settings.node
        ]

    def _is_service_allowed(self, service: str) -> bool:
        """Returns whether a server of `service` may run beside this node."""
        cfg = self._routes.cfg
        if cfg is None or service == self._settings.service:
            return True
        return service in cfg.services
