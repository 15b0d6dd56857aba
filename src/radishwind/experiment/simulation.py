"""Simulation of a scenario: builds the fleet, applies the load, reports."""

import itertools
import random

import anyio
import anyio.abc

from radishwind.experiment.network import Network
from radishwind.experiment.network import NetworkSender
from radishwind.experiment.report import Report
from radishwind.experiment.scenario import Burst
from radishwind.experiment.scenario import DomainEvacuation
from radishwind.experiment.scenario import Event
from radishwind.experiment.scenario import LeavingServers
from radishwind.experiment.scenario import LimitedServers
from radishwind.experiment.scenario import RequestKind
from radishwind.experiment.scenario import Scenario
from radishwind.experiment.scenario import ServiceModel
from radishwind.experiment.scenario import SlowServers
from radishwind.experiment.simulated_callers import HOST
from radishwind.experiment.simulated_callers import make_request
from radishwind.experiment.simulated_callers import SimulatedCallers
from radishwind.experiment.simulated_node import HEARTBEAT_INTERVAL_S
from radishwind.experiment.simulated_node import LoadReportSender
from radishwind.experiment.simulated_node import make_settings
from radishwind.experiment.simulated_node import SharedDirectory
from radishwind.experiment.simulated_node import SimulatedNode
from radishwind.experiment.simulated_server import HEALTH_PATH
from radishwind.experiment.simulated_server import SimulatedServer
from radishwind.experiment.virtual_loop import run_in_virtual_time
from radishwind.experiment.virtual_loop import VirtualClock
from radishwind.http.errors import SendError
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.membership.directory import Member
from radishwind.routes.evacuation import EvacuatedDomains
from radishwind.routes.model import Route
from radishwind.routes.model import RouteConfig
from radishwind.routes.model import ServiceInfo
from radishwind.routes.model import WeightedService
from radishwind.settings.placed_settings import PlacedSettings
from radishwind.sidecar.switches import ALL_ON
from radishwind.sidecar.switches import Switches
from radishwind.store.position import StorePosition
from radishwind.target.registered_server import Registration

#: One-way delay within an instance (s).
_LOCAL_DELAY_S = 0.0001

_MAX_SERVER_CONNECTIONS = 260


def simulate(scenario: Scenario, switches: Switches = ALL_ON) -> Report:
    """Simulates `scenario` and returns the results that its callers saw."""
    return run_in_virtual_time(_Simulation(scenario, switches).run())


class _Instance:
    """An instance, with the node and the server that run on it, if any."""

    def __init__(self, settings: PlacedSettings, model: ServiceModel) -> None:
        self.settings = settings
        self.model = model
        self.node: SimulatedNode | None = None
        self.server: SimulatedServer | None = None
        self.report_sender: LoadReportSender | None = None

    def restart_warmup(self) -> None:
        """Makes the server of the instance cold, if it has one."""
        if self.server is not None:
            self.server.restart_warmup()


