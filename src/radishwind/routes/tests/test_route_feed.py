"""Tests that the newest configuration reaches a node by few store calls."""

import random

import anyio
import pytest

from radishwind.core import ManualClock
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.membership.ranking import hash_rank
from radishwind.routes import ActiveRoutes
from radishwind.routes import messages
from radishwind.routes import Route
from radishwind.routes import RouteConfig
from radishwind.routes import WeightedService
from radishwind.routes.evacuation import EvacuationState
from radishwind.routes.feed_peers import LONE_NODE_GRACE_S
from radishwind.routes.feed_peers import WATCHERS_PER_DOMAIN
from radishwind.routes.route_feed import MAX_CONCURRENT_PUSHES
from radishwind.routes.route_feed import RouteFeed
from radishwind.routes.store_watcher import OperatorKeys
from radishwind.store.base import StoreCompactedError
from radishwind.store.base import StoreEntry
from radishwind.store.base import WatchEvent

pytestmark = pytest.mark.anyio

ROUTE = Route("r", "h", "/", True, (WeightedService("s"),), 1.0, 0.5, 1, 2)


@pytest.fixture
def anyio_backend():
    return "asyncio"


KEYS = OperatorKeys("k", "k", lambda key: key.partition("/e/")[2] or None)


def decode(raw):
    return RouteConfig(int(raw), (ROUTE,), {})


class Store:
    """Store stub that counts reads; its watches never report anything."""

    def __init__(self):
        self.reads = 0

    async def list(self, prefix, limit=0, *, allow_stale=False):
        self.reads += 1
        return (StoreEntry("k", b"7", 1, 1),)

    async def watch(self, prefix, start):
        await anyio.sleep_forever()
        yield


class RumorBus:
    def subscribe(self, topic, listener):
        self.listener = listener

    def publish(self, *rumor):
        pass


class Peers:
    """Peer client stub; every peer has version 7."""

    def __init__(self):
        self.received = []

    async def call(self, address, name, data, timeout_s):
        message = messages.decode(data)
        self.received.append(message)
        if isinstance(message, messages.UpdateRequest) and message.have >= 7:
            return messages.encode(messages.NoUpdate())
        return messages.encode(messages.RouteUpdate(messages.compress(b"7")))


class Directory:
    def __init__(self, *names, domains=("a",)):
        self._members = tuple(
            Member(n, "s", domain, Address("h", 1), 1, MemberState.ALIVE)
            for domain in domains
            for n in names
        )

    def members(self):
        return self._members


def feed(store, directory, first_wait_s, name="own"):
    active_routes = ActiveRoutes(ManualClock())
    made = RouteFeed(
        node_name=name,
        failure_domain="a",
        keys=KEYS,
        decode=decode,
        store=store,
        active_routes=active_routes,
        evacuation=EvacuationState(ManualClock()),
        directory=directory,
        rumor_bus=RumorBus(),
        peers=Peers(),
        clock=ManualClock(),
        rng=random.Random(1),
        first_wait_s=first_wait_s,
    )
    return made, active_routes


async def run_until_known(made, active_routes):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(made.run)
        with anyio.fail_after(5):
            while active_routes.cfg is None:  # noqa: ASYNC110
                await anyio.sleep(0.001)
        tasks.cancel_scope.cancel()


async def test_restarted_node_reads_the_store_at_once():
    store = Store()

    await run_until_known(*feed(store, Directory("own"), 0.0))

    assert store.reads == 1


async def test_node_that_gets_routes_from_a_peer_does_not_read_the_store():
    store = Store()
    members = Directory("own", "p-1", "p-2", "p-3")

    await run_until_known(*feed(store, members, 60.0))

    assert store.reads == 0


async def send(made, message):
    body = messages.encode(message)
    response = await made.handle(Request("POST", "/", (), body, len(body)))
    return response.status, response.body


async def test_peer_gets_only_a_newer_version_and_compressed():
    made, active_routes = feed(Store(), Directory("own"), 0.0)
    active_routes.adopt(decode(b"7"), b"7", "test")

    status, body = await send(made, messages.UpdateRequest(6))
    assert status == 200
    assert messages.decompress(messages.decode(body).packed, 100) == b"7"
    assert await send(made, messages.UpdateRequest(7)) == (
        200,
        messages.encode(messages.NoUpdate()),
    )


async def test_version_pushed_by_a_peer_is_adopted():
    made, active_routes = feed(Store(), Directory("own"), 0.0)

    await send(made, messages.RouteUpdate(messages.compress(b"9")))

    assert active_routes.version == 9


@pytest.mark.parametrize(
    "body", [b"", b"7", b"\xc1", messages.encode(messages.RouteUpdate(b"raw"))]
)
async def test_malformed_message_changes_nothing(body):
    made, active_routes = feed(Store(), Directory("own"), 0.0)

    response = await made.handle(Request("POST", "/", (), body, len(body)))

    assert response.status >= 400
    assert active_routes.version == 0


def test_configuration_longer_than_allowed_is_refused():
    with pytest.raises(messages.FeedMalformedError):
        messages.decompress(messages.compress(b"x" * 101), 100)


