"""Plays a scenario: builds the fleet, lets callers come, and reports."""

import itertools
import random

import anyio
import anyio.abc

from radishwind.experiment.callers import Callers
from radishwind.experiment.callers import HOST
from radishwind.experiment.callers import make_request
from radishwind.experiment.loop import LoopClock
from radishwind.experiment.loop import run
from radishwind.experiment.network import Network
from radishwind.experiment.network import NetworkSender
from radishwind.experiment.nodes import HEARTBEAT_S
from radishwind.experiment.nodes import LoadNews
from radishwind.experiment.nodes import ModelNode
from radishwind.experiment.nodes import placed
from radishwind.experiment.nodes import Roster
from radishwind.experiment.report import Report
from radishwind.experiment.scenario import Burst
from radishwind.experiment.scenario import Emptied
from radishwind.experiment.scenario import Event
from radishwind.experiment.scenario import Kind
from radishwind.experiment.scenario import Scenario
from radishwind.experiment.scenario import ServiceModel
from radishwind.experiment.scenario import Slow
from radishwind.experiment.servers import HEALTH_PATH
from radishwind.experiment.servers import ModelServer
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
from radishwind.settings.placed import PlacedSettings
from radishwind.sidecar.switches import ALL_ON
from radishwind.sidecar.switches import Switches
from radishwind.target.registered_server import Registration

#: One way within an instance (s).
_OWN_S = 0.0001

_CONNECTIONS = 260


def play(scenario: Scenario, switches: Switches = ALL_ON) -> Report:
    """Returns what the callers of `scenario` got."""
    return run(_Play(scenario, switches).run())


class _Instance:
    """One instance of a play: its place, and whoever lives there now."""

    def __init__(self, settings: PlacedSettings, model: ServiceModel) -> None:
        self.settings = settings
        self.model = model
        self.node: ModelNode | None = None
        self.server: ModelServer | None = None
        self.news: LoadNews | None = None

    def turn_cold(self) -> None:
        """Lets the server there be cold, if one is."""
        if self.server is not None:
            self.server.turn_cold()


