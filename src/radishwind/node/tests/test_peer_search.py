"""Tests that nodes find peers by few store calls and replace gone contacts."""

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


def member_record(number, **fields):
    return MemberRecord(
        f"t-{number}", "s", "a", f"10.0.0.1:{number}", 1, **fields
    )


class Node:
    """The peer search of one node; all nodes share a store.

    Attributes:
      joined: addresses of the messages that the search sent.
    """

    def __init__(self, number, sender, clock):
        self.clock = clock
        self.joined = []
        self.gossip = Gossip(
            member_record(number), GossipOptions(), random.Random(1), 0
        )
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
        self.contact_registry = ContactRegistry(
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
            contact_registry=self.contact_registry,
            options=OPTIONS,
            send=self._send,
        )

    def _send(self, messages):
        self.joined += [str(message.address) for message in messages]

    def add_members(self, *records):
        for record in records:
            self.gossip.table.merge_member(record)


@pytest.fixture
def fleet():
    clock = ManualClock()
    sender = InProcessSender()
    sender.handlers[STORE] = StoreStandin(clock).handle
    return [Node(number, sender, clock) for number in range(1, 5)]


async def test_of_two_simultaneous_searches_one_finds_the_other(fleet):
    first, second = fleet[:2]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(first.search._search)
        tasks.start_soon(second.search._search)

    assert "10.0.0.1:2" in first.joined or "10.0.0.1:1" in second.joined


async def test_search_that_finds_enough_contacts_makes_one_store_call(fleet):
    for node in fleet[:2]:
        await node.search._search()

    await fleet[2].search._search()

    assert fleet[2].contact_registry.calls == {
        "read": 1,
        "write": 0,
        "failed": 0,
    }
    assert set(fleet[2].joined) >= {"10.0.0.1:1", "10.0.0.1:2"}


async def test_only_the_first_contact_found_no_peers(fleet):
    first, second = fleet[:2]
    assert not first.search.found_no_peers

    await first.search._search()
    await second.search._search()

    assert first.search.found_no_peers
    assert not second.search.found_no_peers


async def test_of_two_simultaneous_searches_at_most_one_finds_none(fleet):
    first, second = fleet[:2]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(first.search._search)
        tasks.start_soon(second.search._search)

    assert not (first.search.found_no_peers and second.search.found_no_peers)


@pytest.mark.parametrize("call", ["list", "transact", "get"])
async def test_failed_search_does_not_count_as_finding_no_peers(
    fleet, monkeypatch, call
):
    async def fail(*args, **options):
        raise StoreUnavailableError("unavailable")

    node = fleet[0]
    monkeypatch.setattr(node.contact_registry._store, call, fail)
    if call == "get":
        # Without a listed entry, as after a write that lost its race, the
        # record is read before it is written.
        monkeypatch.setattr(node.contact_registry, "_listed_entry", None)
        monkeypatch.setattr(
            node.contact_registry, "read_contacts", _read_no_contacts
        )

    await node.search._search()

    assert not node.search.found_no_peers


async def _read_no_contacts(*, newest=False):
    return ()


async def test_contact_gone_at_two_checks_is_replaced(fleet):
    for node in fleet[:3]:
        await node.search._search()
    third = fleet[2]
    third.add_members(member_record(1), member_record(2))

    assert not third.search._should_replace_contact()
    third.add_members(
        MemberRecord("t-1", "s", "a", "10.0.0.1:1", 2, AdvertisedState.LEFT)
    )

    assert not third.search._should_replace_contact(), "it may be restarting"
    assert third.search._should_replace_contact()
    await third.search._search()
    assert set(third.contact_registry.contacts) == {
        Address("10.0.0.1", 2),
        Address("10.0.0.1", 3),
    }


async def test_contact_does_not_replace_another_contact(fleet):
    for node in fleet[:2]:
        await node.search._search()
    first = fleet[0]

    assert not first.search._should_replace_contact()
    assert not first.search._should_replace_contact(), "t-2 is unknown or gone"


@pytest.fixture
async def third(fleet):
    """A node that read two contacts and knows neither as a member yet."""
    for node in fleet[:3]:
        await node.search._search()
    fleet[2].joined.clear()
    return fleet[2]


async def run_wait(node, monkeypatch, is_over, late_s=0.0):
    """Runs the wait for the next search; returns the durations slept (s).

    Args:
      node: the node.
      monkeypatch: replaces `anyio.sleep`.
      is_over: whether to end the wait.
      late_s: how much later than due each sleep ends (s).
    """
    slept = []

    async def sleep(duration_s):
        slept.append(duration_s)
        node.clock.advance(duration_s + late_s)
        if is_over():
            scope.cancel()
        await anyio.lowlevel.checkpoint()

    monkeypatch.setattr(peer_search.anyio, "sleep", sleep)
    with anyio.CancelScope() as scope:
        await node.search._wait_for_next_search(1, 0)
    return slept


async def test_contact_that_was_not_up_is_joined_later(third, monkeypatch):
    """Otherwise groups of nodes that start at once could remain separate."""
    third.add_members(member_record(2))

    slept = await run_wait(third, monkeypatch, lambda: len(third.joined) >= 3)

    assert set(third.joined) == {"10.0.0.1:1"}
    assert sum(slept) <= 2 * MISSING_CONTACT_CHECKS_S[1]


async def test_wait_that_wakes_late_continues(third, monkeypatch):
    """Sleeps end late on a busy machine; no wait may become negative."""
    third.add_members(member_record(1))

    slept = await run_wait(
        third, monkeypatch, lambda: third.clock.monotonic() > 30.0, late_s=1.7
    )

    assert min(slept) >= 0


async def test_known_contacts_are_not_joined_again(third, monkeypatch):
    third.add_members(member_record(1), member_record(2))

    await run_wait(third, monkeypatch, lambda: third.clock.monotonic() > 30.0)

    assert third.joined == []
