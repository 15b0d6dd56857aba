"""The deployment under test: node processes with a proxy in each link."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
import pathlib
import random
import signal
from typing import Any

import aiohttp

from radishwind.http.types import Address
from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import Instance
from radishwind.standins.platform_fleet import Place
from radishwind.standins.platform_fleet import route
from radishwind.standins.platform_server import PlatformServerStandin
from radishwind.standins.platform_server import ServerOptions
from radishwind.standins.store_faults import StoreFaults
from tests.soak.account_keys import AccountKeys
from tests.soak.config_checks import ConfigurationChecks
from tests.soak.loopback_proxy import LoopbackProxy
from tests.soak.node_exits import is_planned
from tests.soak.node_exits import NodeExits
from tests.soak.odd_items import OddItems
from tests.soak.server_notices import ServerNotices

#: The number of instances of a short run.
INSTANCE_COUNT = 6

#: Of three instances of a failure domain, the services of their servers.
_SERVICES = ("library", "library", "sessions")
_DOMAINS = (("a", 21), ("b", 22))


def make_places(count: int) -> list[Place]:
    """Returns the places of `count` instances in two failure domains."""
    return [
        Place(
            f"{domain}-{number + 1}",
            f"127.0.{host}.{number + 1}",
            domain,
            _SERVICES[number % len(_SERVICES)],
        )
        for index, (domain, host) in enumerate(_DOMAINS)
        for number in range((count + 1 - index) // len(_DOMAINS))
    ]


#: Interval at which a starting node is checked (s).
_POLL_INTERVAL_S = 0.02


async def _do_nothing() -> None:
    """Does nothing after a leave was acknowledged."""


class LeaveAnnouncement(enum.Enum):
    """How a server announces that it leaves, beside its responses."""

    HEARTBEAT = "heartbeat"
    DEREGISTRATION = "deregistration"
    RESPONSES_ONLY = "responses only"


@dataclasses.dataclass(slots=True)
class InstanceLinks:
    """The proxies in the links of one instance.

    Attributes:
      store: proxy between its node and the store.
      server: proxy between its node and its backend server.
      peers: proxy between other nodes and its node.
    """

    store: LoopbackProxy
    server: LoopbackProxy
    peers: LoopbackProxy

    def all(self) -> tuple[LoopbackProxy, ...]:
        return (self.store, self.server, self.peers)


class Deployment:
    """Instances and the proxies in their links.

    Attributes:
      rng: random source of delays and of the seeds of new servers.
      accounts: client accounts; `None` for a deployment without accounts.
      config_checks: checks that changes of the configuration are in force.
      fleet: instances and the store stand-in.
      links: proxies by instance name.
      servers: every server that has run, with those that were replaced.
      exits: the ends of nodes.
      odd_items: the odd entries in the store.
      odd_violations: guarantees violated by the answers to odd calls.
      reserved: names of the instances whose processes a fault controls.
      injected: how often each fault that is counted took effect.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        rng: random.Random,
        notices: ServerNotices,
        accounts: AccountKeys | None = None,
        instance_count: int = INSTANCE_COUNT,
    ) -> None:
        self.rng = rng
        self._notices = notices
        self.accounts = accounts
        self.config_checks = ConfigurationChecks(accounts)
        bounds = accounts.bounds if accounts else ()
        places = make_places(instance_count)
        self.fleet = Fleet(places, folder, self._insert_proxies, bounds)
        self.links: dict[str, InstanceLinks] = {}
        self.servers: list[PlatformServerStandin] = []
        self.exits = NodeExits()
        self.odd_items = OddItems(self.fleet.store)
        self.odd_violations: list[str] = []
        self._watchers: list[asyncio.Task[None]] = []
        self.reserved: set[str] = set()
        self.injected: collections.Counter[str] = collections.Counter()

    async def _insert_proxies(self, instance: Instance) -> None:
        """Inserts a proxy into each link before the settings are written."""
        port = instance.caller_address.port + 6
        host = instance.place.host
        upstreams = (
            instance.store_address,
            instance.server_address,
            instance.peer_address,
        )
        proxies = [
            LoopbackProxy(Address(host, port + 1 + number), upstream, self.rng)
            for number, upstream in enumerate(upstreams)
        ]
        for proxy in proxies:
            await proxy.start()
        self.links[instance.place.name] = InstanceLinks(*proxies)
        instance.configured_store_address = Address(host, port + 1)
        instance.configured_server_address = Address(host, port + 2)
        instance.configured_peer_address = Address(host, port + 3)

    async def start(self, seed: int) -> None:
        """Starts the servers and nodes."""
        self.configure()
        await self.fleet.start(seed, work_s=0.02, heartbeat_s=0.4)
        self.servers += [i.server for i in self.instances() if i.server]
        self._watchers = [
            asyncio.create_task(self.exits.watch(i)) for i in self.instances()
        ]

    def configure(self, **library_options: object) -> int:
        """Writes the routes and the current accounts to the store.

        Args:
          library_options: options of the route to the service `library`.

        Returns:
          The version of the configuration.
        """
        if self.accounts is not None:
            self.fleet.accounts = self.accounts.to_operator_config()
        version = self.fleet.configure(
            [
                route("library", "safe", **library_options),
                route("sessions", "unsafe"),
                *self.config_checks.routes(),
            ]
        )
        self.config_checks.record_change(asyncio.get_running_loop().time())
        return version

    def instances(self) -> tuple[Instance, ...]:
        return tuple(self.fleet.instances.values())

    async def restart_server(self, instance: Instance) -> None:
        """Starts a new incarnation of the server of `instance`."""
        place = instance.place
        options = ServerOptions(
            place.service,
            place.failure_domain,
            instance.server_address,
            instance.control_address,
            work_s=0.02,
            heartbeat_s=0.4,
        )
        await instance.start_server(options, self.rng.getrandbits(30))
        assert instance.server is not None
        self.servers.append(instance.server)

    async def restart_server_gracefully(
        self,
        instance: Instance,
        announcement: LeaveAnnouncement,
        after_ack: Callable[[], Awaitable[None]] = _do_nothing,
    ) -> None:
        """Stops the server of `instance` gracefully and starts a new one.

        The server states in all its responses that it is leaving, announces
        that as chosen, and stops some seconds later. A heartbeat from before
        arrives late.

        Args:
          instance: its instance.
          announcement: how it announces that it is leaving.
          after_ack: called right after the leave was acknowledged.
        """
        server = instance.server
        assert server is not None
        late_heartbeat = server.make_heartbeat()
        server.leaving = True
        server.draining = announcement is LeaveAnnouncement.HEARTBEAT
        if announcement is not LeaveAnnouncement.RESPONSES_ONLY:
            await self._announce_leave(server, announcement)
            instance.stop_heartbeats()
        if server.leave_acknowledged_at is not None:
            await after_ack()
        await asyncio.sleep(1.0 + self.rng.random())
        await self._deliver(server, late_heartbeat)
        await asyncio.sleep(1.0 + self.rng.random())
        await instance.crash_server()
        await asyncio.sleep(0.5)
        await self.restart_server(instance)

    async def _announce_leave(
        self, server: PlatformServerStandin, announcement: LeaveAnnouncement
    ) -> None:
        """Announces the leave until the node acknowledges it, ten times."""
        send_notice = (
            server.send_heartbeat
            if announcement is LeaveAnnouncement.HEARTBEAT
            else server.deregister
        )
        async with aiohttp.ClientSession() as session:
            for _ in range(10):
                if await send_notice(session):
                    server.leave_acknowledged_at = (
                        asyncio.get_running_loop().time()
                    )
                    return
                await asyncio.sleep(0.3)

    async def _deliver(
        self, server: PlatformServerStandin, heartbeat: dict[str, Any]
    ) -> None:
        async with aiohttp.ClientSession() as session:
            await server.deliver(session, heartbeat)
        self.injected["late heartbeat"] += 1

    async def kill_all_nodes(self) -> None:
        """Kills all nodes at the same moment, and starts them again."""
        for instance in self.instances():
            self.record_disturbance(instance)
        await asyncio.gather(
            *(self.exits.end(i, signal.SIGKILL) for i in self.instances())
        )
        self.injected["kill of all nodes"] += 1
        await asyncio.sleep(self.rng.random())
        for instance in self.instances():
            await self.exits.start(instance)
            self.record_disturbance(instance)

    async def drill_store(self) -> None:
        """Takes the store away; it comes back from a copy some seconds old."""
        store = self.fleet.store
        copy = store.copy()
        await asyncio.sleep(2.0 * self.rng.random())
        store.faults = StoreFaults(down="reset", cut=True)
        await asyncio.sleep(0.5 * self.rng.random())
        # What the operator wrote until now, it writes again.
        newest = store.value("op/config")
        assert newest is not None
        store.restore(copy)
        store.faults = StoreFaults()
        store.put("op/config", newest)
        self.injected["drill of the store"] += 1

    def record_disturbance(self, instance: Instance) -> None:
        """Records that `instance` was restarted, paused or cut off."""
        now = asyncio.get_running_loop().time()
        self._notices.record_disturbance(instance.place.name, now)
        self.config_checks.record_node_disturbance(instance.place.name, now)

    async def restart_node(self, instance: Instance, stop_signal: int) -> None:
        """Ends the node of `instance` by a signal and starts it again."""
        self.record_disturbance(instance)
        exit_code = await self.exits.end(instance, stop_signal)
        # Until the interpreter runs our code, a signal has its default action.
        ended_before_code_ran = (
            exit_code == -stop_signal and not instance.has_logged_since_start
        )
        if not is_planned(exit_code) and not ended_before_code_ran:
            self.exits.record(instance, exit_code)
        await asyncio.sleep(self.rng.random())
        await self.exits.start(instance)
        self.record_disturbance(instance)

    async def reload_node(self, instance: Instance) -> None:
        """Sends SIGHUP; restarts a node that it ended before our code ran."""
        if instance.has_logged_since_start:
            instance.signal_node(signal.SIGHUP)
            return
        ended = asyncio.ensure_future(self.exits.end(instance, signal.SIGHUP))
        # Until the task has run, the signal isn't sent.
        await asyncio.sleep(0)
        while not ended.done() and not instance.has_logged_since_start:  # noqa: ASYNC110
            await asyncio.sleep(_POLL_INTERVAL_S)
        if not ended.done():
            ended.cancel()
            self.exits.expect_none(instance)
            return
        if ended.result() != -signal.SIGHUP or instance.has_logged_since_start:
            self.exits.record(instance, ended.result())
        self.record_disturbance(instance)
        await self.exits.start(instance)

    async def close(self) -> None:
        for watcher in self._watchers:
            watcher.cancel()
        for links in self.links.values():
            for proxy in links.all():
                await proxy.close()