class _Play:
    """The fleet of one play."""

    def __init__(self, scenario: Scenario, switches: Switches) -> None:
        self._scenario = scenario
        self._switches = switches
        self._rng = random.Random(scenario.seed)
        self._clock = LoopClock()
        self._network = Network()
        self._roster = Roster()
        self._kinds = {kind.name: kind for kind in scenario.kinds}
        self._cfg = _routes(scenario)
        self._instances = list(self._places())
        self._factor = 1.0
        self._runs = 0
        self._felled = 0
        self._revisions = itertools.count(1)
        self._emptied = EvacuatedDomains()
        self._names = itertools.count(1)

    async def run(self) -> Report:
        callers = Callers(self._ask, self._fork(), self._clock)
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for instance in self._instances:
                self._start(instance)
            await anyio.sleep(self._scenario.lead_s)
            since = self._clock.monotonic()
            async with anyio.create_task_group() as traffic:
                for event in self._scenario.events:
                    tasks.start_soon(self._happen, event)
                for kind in self._scenario.kinds:
                    traffic.start_soon(self._come, kind, callers, since)
            for instance in self._instances:
                self._end(instance)
            tasks.cancel_scope.cancel()
        return Report(tuple(callers.answered), self._runs, self._felled)

    async def _come(self, kind: Kind, callers: Callers, since: float) -> None:
        """Lets callers of `kind` come by chance."""
        rng = self._fork()
        async with anyio.create_task_group() as requests:
            while kind.per_s:
                rate = kind.per_s * self._factor
                await anyio.sleep(rng.expovariate(rate))
                if self._clock.monotonic() - since > self._scenario.length_s:
                    break
                requests.start_soon(callers.one, kind, since)

    async def _ask(self, request: Request) -> Response | None:
        """Sends a caller's request to a node that is up, by chance."""
        up = [x for x in self._instances if x.node is not None]
        if not up:
            await anyio.sleep(_OWN_S)
            return None
        address = self._rng.choice(up).settings.callers
        return await self._send(address, request)

    async def _send(
        self, address: Address, request: Request
    ) -> Response | None:
        try:
            return await self._network.exchange(address, request, _OWN_S)
        except SendError:
            return None

    async def _happen(self, event: Event) -> None:
        await anyio.sleep(event.at)
        if isinstance(event, Burst):
            self._factor *= event.x
            await anyio.sleep(event.for_s)
            self._factor /= event.x
            return
        if isinstance(event, Emptied):
            self._empty(event.domain, emptied=True)
            await anyio.sleep(event.for_s)
            for instance in self._instances:
                if instance.settings.failure_domain == event.domain:
                    instance.turn_cold()
            self._empty(event.domain, emptied=False)
            return
        count = max(1, round(event.share * len(self._instances)))
        struck = self._rng.sample(self._instances, count)
        if isinstance(event, Slow):
            servers = [x.server for x in struck if x.server is not None]
            for server in servers:
                server.slow *= event.x
            await anyio.sleep(event.for_s)
            for server in servers:
                server.slow /= event.x
            return
        for instance in struck:
            self._end(instance)
        await anyio.sleep(event.for_s)
        for instance in struck:
            self._start(instance)

    def _empty(self, domain: str, *, emptied: bool) -> None:
        """Tells all nodes that `domain` is emptied, or taken back."""
        self._emptied = self._emptied.with_change(
            domain, next(self._revisions), evacuated=emptied
        )
        for instance in self._instances:
            if instance.node is not None:
                instance.node.evacuation.adopt(self._emptied, "play")

    def _start(self, instance: _Instance) -> None:
        settings = instance.settings
        node = ModelNode(
            settings=settings,
            clock=self._clock,
            rng=self._fork(),
            sender=NetworkSender(
                self._network,
                settings.host,
                lambda address: self._way_s(settings, address),
            ),
            roster=self._roster,
            cfg=self._cfg,
            switches=self._switches,
        )
        node.evacuation.adopt(self._emptied, "play")
        instance.node = node
        self._network.listen(settings.callers, node.handle)
        self._network.listen(settings.peers, node.peers.handle)
        self._tasks.start_soon(node.run)
        self._start_server(instance, node)
        self._join(instance, node)

    def _start_server(self, instance: _Instance, node: ModelNode) -> None:
        """Begins a life of the server beside `node`."""
        settings = instance.settings
        server = ModelServer(
            instance.model,
            self._kinds,
            self._fork(),
            self._clock,
            lambda kind, left_s: self._nested(settings, kind, left_s),
            f"i-{next(self._names)}",
        )
        server.fell = lambda: self._fell(instance, node, server)
        instance.server = server
        self._network.listen(settings.server, server.handle)
        self._tasks.start_soon(self._heartbeats, instance, node, server)

    def _fell(
        self, instance: _Instance, node: ModelNode, server: ModelServer
    ) -> None:
        """Ends a server that got more than it stands, for a while."""
        if instance.server is not server:
            return
        self._felled += 1
        self._runs += server.began
        instance.server = None
        self._network.cut(instance.settings.server)
        self._tasks.start_soon(self._stand_up, instance, node)

    async def _stand_up(self, instance: _Instance, node: ModelNode) -> None:
        await anyio.sleep(instance.model.down_s)
        if instance.node is node and instance.server is None:
            self._start_server(instance, node)

    def _join(self, instance: _Instance, node: ModelNode) -> None:
        """Lets all hear of a new node, and of its load from now on."""
        settings = instance.settings
        self._roster.enter(
            Member(
                settings.node,
                settings.service,
                settings.failure_domain,
                settings.peers,
            )
        )
        for each in self._instances:
            if each.news is not None:
                each.news.stop()
            if each.node is None:
                continue
            others = [
                (x.node, self._way_s(each.settings, x.settings.peers))
                for x in self._instances
                if x.node is not None and x is not each
            ]
            each.news = LoadNews(each.node, others, self._clock, self._tasks)
            self._tasks.start_soon(each.news.run)

    def _end(self, instance: _Instance) -> None:
        if instance.node is None:
            return
        if instance.server is not None:
            self._runs += instance.server.began
        instance.node.stop()
        if instance.news is not None:
            instance.news.stop()
        self._roster.leave(instance.settings.node)
        settings = instance.settings
        for address in (settings.callers, settings.peers, settings.server):
            self._network.cut(address)
        instance.node, instance.server = None, None

    async def _heartbeats(
        self, instance: _Instance, node: ModelNode, server: ModelServer
    ) -> None:
        for order in itertools.count(1):
            if instance.server is not server:
                return
            node.hears_of(
                Registration(
                    server.name,
                    instance.settings.service,
                    instance.settings.server,
                    instance.model.slots,
                    False,
                    server.cold_left_s(),
                    order,
                )
            )
            await anyio.sleep(HEARTBEAT_S)

    async def _nested(
        self, settings: PlacedSettings, kind: str, left_s: float
    ) -> bool:
        """Makes the call of a run, by the node beside its server."""
        called = self._kinds[kind]
        limit_s = min(left_s, called.timeout_s)
        name = f"n{next(self._names)}"
        response = None
        with anyio.move_on_after(limit_s):
            response = await self._send(
                settings.callers, make_request(called, name, limit_s)
            )
        return response is not None and response.status == 200

    def _way_s(self, settings: PlacedSettings, address: Address) -> float:
        if address.host == settings.host:
            return _OWN_S
        domain = self._domains[address.host]
        if domain == settings.failure_domain:
            return self._scenario.near_s
        return self._scenario.far_s

    def _places(self) -> list[_Instance]:
        """Deals the instances to the failure domains in turn."""
        self._domains: dict[str, str] = {}
        places: list[_Instance] = []
        for model in self._scenario.services:
            for i in range(model.targets):
                number = len(places)
                domain = f"d{number % self._scenario.domains}"
                host = f"10.{number // 250}.0.{number % 250 + 1}"
                self._domains[host] = domain
                name = f"{model.name}-{i + 1}"
                settings = placed(name, model.name, domain, host)
                places.append(_Instance(settings, model))
        return places

    def _fork(self) -> random.Random:
        """Returns a random source of its own, by the seed."""
        return random.Random(self._rng.getrandbits(64))


def _routes(scenario: Scenario) -> RouteConfig:
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
            _CONNECTIONS,
            model.cold_s,
            model.cold_per_s or None,
        )
        for model in scenario.services
    }
    return RouteConfig(1, routes, services)
