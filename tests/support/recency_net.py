"""Simulated nodes that renew freshness proofs, a store and a network.

They run in an event loop with virtual time.
"""

import asyncio
import random

from radishwind.accounts import Account
from radishwind.accounts import digest_key
from radishwind.core import ManualClock
from radishwind.experiment.virtual_loop import VirtualClock
from radishwind.http.types import Address
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.recency import ProofRenewer
from radishwind.recency import ProofSchedule
from radishwind.routes import ActiveRoutes
from radishwind.routes import RouteConfig
from radishwind.routes.evacuation import EvacuationState
from radishwind.routes.store_watcher import OperatorKeys
from radishwind.routes.store_watcher import StoreWatcher
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreUnavailableError
from radishwind.store.position import StorePosition

BOUND_S = 5.0
KEYS = OperatorKeys("op/", "op/config", lambda key: None)
ACCOUNTS = (Account("a", (digest_key("k"),)),)
DELAY_S = 0.001


def read_config(raw, accounts=ACCOUNTS):
    return RouteConfig(int(raw), (), {}, accounts=accounts)


class Store:
    """A store that counts its calls and has configurable faults.

    Attributes:
      faults: by node name: `busy`, `silent`, or the duration of a call (s).
      callers: names of the nodes that called, in order.
    """

    def __init__(self):
        self.version, self.version_revision, self.revision = 1, 1, 1
        self.calls = 0
        self.faults = {}
        self.callers = []

    def write(self, version):
        self.revision += 1
        self.version, self.version_revision = version, self.revision

    def write_other(self):
        self.revision += 1

    def for_node(self, name):
        return _Client(self, name)


class _Client:
    def __init__(self, store, name):
        self._store, self._name = store, name

    async def _call(self, make_result):
        self._store.calls += 1
        self._store.callers.append(self._name)
        fault = self._store.faults.get(self._name, 0.004)
        if fault == "busy":
            raise StoreUnavailableError("expected status 200, got 503")
        if fault == "silent":
            await asyncio.sleep(1.0)
            raise StoreAnswerLostError("no answer")
        await asyncio.sleep(fault / 2)
        result = make_result()
        await asyncio.sleep(fault / 2)
        return result

    async def position(self):
        return await self._call(lambda: StorePosition(0, self._store.revision))

    async def list(self, prefix, limit=0, *, allow_stale=False):
        s = self._store
        raw = str(s.version).encode()
        return await self._call(
            lambda: (
                StoreEntry(
                    "op/config", raw, 1, s.version_revision, 0, s.revision
                ),
            )
        )


class MutableDirectory(Directory):
    """The nodes that a node knows."""

    def __init__(self, members):
        self.current = list(members)

    def eligible_members(self, service):
        return self.members()

    def members(self):
        return tuple(self.current)


class Node:
    """One node with its proof; also serves as its peer socket."""

    def __init__(self, network, name, domain, rng, version=1):
        self.network, self.name = network, name
        self.address = Address(name, 1)
        self.paused_until = 0.0
        self.routes = ActiveRoutes(ManualClock())
        self.directory = MutableDirectory(())
        self.routes.adopt(read_config(version, network.accounts), b"", "test")
        self.newer_versions = []
        self.handler = None
        self.sent = 0
        self.renewer = ProofRenewer(
            node_name=name,
            failure_domain=domain,
            schedule=ProofSchedule(network.bound_s),
            clock=network.clock,
            rng=rng,
            directory=self.directory,
            socket=self,
            routes=self.routes,
            first_wait_s=0.15,
        )
        self.side = StoreWatcher(
            keys=KEYS,
            store=network.store.for_node(name),
            clock=network.clock,
            rng=rng,
            is_watcher=lambda: False,
            on_config=self._adopt,
            on_evacuation=lambda told, source: None,
            evacuation=EvacuationState(network.clock),
        )
        self.renewer.connect(self.side.confirm, self._on_newer_version)

    # Interface of a peer socket.
    def add_handler(self, channel, handler):
        self.handler = handler

    def send(self, channel, data, peers):
        self.sent += 1
        for peer in peers:
            self.network.send(self, peer, data)
        return True

    def _adopt(self, raw, source):
        self.routes.adopt(read_config(raw, self.network.accounts), raw, source)
        return int(raw)

    def _on_newer_version(self, version):
        self.newer_versions.append(version)
        if self.network.delivers_versions:
            loop = asyncio.get_running_loop()
            loop.call_later(0.05, self._adopt, str(version).encode(), "peer")

    def is_fresh(self):
        return self.renewer.freshness.is_fresh(self.network.clock.monotonic())

    def age_s(self):
        return self.renewer.freshness.age_s(self.network.clock.monotonic())


class RecencyNetwork:
    """The nodes, their store, and the network between them.

    Attributes:
      nodes: nodes by name.
      cut: names of nodes whose datagrams are lost.
      loss: fraction of other datagrams that are lost.
      delivered: number of datagrams delivered.
      delivers_versions: whether nodes get a newer version that they hear of.
      bound_s: time within which a change must be in force (s).
    """

    def __init__(
        self,
        names,
        seed=1,
        accounts=ACCOUNTS,
        delivers_versions=True,
        bound_s=BOUND_S,
    ):
        self.bound_s = bound_s
        self.clock = VirtualClock()
        self.accounts, self.delivers_versions = accounts, delivers_versions
        self.rng = random.Random(seed)
        self.store = Store()
        self.cut = set()
        self.loss = 0.0
        self.delivered = 0
        self.nodes = {}
        self._tasks = {}
        for name in names:
            self.start(name)
        self.connect_all()

    def start(self, name, version=1):
        rng = random.Random(self.rng.getrandbits(32))
        self.nodes[name] = Node(self, name, name[0], rng, version)
        renewer = self.nodes[name].renewer
        self._tasks[name] = asyncio.ensure_future(renewer.run())

    def kill(self, name):
        self._tasks.pop(name).cancel()
        del self.nodes[name]

    def connect_all(self):
        """Makes all nodes known to each other."""
        members = [
            Member(n.name, "s", n.name[0], n.address)
            for n in self.nodes.values()
        ]
        for node in self.nodes.values():
            node.directory.current = members

    def send(self, sender, peer, data):
        if {sender.name, peer.host} & self.cut:
            return
        if self.rng.random() < self.loss:
            return
        loop = asyncio.get_running_loop()
        paused_s = max(0.0, sender.paused_until - loop.time())
        loop.call_later(
            paused_s + DELAY_S, self._deliver, sender, peer.host, data
        )

    def _deliver(self, sender, name, data):
        node = self.nodes.get(name)
        if node is None:
            return
        loop = asyncio.get_running_loop()
        if node.paused_until > loop.time():
            loop.call_at(
                node.paused_until + 1e-6, self._deliver, sender, name, data
            )
            return
        self.delivered += 1
        node.handler(data, sender.address)

    async def advance(self, seconds):
        await asyncio.sleep(seconds)

    def fresh_nodes(self):
        return {name for name, node in self.nodes.items() if node.is_fresh()}

    def stop(self):
        for task in self._tasks.values():
            task.cancel()