class _Simulation:
    """The fleet and the load of one simulation."""

    def __init__(self, scenario: Scenario, switches: Switches) -> None:
        self._scenario = scenario
        self._switches = switches
        self._rng = random.Random(scenario.seed)
        self._clock = VirtualClock()
        self._network = Network()
        self._directory = SharedDirectory()
        self._kinds = {kind.name: kind for kind in scenario.kinds}
        self._cfg = _make_routes(scenario)
        self._instances = list(self._make_instances())
        self._rate_factor = 1.0
        self._runs = 0
        self._cold_crashes = 0
        self._servers: list[SimulatedServer] = []
        self._revisions = itertools.count(1)
        self._evacuated = EvacuatedDomains()
        self._names = itertools.count(1)

    async def run(self) -> Report:
        callers = SimulatedCallers(
            self._send_to_any_node, self._make_rng(), self._clock
        )
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for instance in self._instances:
                self._start_instance(instance)
            await anyio.sleep(self._scenario.lead_s)
            load_start = self._clock.monotonic()
            async with anyio.create_task_group() as traffic:
                for event in self._scenario.events:
                    tasks.start_soon(self._apply_event, event)
                for kind in self._scenario.kinds:
                    traffic.start_soon(
                        self._generate_arrivals, kind, callers, load_start
                    )
            for instance in self._instances:
                self._stop(instance)
            tasks.cancel_scope.cancel()
        return Report(
            tuple(callers.records),
            self._runs,
            self._cold_crashes,
            max((x.limit_meter.excess for x in self._servers), default=0.0),
            sum(x.late_arrivals for x in self._servers),
        )

    async def _generate_arrivals(
        self, kind: RequestKind, callers: SimulatedCallers, load_start: float
    ) -> None:
        """Sends requests of `kind` at the times of a Poisson process."""
        rng = self._make_rng()
        async with anyio.create_task_group() as requests:
            while kind.per_s:
                rate = kind.per_s * self._rate_factor
                await anyio.sleep(rng.expovariate(rate))
                if (
                    self._clock.monotonic() - load_start
                    > self._scenario.length_s
                ):
                    break
                requests.start_soon(callers.send_with_retries, kind, load_start)

    async def _send_to_any_node(self, request: Request) -> Response | None:
        """Sends a caller's request to a running node chosen at random."""
        running = [x for x in self._instances if x.node is not None]
        if not running:
            await anyio.sleep(_LOCAL_DELAY_S)
            return None
        address = self._rng.choice(running).settings.callers
        return await self._send(address, request)

    async def _send(
        self, address: Address, request: Request
    ) -> Response | None:
        try:
            return await self._network.exchange(
                address, request, _LOCAL_DELAY_S
            )
        except SendError:
            return None

    async def _apply_event(self, event: Event) -> None:
        await anyio.sleep(event.at)
        if isinstance(event, Burst):
            self._rate_factor *= event.x
            await anyio.sleep(event.for_s)
            self._rate_factor /= event.x
            return
        if isinstance(event, DomainEvacuation):
            await self._evacuate(event)
            return
        if isinstance(event, LimitedServers):
            await self._limit_servers(event)
            return
        if isinstance(event, LeavingServers):
            await self._replace_servers(event)
            return
        count = max(1, round(event.share * len(self._instances)))
        affected = self._rng.sample(self._instances, count)
        if isinstance(event, SlowServers):
            servers = [x.server for x in affected if x.server is not None]
            for server in servers:
                server.hidden_slowdown *= event.x
            await anyio.sleep(event.for_s)
            for server in servers:
                server.hidden_slowdown /= event.x
            return
        for instance in affected:
            self._stop(instance)
        await anyio.sleep(event.for_s)
        for instance in affected:
            self._start_instance(instance)

    async def _evacuate(self, event: DomainEvacuation) -> None:
        """Evacuates a failure domain for a while; its servers end cold."""
        self._set_evacuated(event.domain, evacuated=True)
        await anyio.sleep(event.for_s)
        for instance in self._instances:
            if instance.settings.failure_domain == event.domain:
                instance.restart_warmup()
        self._set_evacuated(event.domain, evacuated=False)

    def _sample_running(self, service: str, share: float) -> list[_Instance]:
        """Returns a random share of the instances that run `service`."""
        running = [
            x
            for x in self._instances
            if x.server is not None and x.settings.service == service
        ]
        return self._rng.sample(running, max(1, round(share * len(running))))

    async def _limit_servers(self, event: LimitedServers) -> None:
        """Lets some servers of a service state a limit for a while."""
        limited = [
            x.server
            for x in self._sample_running(event.service, event.share)
            if x.server is not None
        ]
        for server in limited:
            server.has_notices_in_health_responses = event.in_health_responses
            server.limit_meter.set_limit(event.per_s, self._clock.monotonic())
        await anyio.sleep(event.for_s)
        for server in limited:
            server.limit_meter.set_limit(None, self._clock.monotonic())

    async def _replace_servers(self, event: LeavingServers) -> None:
        """Lets some servers of a service leave, and replaces them."""
        leaving = self._sample_running(event.service, event.share)
        for instance in leaving:
            assert instance.server is not None
            instance.server.is_leaving = True
        await anyio.sleep(event.for_s)
        for instance in leaving:
            if instance.node is None or instance.server is None:
                continue
            self._runs += instance.server.started_runs
            self._network.close_listener(instance.settings.server)
            self._start_server(instance, instance.node)

    def _set_evacuated(self, domain: str, *, evacuated: bool) -> None:
        """Marks `domain` as evacuated, or not, at all running nodes."""
        self._evacuated = self._evacuated.with_change(
            domain,
            StorePosition(0, next(self._revisions)),
            evacuated=evacuated,
        )
        for instance in self._instances:
            if instance.node is not None:
                instance.node.evacuation.adopt(self._evacuated, "simulation")

    def _start_instance(self, instance: _Instance) -> None:
        settings = instance.settings
        node = SimulatedNode(
            settings=settings,
            clock=self._clock,
            rng=self._make_rng(),
            sender=NetworkSender(
                self._network,
                settings.host,
                lambda address: self._delay_s(settings, address),
            ),
            directory=self._directory,
            cfg=self._cfg,
            switches=self._switches,
        )
        node.evacuation.adopt(self._evacuated, "simulation")
        instance.node = node
        self._network.listen(settings.callers, node.handle)
        self._network.listen(settings.peers, node.peers.handle)
        self._tasks.start_soon(node.run)
        self._start_server(instance, node)
        self._announce(instance, node)

    def _start_server(self, instance: _Instance, node: SimulatedNode) -> None:
        """Starts a server process on the instance of `node`."""
        settings = instance.settings
        server = SimulatedServer(
            instance.model,
            self._kinds,
            self._make_rng(),
            self._clock,
            lambda kind, left_s: self._call_from_server(settings, kind, left_s),
            f"i-{next(self._names)}",
        )
        server.on_cold_crash = lambda: self._handle_crash(
            instance, node, server
        )
        instance.server = server
        self._servers.append(server)
        self._network.listen(settings.server, server.handle)
        self._tasks.start_soon(self._send_heartbeats, instance, node, server)

    def _handle_crash(
        self, instance: _Instance, node: SimulatedNode, server: SimulatedServer
    ) -> None:
        """Removes a server that crashed and schedules its restart."""
        if instance.server is not server:
            return
        self._cold_crashes += 1
        self._runs += server.started_runs
        instance.server = None
        self._network.close_listener(instance.settings.server)
        self._tasks.start_soon(self._restart_after_crash, instance, node)

    async def _restart_after_crash(
        self, instance: _Instance, node: SimulatedNode
    ) -> None:
        await anyio.sleep(instance.model.down_s)
        if instance.node is node and instance.server is None:
            self._start_server(instance, node)

    def _announce(self, instance: _Instance, node: SimulatedNode) -> None:
        """Adds a node to the directory and connects its load reports."""
        settings = instance.settings
        self._directory.add(
            Member(
                settings.node,
                settings.service,
                settings.failure_domain,
                settings.peers,
            )
        )
        for each in self._instances:
            if each.report_sender is not None:
                each.report_sender.stop()
            if each.node is None:
                continue
            others = [
                (x.node, self._delay_s(each.settings, x.settings.peers))
                for x in self._instances
                if x.node is not None and x is not each
            ]
            each.report_sender = LoadReportSender(
                each.node, others, self._clock, self._tasks
            )
            self._tasks.start_soon(each.report_sender.run)

    def _stop(self, instance: _Instance) -> None:
        if instance.node is None:
            return
        if instance.server is not None:
            self._runs += instance.server.started_runs
        instance.node.stop()
        if instance.report_sender is not None:
            instance.report_sender.stop()
        self._directory.remove(instance.settings.node)
        settings = instance.settings
        for address in (settings.callers, settings.peers, settings.server):
            self._network.close_listener(address)
        instance.node, instance.server = None, None

    async def _send_heartbeats(
        self, instance: _Instance, node: SimulatedNode, server: SimulatedServer
    ) -> None:
        for sequence in itertools.count(1):
            if instance.server is not server:
                return
            node.receive_heartbeat(
                Registration(
                    server.name,
                    instance.settings.service,
                    instance.settings.server,
                    instance.model.slots,
                    False,
                    server.warmup_left_s(),
                    sequence,
                )
            )
            await anyio.sleep(HEARTBEAT_INTERVAL_S)

    async def _call_from_server(
        self, settings: PlacedSettings, kind: str, left_s: float
    ) -> bool:
        """Sends a nested request of a server through its local node."""
        nested = self._kinds[kind]
        limit_s = min(left_s, nested.timeout_s)
        name = f"n{next(self._names)}"
        response = None
        with anyio.move_on_after(limit_s):
            response = await self._send(
                settings.callers, make_request(nested, name, limit_s)
            )
        return response is not None and response.status == 200

    def _delay_s(self, settings: PlacedSettings, address: Address) -> float:
        if address.host == settings.host:
            return _LOCAL_DELAY_S
        domain = self._domains[address.host]
        if domain == settings.failure_domain:
            return self._scenario.near_s
        return self._scenario.far_s

    def _make_instances(self) -> list[_Instance]:
        """Creates the instances, assigned to the failure domains in turn."""
        self._domains: dict[str, str] = {}
        instances: list[_Instance] = []
        for model in self._scenario.services:
            for i in range(model.targets):
                number = len(instances)
                domain = f"d{number % self._scenario.domains}"
                host = f"10.{number // 250}.0.{number % 250 + 1}"
                self._domains[host] = domain
                name = f"{model.name}-{i + 1}"
                settings = make_settings(name, model.name, domain, host)
                instances.append(_Instance(settings, model))
        return instances

    def _make_rng(self) -> random.Random:
        """Returns a new random number generator, derived from the seed."""
        return random.Random(self._rng.getrandbits(64))


def _make_routes(scenario: Scenario) -> RouteConfig:
    routes = tuple(
        Route(
            name=kind.name,
            host=HOST,
            prefix=f"/{kind.name}/",
            idempotent=kind.idempotent,
            weighted_services=(WeightedService(kind.service),),
            timeout_s=kind.route_timeout_s or kind.timeout_s,
            aim_s=kind.aim_s,
            priority=kind.priority,
            attempts=3 if kind.idempotent else 2,
        )
        for kind in scenario.kinds
    )
    services = {
        model.name: ServiceInfo(
            model.name,
            HEALTH_PATH,
            _MAX_SERVER_CONNECTIONS,
            model.cold_s,
            model.cold_per_s or None,
        )
        for model in scenario.services
    }
    return RouteConfig(1, routes, services)
