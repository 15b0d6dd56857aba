"""First peers by the store: few calls, no storm, no lost entry."""

import random

import anyio
from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest
from tests.support.direct import DirectSender
from tests.support.direct import Fault

from radishwind.core import ManualClock
from radishwind.http import Address
from radishwind.membership.contacts import addresses
from radishwind.membership.contacts import Contact
from radishwind.membership.contacts import ContactRecord
from radishwind.membership.contacts import key_of
from radishwind.membership.contacts import MAX_CONTACTS
from radishwind.membership.contacts import PREFIX
from radishwind.membership.contacts import read_record
from radishwind.membership.contacts import RENEW_MS
from radishwind.membership.contacts import revised
from radishwind.membership.contacts import STALE_MS
from radishwind.membership.discovery import backoff_s
from radishwind.membership.discovery import ContactFinder
from radishwind.membership.discovery import DiscoveryOptions
from radishwind.membership.discovery import Entered
from radishwind.membership.ranking import ranks_among_first
from radishwind.standins.store import StoreStandin
from radishwind.store import EtcdStore
from radishwind.store import StoreEntry
from radishwind.store import TokenBucket

STORE = Address("127.0.0.1", 2379)
OPTIONS = DiscoveryOptions(spread_s=0.0)
pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Platform:
    def __init__(self):
        self.clock = ManualClock()
        self.sender = DirectSender()
        self.standin = StoreStandin(self.clock)
        self.sender.handlers[STORE] = self.standin.handle

    def finder(self, number, options=OPTIONS):
        return ContactFinder(
            store=EtcdStore(self.sender, STORE),
            failure_domain="genova-a",
            own=Address("10.0.0.1", number),
            clock=self.clock,
            rng=random.Random(number),
            options=options,
        )


def contact(number, age_ms=0, now_ms=10 * STALE_MS):
    return Contact(f"10.0.0.1:{number}", now_ms - age_ms)


NOW_MS = 10 * STALE_MS
OWN = Address("10.0.0.1", 99)


def test_short_record_is_joined():
    new = revised(ContactRecord((contact(1),)), OWN, frozenset(), NOW_MS)

    assert addresses(new) == (Address("10.0.0.1", 1), OWN)


def test_full_record_stays():
    record = ContactRecord(tuple(contact(n) for n in range(MAX_CONTACTS)))

    assert revised(record, OWN, frozenset(), NOW_MS) is None


@pytest.mark.parametrize(
    ("age_ms", "unreachable"),
    [(STALE_MS, frozenset()), (0, frozenset({Address("10.0.0.1", 3)}))],
)
def test_stale_or_dead_contact_is_replaced(age_ms, unreachable):
    contacts = [contact(n) for n in range(MAX_CONTACTS)]
    contacts[3] = contact(3, age_ms)

    new = revised(ContactRecord(tuple(contacts)), OWN, unreachable, NOW_MS)

    assert len(new.contacts) == MAX_CONTACTS
    assert Address("10.0.0.1", 3) not in addresses(new)
    assert OWN in addresses(new)


@pytest.mark.parametrize(("age_ms", "renewed"), [(0, False), (RENEW_MS, True)])
def test_own_entry_is_confirmed_when_old(age_ms, renewed):
    record = ContactRecord((contact(OWN.port, age_ms),))

    assert (revised(record, OWN, frozenset(), NOW_MS) is not None) is renewed


@given(st.binary(max_size=60))
def test_unreadable_record_counts_as_empty(data):
    assert addresses(read_record(data)) == ()


async def test_of_many_that_start_at_once_few_write():
    platform = Platform()
    finders = [platform.finder(number) for number in range(1, 41)]

    async with anyio.create_task_group() as tasks:
        for finder in finders:
            tasks.start_soon(finder.enter)

    entry = await EtcdStore(platform.sender, STORE).get(key_of("genova-a"))
    assert len(read_record(entry.value).contacts) == MAX_CONTACTS
    assert platform.standin.calls["txn"] <= 3 * len(finders)
    assert all(sum(f.calls.values()) <= 6 for f in finders)


async def test_record_that_may_stay_costs_no_further_call():
    platform = Platform()
    for number in range(1, MAX_CONTACTS + 1):
        await platform.finder(number).enter()
    finder = platform.finder(99)

    await finder.read()
    entered = await finder.enter()

    assert entered is Entered.STANDS
    assert finder.calls == {"read": 1, "write": 0, "failed": 0}


async def test_contact_that_is_found_dead_is_replaced():
    platform = Platform()
    for number in range(1, MAX_CONTACTS + 1):
        await platform.finder(number).enter()
    finder = platform.finder(99)
    finder.note_failed(Address("10.0.0.1", 3))

    await finder.read()
    await finder.enter()

    contacts = await platform.finder(100).read()
    assert Address("10.0.0.1", 99) in contacts
    assert Address("10.0.0.1", 3) not in contacts


