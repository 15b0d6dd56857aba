"""Nodes that keep proof of recent keys, a store and a network, in a loop."""

import asyncio
import random

from radishwind.accounts import Account
from radishwind.accounts import digest_key
from radishwind.core import ManualClock
from radishwind.experiment.loop import LoopClock
from radishwind.http.types import Address
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.recency import ProofRenewer
from radishwind.recency import ProofSchedule
from radishwind.routes import RouteConfig
from radishwind.routes import RoutesInForce
from radishwind.routes.emptied import EmptiedDomains
from radishwind.routes.store_side import OperatorKeys
from radishwind.routes.store_side import StoreSide
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreUnavailableError

BOUND_S = 5.0
KEYS = OperatorKeys("op/", "op/config", lambda key: None)
ACCOUNTS = (Account("a", (digest_key("k"),)),)
WAY_S = 0.001


def read_config(raw, accounts=ACCOUNTS):
    return RouteConfig(int(raw), (), {}, accounts=accounts)


class Store:
    """Counts its calls; `faults` says what each node gets.

    Attributes:
      faults: by node name, `busy`, `silent`, or how long an answer takes (s).
    """

    def __init__(self):
        self.version, self.at_revision, self.now_at = 1, 1, 1
        self.calls = 0
        self.faults = {}
        self.asked_by = []

    def write(self, version):
        self.now_at += 1
        self.version, self.at_revision = version, self.now_at

    def write_other(self):
        self.now_at += 1

    def for_node(self, name):
        return _Client(self, name)


class _Client:
    def __init__(self, store, name):
        self._store, self._name = store, name

    async def _answer(self, make):
        self._store.calls += 1
        self._store.asked_by.append(self._name)
        fault = self._store.faults.get(self._name, 0.004)
        if fault == "busy":
            raise StoreUnavailableError("expected status 200, got 503")
        if fault == "silent":
            await asyncio.sleep(1.0)
            raise StoreAnswerLostError("no answer")
        await asyncio.sleep(fault / 2)
        made = make()
        await asyncio.sleep(fault / 2)
        return made

    async def revision(self):
        return await self._answer(lambda: self._store.now_at)

    async def list(self, prefix, limit=0, *, allow_stale=False):
        s = self._store
        raw = str(s.version).encode()
        return await self._answer(
            lambda: (
                StoreEntry("op/config", raw, 1, s.at_revision, 0, s.now_at),
            )
        )


class Nodes(Directory):
    """The nodes that one knows."""

    def __init__(self, members):
        self.known = list(members)

    def eligible_members(self, service):
        return self.members()

    def members(self):
        return tuple(self.known)


class Node:
    """One node: its proof, and where its datagrams go."""

    def __init__(self, net, name, domain, rng, version=1):
        self.net, self.name = net, name
        self.address = Address(name, 1)
        self.frozen_until = 0.0
        self.routes = RoutesInForce(ManualClock())
        self.known = Nodes(())
        self.routes.adopt(read_config(version, net.accounts), b"", "test")
        self.heard = []
        self.handler = None
        self.sent = 0
        self.keeper = ProofRenewer(
            node_name=name,
            failure_domain=domain,
            times=ProofSchedule(BOUND_S),
            clock=net.clock,
            rng=rng,
            directory=self.known,
            socket=self,
            routes=self.routes,
            first_wait_s=0.15,
        )
        self.side = StoreSide(
            keys=KEYS,
            store=net.store.for_node(name),
            clock=net.clock,
            rng=rng,
            is_watcher=lambda: False,
            take_config=self._take,
            take_emptied=lambda told, source: None,
            emptied=EmptiedDomains,
        )
        self.keeper.connect(self.side.confirm, self._hear)

    # As a socket.
    def add(self, channel, handler):
        self.handler = handler

    def send(self, channel, data, peers):
        self.sent += 1
        for peer in peers:
            self.net.send(self, peer, data)
        return True

    def _take(self, raw, source):
        self.routes.adopt(read_config(raw, self.net.accounts), raw, source)
        return int(raw)

    def _hear(self, version):
        self.heard.append(version)
        if self.net.spreads:
            loop = asyncio.get_running_loop()
            loop.call_later(0.05, self._take, str(version).encode(), "peer")

    def is_fresh(self):
        return self.keeper.proof.is_fresh(self.net.clock.monotonic())

    def age_s(self):
        return self.keeper.proof.age_s(self.net.clock.monotonic())


class Net:
    """The nodes, by name, and what is cut or lost between them."""

    def __init__(self, names, seed=1, accounts=ACCOUNTS, spreads=True):
        self.clock = LoopClock()
        self.accounts, self.spreads = accounts, spreads
        self.rng = random.Random(seed)
        self.store = Store()
        self.cut = set()
        self.loss = 0.0
        self.delivered = 0
        self.nodes = {}
        self._tasks = {}
        for name in names:
            self.start(name)
        self.meet()

    def start(self, name, version=1):
        rng = random.Random(self.rng.getrandbits(32))
        self.nodes[name] = Node(self, name, name[0], rng, version)
        keeper = self.nodes[name].keeper
        self._tasks[name] = asyncio.ensure_future(keeper.run())

    def kill(self, name):
        self._tasks.pop(name).cancel()
        del self.nodes[name]

    def meet(self):
        """Lets each node know all."""
        members = [
            Member(n.name, "s", n.name[0], n.address)
            for n in self.nodes.values()
        ]
        for node in self.nodes.values():
            node.known.known = members

    def send(self, sender, peer, data):
        if {sender.name, peer.host} & self.cut:
            return
        if self.rng.random() < self.loss:
            return
        loop = asyncio.get_running_loop()
        held_s = max(0.0, sender.frozen_until - loop.time())
        loop.call_later(held_s + WAY_S, self._deliver, sender, peer.host, data)

    def _deliver(self, sender, name, data):
        node = self.nodes.get(name)
        if node is None:
            return
        loop = asyncio.get_running_loop()
        if node.frozen_until > loop.time():
            loop.call_at(
                node.frozen_until + 1e-6, self._deliver, sender, name, data
            )
            return
        self.delivered += 1
        node.handler(data, sender.address)

    async def pass_s(self, seconds):
        await asyncio.sleep(seconds)

    def standing(self):
        return {name for name, node in self.nodes.items() if node.is_fresh()}

    def stop(self):
        for task in self._tasks.values():
            task.cancel()
