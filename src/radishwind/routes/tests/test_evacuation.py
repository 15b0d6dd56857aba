"""Tests that evacuations reach every node and are not undone by old state."""

import random

import anyio
import msgspec
import pytest

from radishwind.core import ManualClock
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.peers.peer_client import PeerError
from radishwind.platform.routes import evacuated_domain
from radishwind.routes import ActiveRoutes
from radishwind.routes import messages
from radishwind.routes import Route
from radishwind.routes import RouteConfig
from radishwind.routes import WeightedService
from radishwind.routes.evacuation import EvacuatedDomains
from radishwind.routes.evacuation import EvacuationState
from radishwind.routes.route_feed import EVACUATION_TOPIC
from radishwind.routes.route_feed import RouteFeed
from radishwind.routes.store_watcher import OperatorKeys
from radishwind.store.base import StoreCompactedError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreUnavailableError
from radishwind.store.base import WatchEvent

pytestmark = pytest.mark.anyio

CONFIG = "op/config"
ROUTE = Route("r", "h", "/", True, (WeightedService("s"),), 1.0, 0.5, 1, 2)
KEYS = OperatorKeys("op/", CONFIG, evacuated_domain)


@pytest.fixture
def anyio_backend():
    return "asyncio"


def evacuated(revision, *names, era=0):
    return EvacuatedDomains(revision, frozenset(names), era)


