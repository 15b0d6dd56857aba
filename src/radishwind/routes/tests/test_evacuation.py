"""Which failure domains are emptied reaches every node and never goes back."""

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


def of(revision, *names):
    return EvacuatedDomains(revision, frozenset(names))


class KeptStore:
    """Holds keys; tells changes to watches; may forget, be away or be old."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 10
        self.oldest = 0
        self.away = False
        self.reads = 0
        self.old = None
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
            entry = StoreEntry(key, value, self.revision, self.revision)
            self.items[key] = entry
        self.events.append(WatchEvent(key, entry, self.revision))
        self._changed.set()
        self._changed = anyio.Event()

    def forget_history(self):
        self.events.clear()
        self.oldest = self.revision
        self._changed.set()
        self._changed = anyio.Event()

    def snapshot(self):
        now = self.revision
        return tuple(
            msgspec.structs.replace(entry, store_revision=now)
            for entry in self.items.values()
        )

    async def list(self, prefix, limit=0, *, allow_stale=False):
        self.reads += 1
        if self.away:
            raise StoreUnavailableError("away")
        if allow_stale and self.old is not None:
            return self.old
        return self.snapshot()

    async def watch(self, prefix, from_revision):
        while True:
            if self.away:
                raise StoreUnavailableError("away")
            if from_revision <= self.oldest:
                raise StoreCompactedError("expected history, got 410")
            for event in list(self.events):
                if event.revision >= from_revision:
                    from_revision = event.revision + 1
                    yield event
            await self._changed.wait()


class Board:
    """Hands what one node publishes to the others, if it is not cut."""

    def __init__(self):
        self.handlers = {}
        self.told = []
        self.cut = False

    def subscribe(self, topic, handler):
        self.handlers.setdefault(topic, []).append(handler)

    def publish(self, topic, key, version, value, ttl_s):
        self.told.append((topic, version, value))
        if self.cut:
            return
        for handler in self.handlers[topic]:
            handler(key, value)


class Peers:
    """Takes what is pushed and has nothing to give."""

    def __init__(self):
        self.offers = []

    async def call(self, address, name, data, timeout_s):
        message = messages.decode(data)
        if isinstance(message, messages.UpdateRequest):
            raise PeerError("nothing to give")
        self.offers.append(message)
        return messages.encode(messages.NoUpdate())


class Names:
    def __init__(self, *names):
        self._members = tuple(
            Member(n, "s", "a", Address("h", 1), 1, MemberState.ALIVE)
            for n in names
        )

    def members(self):
        return self._members


class Node:
    """One feed with what it keeps."""

    def __init__(self, store, rumor_bus=None, name="own", watches=True):
        clock = ManualClock()
        self.routes = ActiveRoutes(clock)
        self.evacuation = EvacuationState(clock)
        self.rumor_bus = rumor_bus or Board()
        self.peers = Peers()
        self.feed = RouteFeed(
            node_name=name,
            failure_domain="a",
            keys=KEYS,
            decode=lambda raw: RouteConfig(int(raw), (ROUTE,), {}),
            store=store,
            active_routes=self.routes,
            evacuation=self.evacuation,
            directory=Names("own", *(f"p-{number}" for number in range(8))),
            rumor_bus=self.rumor_bus,
            peers=self.peers,
            clock=clock,
            rng=random.Random(1),
        )
        self.feed._neighbours.is_watcher = lambda: watches

    async def until(self, expected):
        with anyio.fail_after(5):
            while self.evacuation.names != frozenset(expected):  # noqa: ASYNC110
                await anyio.sleep(0.001)


async def run(node, steps):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.feed.run)
        await steps()
        tasks.cancel_scope.cancel()


async def test_a_watcher_hears_of_one_emptied_and_of_one_taken_back():
    store = KeptStore()
    node = Node(store)

    async def steps():
        await node.until(())
        await anyio.sleep(0.05)
        store.put("op/evacuate/b")
        await node.until("b")
        store.put("op/evacuate/c")
        await node.until("bc")
        store.delete("op/evacuate/b")
        await node.until("c")

    await run(node, steps)
    assert store.reads == 1
    versions = [
        v for topic, v, _ in node.rumor_bus.told if topic == EVACUATION_TOPIC
    ]
    assert versions == sorted(set(versions))


async def test_one_that_starts_has_it_before_it_has_routes():
    store = KeptStore()
    store.put("op/evacuate/b")
    node = Node(store, watches=False)
    known = []
    node.routes.subscribe(lambda cfg: known.append(node.evacuation.names))

    async def steps():
        await node.until("b")

    await run(node, steps)
    assert known == [frozenset("b")]


async def test_a_forgotten_history_is_read_anew_and_shows_what_was_taken_back():
    store = KeptStore()
    store.put("op/evacuate/b")
    node = Node(store)

    async def steps():
        await node.until("b")
        await anyio.sleep(0.05)
        store.away = True
        store.delete("op/evacuate/b")
        store.forget_history()
        await anyio.sleep(0.2)
        store.away = False
        await node.until(())

    await run(node, steps)


async def test_a_store_that_is_away_changes_nothing_and_is_caught_up():
    store = KeptStore()
    store.put("op/evacuate/b")
    node = Node(store)

    async def steps():
        await node.until("b")
        store.away = True
        store.put("op/evacuate/c")
        await anyio.sleep(0.1)
        assert node.evacuation.names == frozenset("b")
        store.away = False
        await node.until("bc")

    await run(node, steps)


async def test_an_old_answer_of_the_store_does_not_stand_against_a_rumor():
    store = KeptStore()
    store.old = store.snapshot()
    store.put("op/evacuate/b")
    node = Node(store, watches=False)

    async def steps():
        await node.until(())
        rumor = msgspec.json.encode([store.revision, ["b"]])
        node.rumor_bus.publish(EVACUATION_TOPIC, "domains", 1, rumor, 1.0)
        await node.until("b")

    await run(node, steps)


def adopted(*told):
    active_routes = EvacuationState(ManualClock())
    for one in told:
        active_routes.adopt(one, "test")
    return active_routes.names


def test_an_older_revision_changes_nothing():
    assert adopted(of(9, "b"), of(7)) == frozenset("b")
    assert adopted(of(9), of(7, "b")) == frozenset()
    assert adopted(of(9, "b"), of(9)) == frozenset("b")


def test_listeners_hear_of_a_change_once():
    active_routes = EvacuationState(ManualClock())
    heard = []
    active_routes.subscribe(heard.append)
    for told in (of(1), of(2, "b"), of(3, "b"), of(4, "b", "c"), of(5)):
        active_routes.adopt(told, "test")

    assert [sorted(one.names) for one in heard] == [["b"], ["b", "c"], []]


def test_who_tells_what_is_older_hears_what_is_so_now():
    """One taken back while nobody watched would stay empty for some."""
    node = Node(KeptStore())
    node.evacuation.adopt(of(50), "test")

    node.feed._on_emptied_rumor("domains", msgspec.json.encode([20, ["b"]]))

    assert node.evacuation.names == frozenset()
    told = [told for told in node.rumor_bus.told if told[0] == EVACUATION_TOPIC]
    assert [(v, msgspec.json.decode(raw)) for _, v, raw in told] == [
        (50, [50, []])
    ]


def test_more_names_than_fit_in_a_rumor_are_asked_for():
    node = Node(KeptStore())
    names = [f"failure-domain-{number}" for number in range(60)]

    node.feed._adopt_evacuated(of(20, *names), "test")

    raw = node.rumor_bus.told[-1][2]
    assert msgspec.json.decode(raw) == [20, None]
    other = Node(KeptStore())
    other.routes.adopt(RouteConfig(7, (ROUTE,), {}), b"7", "test")
    other.feed._on_emptied_rumor("domains", raw)
    assert other.feed._is_behind()


@pytest.mark.parametrize("raw", [b"", b"7", b"[1]", b'["x",["b"]]', b"[2,7]"])
def test_a_rumor_that_nobody_can_read_changes_nothing(raw):
    node = Node(KeptStore())

    node.feed._on_emptied_rumor("domains", raw)

    assert node.evacuation.domains == EvacuatedDomains()


async def answered(node, message):
    body = messages.encode(message)
    response = await node.feed.handle(Request("POST", "/", (), body, len(body)))
    return messages.decode(response.body)


async def test_a_peer_that_asks_gets_what_it_lacks():
    node = Node(KeptStore())
    node.routes.adopt(RouteConfig(7, (ROUTE,), {}), b"7", "test")
    node.evacuation.adopt(of(20, "b"), "test")

    lacks_both = await answered(node, messages.UpdateRequest(0))
    lacks_one = await answered(node, messages.UpdateRequest(7))

    assert messages.decompress(lacks_both.packed, 100) == b"7"
    assert lacks_both.emptied == lacks_one.emptied == of(20, "b")
    assert lacks_one.packed == b""
    assert (
        await answered(node, messages.UpdateRequest(7, 20))
        == messages.NoUpdate()
    )


async def test_what_a_peer_brings_is_taken():
    node = Node(KeptStore())

    await answered(node, messages.RouteUpdate(b"", of(20, "b")))

    assert node.evacuation.domains == of(20, "b")


async def test_a_watcher_pushes_a_change_to_those_beside_it():
    store = KeptStore()
    node = Node(store)

    async def steps():
        await node.until(())
        await anyio.sleep(0.05)
        store.put("op/evacuate/b")
        await node.until("b")
        await anyio.sleep(0.05)

    await run(node, steps)
    assert node.peers.offers[-1] == messages.RouteUpdate(
        b"", of(store.revision, "b")
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
def test_only_keys_of_one_failure_domain_say_that_it_is_emptied(key, name):
    assert evacuated_domain(key) == name