@pytest.mark.parametrize("domains", [1, 2, 3, 5])
async def test_watchers_divide_the_other_nodes_among_themselves(domains):
    names = [f"t-{number}" for number in range(12)]
    members = Directory(*names, domains="abcde"[:domains])
    pushed = {}
    for name in names:
        made, active_routes = feed(Store(), members, 60.0, name)
        pushed[name] = await push_recipients(made, active_routes)

    watchers = [name for name, to in pushed.items() if to]
    assert len(watchers) == (WATCHERS_PER_DOMAIN if domains <= 3 else 1)
    recipients = [name for watcher in watchers for name in pushed[watcher]]
    assert set(recipients) | set(watchers) == set(names)
    assert len(recipients) == len(set(recipients))


async def push_recipients(made, active_routes):
    active_routes.adopt(decode(b"7"), b"7", "test")
    if not made._feed_peers.is_watcher():
        return []
    recipients = []

    async def record(member, data, limit):
        recipients.append(member.name)
        limit.release()

    made._push_to = record
    await made._push(b"")
    return recipients


class CompactedStore(Store):
    """The key last changed at revision 6; the history starts at 40."""

    def __init__(self):
        super().__init__()
        self.watched = []

    async def list(self, prefix, limit=0, *, allow_stale=False):
        self.reads += 1
        return (StoreEntry("k", b"7", 1, 6, store_revision=50),)

    async def watch(self, prefix, start):
        self.watched.append(start.revision)
        if start.revision < 40:
            raise StoreCompactedError("expected history, got 410")
        await anyio.sleep_forever()
        yield


async def test_key_older_than_the_history_is_read_once():
    store = CompactedStore()
    made, active_routes = feed(store, Directory("own", "p-1"), 0.0)

    await run_until_known(made, active_routes)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(made.run)
        await anyio.sleep(0.3)
        tasks.cancel_scope.cancel()

    assert store.reads <= 2
    assert set(store.watched) == {51}


class WatchedStore(Store):
    """Reports one change to each watch, and counts the watches."""

    def __init__(self):
        super().__init__()
        self.watches = 0

    async def watch(self, prefix, start):
        self.watches += 1
        yield WatchEvent("k", StoreEntry("k", b"8", 1, 2), 2)
        # Each further watch event costs a call of the store.
        self.watches += 1
        await anyio.sleep_forever()


async def test_node_without_known_peers_does_not_watch_at_first():
    store = WatchedStore()
    made, active_routes = feed(store, Directory("own"), 0.0)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(made.run)
        await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()

    assert active_routes.version == 7
    assert store.watches == 0


def test_node_that_stays_alone_watches():
    made, _ = feed(Store(), Directory("own"), 0.0)
    assert not made._feed_peers.is_watcher()

    made._feed_peers._clock.advance(LONE_NODE_GRACE_S)

    assert made._feed_peers.is_watcher()


async def test_watch_ends_when_the_node_is_no_longer_a_watcher():
    store = WatchedStore()
    names = [f"t-{number}" for number in range(12)]
    made, active_routes = feed(store, Directory(*names), 0.0, "t-0")
    is_watcher = iter((True, False))
    made._feed_peers.is_watcher = lambda: next(is_watcher, False)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(made._store_watcher.run, 0.0, lambda: False)
        with anyio.fail_after(5):
            while active_routes.version < 8:  # noqa: ASYNC110
                await anyio.sleep(0.001)
        await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()

    assert store.watches == 1


class SlowPeers(Peers):
    """Delays each push, and records how many are in flight at once."""

    def __init__(self):
        super().__init__()
        self.in_flight = self.max_in_flight = self.pushed = 0

    async def call(self, address, name, data, timeout_s):
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        await anyio.sleep(0.001)
        self.in_flight -= 1
        self.pushed += 1
        return messages.encode(messages.NoUpdate())


async def test_concurrent_pushes_of_a_watcher_are_limited():
    names = [f"t-{number}" for number in range(40)]
    first = min(names, key=hash_rank)
    made, active_routes = feed(Store(), Directory(*names), 60.0, first)
    made._peers = SlowPeers()
    active_routes.adopt(decode(b"7"), b"7", "test")

    await made._push(b"")

    assert made._peers.max_in_flight == MAX_CONCURRENT_PUSHES
    assert made._peers.pushed >= 10


@pytest.mark.parametrize("version", [8, 2**63 - 1])
async def test_rumor_of_a_version_that_nobody_has_costs_few_reads(version):
    store = Store()
    made, active_routes = feed(store, Directory("own"), 0.0)
    active_routes.adopt(decode(b"7"), b"7", "test")
    made.note_version(version)

    for _ in range(1_000):
        assert not await made._pull()
        made._clock.advance(0.1)

    assert 1 <= store.reads < 20


async def test_newer_version_is_read_at_once_after_one_that_nobody_has():
    store = Store()
    made, active_routes = feed(store, Directory("own"), 0.0)
    active_routes.adopt(decode(b"7"), b"7", "test")
    for version in range(8, 12):
        made.note_version(version)
        before = store.reads
        await made._pull()
        await made._pull()
        assert store.reads == before + 1
