"""A simulated node: the production components of one node, wired together."""

from collections.abc import Iterable
import random

import anyio
import anyio.abc

from radishwind.config.model import ServiceRules
from radishwind.core.clock import Clock
from radishwind.experiment.scenario import COLD_BURST_REQUESTS
from radishwind.experiment.scenario import COLD_RATE_FACTOR
from radishwind.http.sender import Sender
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.loads.report_scheduler import ReportScheduler
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.rumor_bus import NullRumorBus
from radishwind.peers.peer_listener import PeerListener
from radishwind.platform import PlatformDialect
from radishwind.routes.active_routes import ActiveRoutes
from radishwind.routes.evacuation import EvacuationState
from radishwind.routes.model import RouteConfig
from radishwind.routing.chooser import LoadReport
from radishwind.settings.placed_settings import PlacedSettings
from radishwind.sidecar.entry_side import EntrySide
from radishwind.sidecar.load_report_exchange import LOAD_CHECK_INTERVAL_S
from radishwind.sidecar.switches import Switches
from radishwind.sidecar.target_side import SidecarTarget
from radishwind.target.registered_server import Registration

#: Retry budget of the fleet, as a deployment would set it.
RETRY_SHARE = 0.2
RETRY_SLACK = 60.0
RETRY_WINDOW_S = 10.0

#: Interval of the heartbeats of a backend server (s).
HEARTBEAT_INTERVAL_S = 1.5


class SharedDirectory(Directory):
    """The running nodes; all nodes share it, so changes take effect at once."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._by_service: dict[str, tuple[Member, ...]] = {}

    def add(self, member: Member) -> None:
        """Adds `member`."""
        self._members[member.name] = member
        self._index()

    def remove(self, name: str) -> None:
        """Removes the member `name`."""
        self._members.pop(name, None)
        self._index()

    def eligible_members(self, service: str) -> tuple[Member, ...]:
        return self._by_service.get(service, ())

    def members(self) -> tuple[Member, ...]:
        return tuple(self._members.values())

    def _index(self) -> None:
        services = {m.service for m in self._members.values()}
        self._by_service = {
            service: tuple(
                m for m in self._members.values() if m.service == service
            )
            for service in services
        }


class SimulatedNode:
    """One process of a node, from its start to its stop."""

    def __init__(
        self,
        *,
        settings: PlacedSettings,
        clock: Clock,
        rng: random.Random,
        sender: Sender,
        directory: SharedDirectory,
        cfg: RouteConfig,
        switches: Switches,
    ) -> None:
        """Creates the components of the node and connects them.

        Args:
          settings: settings of the node.
          clock: time source.
          rng: random number generator of the node.
          sender: sends requests to the backend server and to other nodes.
          directory: the running nodes.
          cfg: route configuration.
          switches: mechanisms in use.
        """
        self.name = settings.node
        self._clock = clock
        self.target = SidecarTarget(
            settings=settings,
            clock=clock,
            sender=sender,
            check_sender=sender,
            dialect=PlatformDialect(),
            rumor_bus=NullRumorBus(),
            is_early_learner=lambda: True,
            on_ready_changed=lambda ready: None,
            switches=switches,
        )
        routes = ActiveRoutes(clock)
        self.evacuation = EvacuationState(clock)
        self.evacuation.subscribe(self.target.apply_evacuation)
        routes.subscribe(self.target.adopt)
        routes.adopt(cfg, b"", "scenario")
        self.entry = EntrySide(
            settings=settings,
            clock=clock,
            rng=rng,
            sender=sender,
            directory=directory,
            routes=routes,
            evacuation=self.evacuation,
            target=self.target,
            switches=switches,
            node_count=lambda: len(directory.members()),
            service=lambda: settings.service,
        )
        self.peers = PeerListener(
            node_name=settings.node,
            clock=clock,
            rules_for=lambda service: ServiceRules(),
            target=self.target.pipeline,
        )
        self._scope = anyio.CancelScope()

    def receive_heartbeat(self, server: Registration) -> None:
        """Handles a heartbeat of the local backend server."""
        self.target.register(server)

    async def run(self) -> None:
        """Runs the background tasks of the node until `stop` is called."""
        with self._scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.target.load_poller.run)
                tasks.start_soon(self.entry.pipeline.run_hedges)

    def stop(self) -> None:
        """Stops the background tasks."""
        self._scope.cancel()

    async def handle(self, request: Request) -> Response:
        """Handles the request of a caller."""
        return await self.entry.pipeline.handle(request)


class LoadReportSender:
    """Sends the load reports of one node to the others, with network delay."""

    def __init__(
        self,
        node: SimulatedNode,
        others: Iterable[tuple[SimulatedNode, float]],
        clock: Clock,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Subscribes to load changes of `node`.

        Args:
          node: node whose load is reported.
          others: receiving nodes, each with its one-way delay (s).
          clock: time source.
          tasks: task group that runs the deliveries.
        """
        self._node = node
        self._others = tuple(others)
        self._clock = clock
        self._tasks = tasks
        self._scheduler = ReportScheduler()
        self._sequence = 0
        self._start_ms = int(clock.monotonic() * 1000)
        self._is_stopped = False
        node.target.load_monitor.subscribe(self.send_if_due)

    async def run(self) -> None:
        """Sends reports that become due without a new load of the server."""
        while not self._is_stopped:
            self.send_if_due()
            await anyio.sleep(LOAD_CHECK_INTERVAL_S)

    def stop(self) -> None:
        """Stops sending reports."""
        self._is_stopped = True

    def send_if_due(self) -> None:
        """Sends a load report to all others if one is due."""
        report = self._node.target.pipeline.load_report()
        is_due_near, is_due_far = self._scheduler.due(
            report, self._clock.monotonic()
        )
        if self._is_stopped or not (is_due_near or is_due_far):
            return
        self._sequence += 1
        for other, delay_s in self._others:
            self._tasks.start_soon(
                self._deliver, other, delay_s, report, self._sequence
            )

    async def _deliver(
        self,
        other: SimulatedNode,
        delay_s: float,
        report: LoadReport,
        sequence: int,
    ) -> None:
        await anyio.sleep(delay_s)
        now = self._clock.monotonic()
        other.entry.chooser.receive_report(
            self._node.name, report, self._start_ms, sequence, now
        )


def make_settings(
    name: str, service: str, domain: str, host: str, first_port: int = 8000
) -> PlacedSettings:
    """Returns the settings of a simulated node."""
    return PlacedSettings(
        node=name,
        service=service,
        failure_domain=domain,
        failure_domains=(domain,),
        host=host,
        peer_port=first_port,
        callers=Address(host, first_port + 1),
        ready=Address(host, first_port + 2),
        control=Address(host, first_port + 3),
        server=Address(host, first_port + 4),
        store=Address(host, first_port + 5),
        metrics_port=0,
        heartbeat_s=HEARTBEAT_INTERVAL_S,
        drain_s=2.0,
        stop_grace_s=6.0,
        ack_s=4.0,
        retry_share=RETRY_SHARE,
        retry_slack=RETRY_SLACK,
        retry_window_s=RETRY_WINDOW_S,
        cold_over=COLD_RATE_FACTOR,
        cold_slack=COLD_BURST_REQUESTS,
    )