async def test_lost_answer_is_settled_by_a_look_not_by_a_second_write():
    platform = Platform()
    finder = platform.finder(1)
    platform.sender.next_faults = [None, Fault.ANSWER_LOST]

    entered = await finder.enter()

    assert entered is Entered.WRITTEN
    assert platform.standin.calls["txn"] == 1


async def test_record_just_listed_is_written_without_a_second_look():
    platform = Platform()
    finder = platform.finder(1)

    await finder.read()
    entered = await finder.enter()

    assert entered is Entered.WRITTEN
    assert finder.calls == {"read": 1, "write": 1, "failed": 0}
    assert finder.contacts == (Address("10.0.0.1", 1),)


async def test_record_listed_before_another_wrote_is_read_again():
    platform = Platform()
    finder = platform.finder(1)
    await finder.read()
    await platform.finder(2).enter()

    entered = await finder.enter()

    assert entered is Entered.WRITTEN
    assert finder.contacts == (Address("10.0.0.1", 2), Address("10.0.0.1", 1))


async def test_store_that_fails_is_told_apart_from_a_record_that_stands():
    platform = Platform()
    platform.sender.faults[STORE] = Fault.REFUSED

    assert await platform.finder(1).enter() is Entered.FAILED


async def test_a_record_holds_no_more_than_is_wanted():
    platform = Platform()
    options = DiscoveryOptions(spread_s=0.0, contacts=3)
    for number in range(1, 6):
        await platform.finder(number, options).enter()

    assert len(await platform.finder(9).read()) == 3


async def test_store_that_is_down_costs_no_more_than_the_budget():
    platform = Platform()
    platform.sender.faults[STORE] = Fault.REFUSED
    finder = platform.finder(1)

    results = [await finder.read() for _ in range(50)]

    assert set(results) == {None}
    assert len(platform.sender.sent) == OPTIONS.calls_at_once


async def test_contacts_of_all_domains_are_read_by_one_call():
    platform = Platform()
    await platform.finder(1).enter()
    await platform.finder(2).enter()
    calls = len(platform.sender.sent)

    contacts = await platform.finder(3).read()

    assert contacts == (Address("10.0.0.1", 1), Address("10.0.0.1", 2))
    assert len(platform.sender.sent) == calls + 1


def test_budget_refills_by_time():
    options = DiscoveryOptions()
    budget = TokenBucket(options.calls_per_hour / 3600, 2, 0.0)
    taken = [budget.take(0.0) for _ in range(3)]

    assert taken == [True, True, False]
    assert budget.take(60.0)
    assert not budget.take(60.0)


def test_wait_stays_bounded_in_a_store_outage_of_days():
    options = DiscoveryOptions(backoff_s=0.5, backoff_most_s=60.0)

    waits_s = [backoff_s(options, failures) for failures in (1, 2, 7, 5_000)]

    assert waits_s == [1.0, 2.0, 60.0, 60.0]


def test_all_nodes_name_the_same_first_few():
    names = [f"target-{number}" for number in range(50)]

    first = [n for n in names if ranks_among_first(n, names, 8)]

    assert len(first) == 8


class Remembering(EtcdStore):
    """A store that answers stale reads with what it was given as old."""

    def __init__(self, sender):
        super().__init__(sender, STORE)
        self.old = ()
        self.asked = []

    async def list(self, prefix, limit=0, *, allow_stale=False):
        self.asked.append("stale" if allow_stale else "newest")
        if allow_stale:
            return self.old
        return await super().list(prefix, limit)


@pytest.fixture
def remembering():
    platform = Platform()
    store = Remembering(platform.sender)

    def finder(number):
        return ContactFinder(
            store=store,
            failure_domain="genova-a",
            own=Address("10.0.0.1", number),
            clock=platform.clock,
            rng=random.Random(number),
            options=msgspec.structs.replace(OPTIONS, stale_first=True),
        )

    return store, finder


async def enter(finder):
    await finder.read()
    await finder.enter()


async def test_old_contacts_will_do_where_they_name_somebody(remembering):
    store, finder = remembering
    await enter(finder(1))
    store.old = await EtcdStore.list(store, PREFIX)
    store.asked.clear()

    assert await finder(2).read() == (Address("10.0.0.1", 1),)
    assert store.asked == ["stale"]


async def test_the_newest_are_read_where_the_old_ones_name_nobody(remembering):
    store, finder = remembering
    await enter(finder(1))
    store.asked.clear()

    assert await finder(2).read() == (Address("10.0.0.1", 1),)
    assert store.asked == ["stale", "newest"]


async def test_who_wrote_just_now_reads_the_newest(remembering):
    store, finder = remembering
    store.old = (StoreEntry(key_of("genova-b"), b"{}", 1, 1),)

    await finder(1).read(newest=True)

    assert store.asked == ["newest"]


async def test_an_own_entry_in_old_contacts_stands_without_a_call(remembering):
    store, finder = remembering
    await enter(finder(1))
    store.old = await EtcdStore.list(store, PREFIX)
    again = finder(1)
    await again.read()
    calls = dict(again.calls)

    assert await again.enter() is Entered.STANDS
    assert again.calls == calls