class Store:
    """Store stub with watches, compaction, outages and stale reads."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 10
        self.era = 0
        self.compacted_revision = 0
        self.is_down = False
        self.reads = 0
        self.stale_entries = None
        self._changed = anyio.Event()
        self.put(CONFIG, b"7")

    def put(self, key, value=b"{}"):
        self._change(key, value)

    def delete(self, key):
        self._change(key, None)

    def _change(self, key, value):
        self.revision += 1
        entry = None
        if value is None:
            del self.items[key]
        else:
            entry = StoreEntry(
                key, value, self.revision, self.revision, era=self.era
            )
            self.items[key] = entry
        self.events.append(WatchEvent(key, entry, self.revision, self.era))
        self._changed.set()
        self._changed = anyio.Event()

    def compact(self):
        self.events.clear()
        self.compacted_revision = self.revision
        self._changed.set()
        self._changed = anyio.Event()

    def copy(self):
        return dict(self.items), list(self.events), self.revision

    def restore(self, copy):
        """Comes back from a copy in the next era."""
        items, events, self.revision = copy
        self.items, self.events = dict(items), list(events)
        self.era += 1
        self._changed.set()
        self._changed = anyio.Event()

    def snapshot(self):
        now = self.revision
        return tuple(
            msgspec.structs.replace(entry, store_revision=now, era=self.era)
            for entry in self.items.values()
        )

    async def list(self, prefix, limit=0, *, allow_stale=False):
        self.reads += 1
        if self.is_down:
            raise StoreUnavailableError("down")
        if allow_stale and self.stale_entries is not None:
            return self.stale_entries
        return self.snapshot()

    async def watch(self, prefix, start):
        from_revision = start.revision
        while True:
            if self.is_down:
                raise StoreUnavailableError("down")
            if from_revision <= self.compacted_revision:
                raise StoreCompactedError("expected history, got 410")
            if start.era != self.era:
                raise StoreCompactedError("expected another era")
            for event in list(self.events):
                if event.revision >= from_revision:
                    from_revision = event.revision + 1
                    yield event
            await self._changed.wait()


class RumorBus:
    """Delivers what is published to the subscribers, unless it is cut."""

    def __init__(self):
        self.handlers = {}
        self.published = []
        self.is_cut = False

    def subscribe(self, topic, handler):
        self.handlers.setdefault(topic, []).append(handler)

    def publish(self, topic, key, version, value, ttl_s):
        self.published.append((topic, version, value))
        if self.is_cut:
            return
        for handler in self.handlers[topic]:
            handler(key, value)


class Peers:
    """Peer client stub that accepts pushes and refuses requests."""

    def __init__(self):
        self.updates = []

    async def call(self, address, name, data, timeout_s):
        message = messages.decode(data)
        if isinstance(message, messages.UpdateRequest):
            raise PeerError("no routes")
        self.updates.append(message)
        return messages.encode(messages.NoUpdate())


class Directory:
    def __init__(self, *names):
        self._members = tuple(
            Member(n, "s", "a", Address("h", 1), 1, MemberState.ALIVE)
            for n in names
        )

    def members(self):
        return self._members


class Node:
    """A route feed and the state that it maintains."""

    def __init__(self, store, rumor_bus=None, name="own", is_watcher=True):
        clock = ManualClock()
        self.routes = ActiveRoutes(clock)
        self.evacuation = EvacuationState(clock)
        self.rumor_bus = rumor_bus or RumorBus()
        self.peers = Peers()
        self.feed = RouteFeed(
            node_name=name,
            failure_domain="a",
            keys=KEYS,
            decode=lambda raw: RouteConfig(int(raw), (ROUTE,), {}),
            store=store,
            active_routes=self.routes,
            evacuation=self.evacuation,
            directory=Directory("own", *(f"p-{number}" for number in range(8))),
            rumor_bus=self.rumor_bus,
            peers=self.peers,
            clock=clock,
            rng=random.Random(1),
        )
        self.feed._feed_peers.is_watcher = lambda: is_watcher

    async def wait_for(self, expected):
        with anyio.fail_after(5):
            while self.evacuation.names != frozenset(expected):  # noqa: ASYNC110
                await anyio.sleep(0.001)


async def run(node, steps):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.feed.run)
        await steps()
        tasks.cancel_scope.cancel()


async def test_watcher_follows_evacuations_and_restorations():
    store = Store()
    node = Node(store)

    async def steps():
        await node.wait_for(())
        await anyio.sleep(0.05)
        store.put("op/evacuate/b")
        await node.wait_for("b")
        store.put("op/evacuate/c")
        await node.wait_for("bc")
        store.delete("op/evacuate/b")
        await node.wait_for("c")

    await run(node, steps)
    assert store.reads == 1
    versions = [
        v
        for topic, v, _ in node.rumor_bus.published
        if topic == EVACUATION_TOPIC
    ]
    assert versions == sorted(set(versions))


async def test_evacuations_are_adopted_before_the_routes_at_start():
    store = Store()
    store.put("op/evacuate/b")
    node = Node(store, is_watcher=False)
    known = []
    node.routes.subscribe(lambda cfg: known.append(node.evacuation.names))

    async def steps():
        await node.wait_for("b")

    await run(node, steps)
    assert known == [frozenset("b")]


async def test_restoration_is_seen_after_the_history_was_compacted():
    store = Store()
    store.put("op/evacuate/b")
    node = Node(store)

    async def steps():
        await node.wait_for("b")
        await anyio.sleep(0.05)
        store.is_down = True
        store.delete("op/evacuate/b")
        store.compact()
        await anyio.sleep(0.2)
        store.is_down = False
        await node.wait_for(())

    await run(node, steps)


async def test_outage_of_the_store_keeps_the_evacuations_until_it_ends():
    store = Store()
    store.put("op/evacuate/b")
    node = Node(store)

    async def steps():
        await node.wait_for("b")
        store.is_down = True
        store.put("op/evacuate/c")
        await anyio.sleep(0.1)
        assert node.evacuation.names == frozenset("b")
        store.is_down = False
        await node.wait_for("bc")

    await run(node, steps)


async def test_stale_read_does_not_override_a_rumor():
    store = Store()
    store.stale_entries = store.snapshot()
    store.put("op/evacuate/b")
    node = Node(store, is_watcher=False)

    async def steps():
        await node.wait_for(())
        rumor = msgspec.json.encode([store.revision, ["b"]])
        node.rumor_bus.publish(EVACUATION_TOPIC, "domains", 1, rumor, 1.0)
        await node.wait_for("b")

    await run(node, steps)


def adopt_in_order(*states):
    evacuation = EvacuationState(ManualClock())
    for state in states:
        evacuation.adopt(state, "test")
    return evacuation.names


def test_older_revision_changes_nothing():
    assert adopt_in_order(evacuated(9, "b"), evacuated(7)) == frozenset("b")
    assert adopt_in_order(evacuated(9), evacuated(7, "b")) == frozenset()
    assert adopt_in_order(evacuated(9, "b"), evacuated(9)) == frozenset("b")


def test_listeners_are_notified_of_each_change_once():
    evacuation = EvacuationState(ManualClock())
    notified = []
    evacuation.subscribe(notified.append)
    for state in (
        evacuated(1),
        evacuated(2, "b"),
        evacuated(3, "b"),
        evacuated(4, "b", "c"),
        evacuated(5),
    ):
        evacuation.adopt(state, "test")

    assert [sorted(state.names) for state in notified] == [
        ["b"],
        ["b", "c"],
        [],
    ]


def test_older_evacuations_are_answered_by_the_newer_ones():
    """Without this, a domain that was restored while no node watched would
    stay evacuated for some nodes.
    """
    node = Node(Store())
    node.evacuation.adopt(evacuated(50), "test")

    node.feed._on_evacuation_rumor("domains", msgspec.json.encode([20, ["b"]]))

    assert node.evacuation.names == frozenset()
    published = [
        rumor
        for rumor in node.rumor_bus.published
        if rumor[0] == EVACUATION_TOPIC
    ]
    assert [(v, msgspec.json.decode(raw)) for _, v, raw in published] == [
        (50, [50, [], 0])
    ]


def test_names_that_do_not_fit_in_a_rumor_are_requested():
    node = Node(Store())
    names = [f"failure-domain-{number}" for number in range(60)]

    node.feed._adopt_evacuated(evacuated(20, *names), "test")

    raw = node.rumor_bus.published[-1][2]
    assert msgspec.json.decode(raw) == [20, None, 0]
    other = Node(Store())
    other.routes.adopt(RouteConfig(7, (ROUTE,), {}), b"7", "test")
    other.feed._on_evacuation_rumor("domains", raw)
    assert other.feed._is_behind()


@pytest.mark.parametrize("raw", [b"", b"7", b"[1]", b'["x",["b"]]', b"[2,7]"])
def test_malformed_rumor_changes_nothing(raw):
    node = Node(Store())

    node.feed._on_evacuation_rumor("domains", raw)

    assert node.evacuation.domains == EvacuatedDomains()


async def send(node, message):
    body = messages.encode(message)
    response = await node.feed.handle(Request("POST", "/", (), body, len(body)))
    return messages.decode(response.body)


async def test_requesting_peer_gets_what_it_lacks():
    node = Node(Store())
    node.routes.adopt(RouteConfig(7, (ROUTE,), {}), b"7", "test")
    node.evacuation.adopt(evacuated(20, "b"), "test")

    lacks_both = await send(node, messages.UpdateRequest(0))
    lacks_one = await send(node, messages.UpdateRequest(7))

    assert messages.decompress(lacks_both.packed, 100) == b"7"
    assert lacks_both.emptied == lacks_one.emptied == evacuated(20, "b")
    assert lacks_one.packed == b""
    assert (
        await send(node, messages.UpdateRequest(7, 20)) == messages.NoUpdate()
    )


async def test_evacuations_pushed_by_a_peer_are_adopted():
    node = Node(Store())

    await send(node, messages.RouteUpdate(b"", evacuated(20, "b")))

    assert node.evacuation.domains == evacuated(20, "b")


async def test_watcher_pushes_a_change_to_local_nodes():
    store = Store()
    node = Node(store)

    async def steps():
        await node.wait_for(())
        await anyio.sleep(0.05)
        store.put("op/evacuate/b")
        await node.wait_for("b")
        await anyio.sleep(0.05)

    await run(node, steps)
    assert node.peers.updates[-1] == messages.RouteUpdate(
        b"", evacuated(store.revision, "b")
    )


@pytest.mark.parametrize(
    ("key", "name"),
    [
        ("op/evacuate/a", "a"),
        ("op/evacuate/", None),
        ("op/evacuate/a/b", None),
        ("op/evacuated/a", None),
        ("op/config", None),
        ("servers/a", None),
    ],
)
def test_only_keys_of_a_failure_domain_mark_it_as_evacuated(key, name):
    assert evacuated_domain(key) == name


@pytest.mark.parametrize(
    "odd", [{"era": 2**16}, {"era": -1}, {"revision": 2**63}]
)
def test_evacuations_of_a_position_beyond_the_bounds_are_refused(odd):
    domains = msgspec.structs.replace(evacuated(20, "b"), **odd)

    with pytest.raises(messages.FeedMalformedError):
        messages.decode(messages.encode(messages.RouteUpdate(b"", domains)))
