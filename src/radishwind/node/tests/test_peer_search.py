"""A node finds others by few looks, and replaces contacts that are gone."""

import random

import anyio
import pytest
from tests.support.in_process_sender import InProcessSender

from radishwind.core import ManualClock
from radishwind.http import Address
from radishwind.membership import AdvertisedState
from radishwind.membership import Gossip
from radishwind.membership import GossipOptions
from radishwind.membership import MemberRecord
from radishwind.membership.contact_registry import ContactRegistry
from radishwind.membership.contact_registry import DiscoveryOptions
from radishwind.node import peer_search
from radishwind.node.peer_search import MISSING_CONTACT_CHECKS_S
from radishwind.node.peer_search import PeerSearch
from radishwind.settings import NodeSettings
from radishwind.standins.store import StoreStandin
from radishwind.store import EtcdStore
from radishwind.store import StoreUnavailableError

STORE = Address("127.0.0.1", 2379)
OPTIONS = DiscoveryOptions(spread_s=0.0, early_checks=0, contacts=2)
pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def fact(number, **said):
    return MemberRecord(
        f"t-{number}", "s", "a", f"10.0.0.1:{number}", 1, **said
    )


class Node:
    """One node's search, with a store that all of them share."""

    def __init__(self, number, sender, clock):
        self.clock = clock
        self.joined = []
        self.gossip = Gossip(fact(number), GossipOptions(), random.Random(1), 0)
        address = Address("10.0.0.1", number)
        settings = NodeSettings(
            target=f"t-{number}",
            service="s",
            failure_domain="a",
            store=STORE,
            caller_listen=address,
            peer_listen=address,
            admin_listen=address,
        )
        self.finder = ContactRegistry(
            store=EtcdStore(sender, STORE),
            failure_domain="a",
            own=address,
            clock=clock,
            rng=random.Random(number),
            options=OPTIONS,
        )
        self.search = PeerSearch(
            settings=settings,
            clock=clock,
            rng=random.Random(number),
            gossip=self.gossip,
            finder=self.finder,
            options=OPTIONS,
            start=self._start,
        )

    def _start(self, calls):
        self.joined += [str(call.address) for call in calls]

    def know(self, *facts):
        for told in facts:
            self.gossip.table.merge_member(told)


@pytest.fixture
def fleet():
    clock = ManualClock()
    sender = InProcessSender()
    sender.handlers[STORE] = StoreStandin(clock).handle
    return [Node(number, sender, clock) for number in range(1, 5)]


async def test_of_two_that_enter_at_once_the_later_sees_the_other(fleet):
    first, second = fleet[:2]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(first.search._look)
        tasks.start_soon(second.search._look)

    assert "10.0.0.1:2" in first.joined or "10.0.0.1:1" in second.joined


async def test_one_that_finds_the_record_full_makes_one_call(fleet):
    for node in fleet[:2]:
        await node.search._look()

    await fleet[2].search._look()

    assert fleet[2].finder.calls == {"read": 1, "write": 0, "failed": 0}
    assert set(fleet[2].joined) >= {"10.0.0.1:1", "10.0.0.1:2"}


async def test_who_finds_no_contact_but_itself_is_alone(fleet):
    first, second = fleet[:2]
    assert not first.search.found_no_peers

    await first.search._look()
    await second.search._look()

    assert first.search.found_no_peers
    assert not second.search.found_no_peers


async def test_of_two_that_enter_at_once_one_at_most_is_alone(fleet):
    first, second = fleet[:2]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(first.search._look)
        tasks.start_soon(second.search._look)

    assert not (first.search.found_no_peers and second.search.found_no_peers)


@pytest.mark.parametrize("call", ["list", "transact", "get"])
async def test_a_store_that_fails_proves_nobody_alone(fleet, monkeypatch, call):
    async def fail(*args, **options):
        raise StoreUnavailableError("away")

    node = fleet[0]
    monkeypatch.setattr(node.finder._store, call, fail)
    if call == "get":
        # A first write that lost its race reads once more.
        monkeypatch.setattr(node.finder, "_listed_entry", None)
        monkeypatch.setattr(node.finder, "read_contacts", _nobody)

    await node.search._look()

    assert not node.search.found_no_peers


async def _nobody(*, newest=False):
    return ()


async def test_a_contact_that_stays_gone_is_replaced(fleet):
    for node in fleet[:3]:
        await node.search._look()
    third = fleet[2]
    third.know(fact(1), fact(2))

    assert not third.search._is_to_replace_one()
    third.know(
        MemberRecord("t-1", "s", "a", "10.0.0.1:1", 2, AdvertisedState.LEFT)
    )

    assert not third.search._is_to_replace_one(), "it may be starting again"
    assert third.search._is_to_replace_one()
    await third.search._look()
    assert set(third.finder.contacts) == {
        Address("10.0.0.1", 2),
        Address("10.0.0.1", 3),
    }


async def test_a_contact_leaves_the_others_to_who_is_none(fleet):
    for node in fleet[:2]:
        await node.search._look()
    first = fleet[0]

    assert not first.search._is_to_replace_one()
    assert not first.search._is_to_replace_one(), "t-2 is not known, or gone"


@pytest.fixture
async def third(fleet):
    """A node that read two contacts, and knows neither yet."""
    for node in fleet[:3]:
        await node.search._look()
    fleet[2].joined.clear()
    return fleet[2]


async def wait_for_looks(node, monkeypatch, is_over, late_s=0.0):
    """Lets the node wait for its next look; returns the waits (s)."""
    slept = []

    async def sleep(for_s):
        slept.append(for_s)
        node.clock.advance(for_s + late_s)
        if is_over():
            scope.cancel()
        await anyio.lowlevel.checkpoint()

    monkeypatch.setattr(peer_search.anyio, "sleep", sleep)
    with anyio.CancelScope() as scope:
        await node.search._until_next_look(1, 0)
    return slept


async def test_a_contact_that_was_not_up_is_tried_again(third, monkeypatch):
    """Of two groups that start at once neither stays apart."""
    third.know(fact(2))

    slept = await wait_for_looks(
        third, monkeypatch, lambda: len(third.joined) >= 3
    )

    assert set(third.joined) == {"10.0.0.1:1"}
    assert sum(slept) <= 2 * MISSING_CONTACT_CHECKS_S[1]


async def test_a_search_that_wakes_late_goes_on(third, monkeypatch):
    """A busy machine wakes a task after its time; no wait is negative."""
    third.know(fact(1))

    slept = await wait_for_looks(
        third, monkeypatch, lambda: third.clock.monotonic() > 30.0, late_s=1.7
    )

    assert min(slept) >= 0


async def test_who_knows_all_contacts_asks_none_again(third, monkeypatch):
    third.know(fact(1), fact(2))

    await wait_for_looks(
        third, monkeypatch, lambda: third.clock.monotonic() > 30.0
    )

    assert third.joined == []
