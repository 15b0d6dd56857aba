"""A store that came back from an older copy gives revisions out again."""

import anyio
import msgspec
import pytest

from radishwind.core import ManualClock
from radishwind.routes import messages
from radishwind.routes.evacuation import CARRIED_S
from radishwind.routes.evacuation import EvacuationState
from radishwind.routes.route_feed import EVACUATION_TOPIC
from radishwind.routes.tests.test_evacuation import CONFIG
from radishwind.routes.tests.test_evacuation import evacuated
from radishwind.routes.tests.test_evacuation import Node
from radishwind.routes.tests.test_evacuation import run
from radishwind.routes.tests.test_evacuation import Store
from radishwind.store.position import StorePosition

pytestmark = pytest.mark.anyio

KEY = "op/evacuate/b"


@pytest.fixture
def anyio_backend():
    return "asyncio"


class State:
    def __init__(self):
        self.clock = ManualClock()
        self.evacuation = EvacuationState(self.clock)
        self.notified = []
        self.evacuation.subscribe(
            lambda domains: self.notified.append(domains.names)
        )


async def test_evacuation_in_a_later_era_takes_effect_at_a_lower_revision():
    store = Store()
    node = Node(store)
    copy = store.copy()

    async def steps():
        await node.wait_for(())
        store.put(KEY)
        await node.wait_for("b")
        store.delete(KEY)
        await node.wait_for(())
        store.put(CONFIG, b"9")
        await anyio.sleep(0.05)
        for _ in range(2):
            store.restore(copy)
            node.feed.on_new_era()
            store.put(CONFIG, b"9")
            store.put(KEY)
            await node.wait_for("b")
            store.delete(KEY)
            await node.wait_for(())

    await run(node, steps)
    assert store.revision < 20


async def test_watch_of_an_earlier_era_is_not_continued():
    store = Store()
    node = Node(store)
    copy = store.copy()

    async def steps():
        await node.wait_for(())
        store.put(CONFIG, b"9")
        await anyio.sleep(0.05)
        reads = store.reads
        store.restore(copy)
        store.put(KEY)
        # The revision of the earlier era is reached before the watch ends.
        store.put(CONFIG, b"9")
        await node.wait_for("b")
        assert store.reads > reads

    await run(node, steps)


def test_rumor_of_an_earlier_era_changes_nothing_and_is_answered():
    node = Node(Store())
    node.evacuation.adopt(evacuated(5, "c", era=2), "test")

    rumor = messages.encode_rumor(evacuated(900, "b", era=1), 400)
    node.feed._on_evacuation_rumor("domains", rumor)

    assert node.evacuation.names == {"c"}
    topic, version, value = node.rumor_bus.published[-1]
    assert topic == EVACUATION_TOPIC
    assert version == StorePosition(2, 5).number
    assert msgspec.json.decode(value) == [5, ["c"], 2]


def test_peer_of_an_earlier_era_gets_the_domains_of_the_later_one():
    node = Node(Store())
    node.evacuation.adopt(evacuated(5, "c", era=2), "test")

    request = messages.UpdateRequest(0, 900, "p-1", 1)
    reply = node.feed.build_reply(request)

    assert reply.emptied == evacuated(5, "c", era=2)


def test_message_of_a_node_without_eras_is_of_the_first_one():
    assert messages.decode_rumor(b"[9,[]]").position == StorePosition(0, 9)


def test_evacuation_that_the_copy_lacks_is_kept_until_it_is_written_again():
    state = State()
    state.evacuation.adopt(evacuated(9, "b", era=1), "test")
    state.evacuation.adopt(evacuated(4, era=2), "test")
    assert state.evacuation.names == {"b"}

    state.evacuation.adopt(evacuated(5, "b", era=2), "test")
    state.clock.advance(CARRIED_S)
    state.evacuation.expire_carried()
    assert state.evacuation.names == {"b"}

    state.evacuation.adopt(evacuated(6, era=2), "test")
    assert state.evacuation.names == frozenset()
    assert state.notified == [{"b"}, frozenset()]


def test_evacuation_that_is_not_written_again_ends():
    state = State()
    state.evacuation.adopt(evacuated(9, "b", era=1), "test")
    state.evacuation.adopt(evacuated(4, era=2), "test")

    state.clock.advance(CARRIED_S)
    state.evacuation.expire_carried()

    assert state.evacuation.names == frozenset()


def test_evacuations_of_two_eras_before_are_kept_too():
    state = State()
    state.evacuation.adopt(evacuated(9, "b", era=1), "test")
    state.evacuation.adopt(evacuated(4, era=2), "test")
    state.evacuation.adopt(evacuated(3, era=3), "test")

    assert state.evacuation.names == {"b"}
