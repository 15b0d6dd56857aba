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
from radishwind.membership.contact_records import Contact
from radishwind.membership.contact_records import contact_addresses
from radishwind.membership.contact_records import contact_key
from radishwind.membership.contact_records import CONTACT_RENEW_AFTER_MS
from radishwind.membership.contact_records import CONTACT_STALE_AFTER_MS
from radishwind.membership.contact_records import ContactRecord
from radishwind.membership.contact_records import CONTACTS_KEY_PREFIX
from radishwind.membership.contact_records import decode_contact_record
from radishwind.membership.contact_records import MAX_CONTACTS_PER_DOMAIN
from radishwind.membership.contact_records import updated_record
from radishwind.membership.contact_registry import backoff_delay_s
from radishwind.membership.contact_registry import ContactRegistry
from radishwind.membership.contact_registry import DiscoveryOptions
from radishwind.membership.contact_registry import RegistrationResult
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
        return ContactRegistry(
            store=EtcdStore(self.sender, STORE),
            failure_domain="genova-a",
            own=Address("10.0.0.1", number),
            clock=self.clock,
            rng=random.Random(number),
            options=options,
        )


def contact(number, age_ms=0, now_ms=10 * CONTACT_STALE_AFTER_MS):
    return Contact(f"10.0.0.1:{number}", now_ms - age_ms)


NOW_MS = 10 * CONTACT_STALE_AFTER_MS
OWN = Address("10.0.0.1", 99)


def test_short_record_is_joined():
    new = updated_record(ContactRecord((contact(1),)), OWN, frozenset(), NOW_MS)

    assert contact_addresses(new) == (Address("10.0.0.1", 1), OWN)


def test_full_record_stays():
    record = ContactRecord(
        tuple(contact(n) for n in range(MAX_CONTACTS_PER_DOMAIN))
    )

    assert updated_record(record, OWN, frozenset(), NOW_MS) is None


@pytest.mark.parametrize(
    ("age_ms", "unreachable"),
    [
        (CONTACT_STALE_AFTER_MS, frozenset()),
        (0, frozenset({Address("10.0.0.1", 3)})),
    ],
)
def test_stale_or_dead_contact_is_replaced(age_ms, unreachable):
    contacts = [contact(n) for n in range(MAX_CONTACTS_PER_DOMAIN)]
    contacts[3] = contact(3, age_ms)

    new = updated_record(
        ContactRecord(tuple(contacts)), OWN, unreachable, NOW_MS
    )

    assert len(new.contacts) == MAX_CONTACTS_PER_DOMAIN
    assert Address("10.0.0.1", 3) not in contact_addresses(new)
    assert OWN in contact_addresses(new)


@pytest.mark.parametrize(
    ("age_ms", "renewed"), [(0, False), (CONTACT_RENEW_AFTER_MS, True)]
)
def test_own_entry_is_confirmed_when_old(age_ms, renewed):
    record = ContactRecord((contact(OWN.port, age_ms),))

    assert (
        updated_record(record, OWN, frozenset(), NOW_MS) is not None
    ) is renewed


@given(st.binary(max_size=60))
def test_unreadable_record_counts_as_empty(data):
    assert contact_addresses(decode_contact_record(data)) == ()


async def test_of_many_that_start_at_once_few_write():
    platform = Platform()
    finders = [platform.finder(number) for number in range(1, 41)]

    async with anyio.create_task_group() as tasks:
        for finder in finders:
            tasks.start_soon(finder.register)

    entry = await EtcdStore(platform.sender, STORE).get(contact_key("genova-a"))
    assert (
        len(decode_contact_record(entry.value).contacts)
        == MAX_CONTACTS_PER_DOMAIN
    )
    assert platform.standin.calls["txn"] <= 3 * len(finders)
    assert all(sum(f.calls.values()) <= 6 for f in finders)


async def test_record_that_may_stay_costs_no_further_call():
    platform = Platform()
    for number in range(1, MAX_CONTACTS_PER_DOMAIN + 1):
        await platform.finder(number).register()
    finder = platform.finder(99)

    await finder.read_contacts()
    entered = await finder.register()

    assert entered is RegistrationResult.UNCHANGED
    assert finder.calls == {"read": 1, "write": 0, "failed": 0}


async def test_contact_that_is_found_dead_is_replaced():
    platform = Platform()
    for number in range(1, MAX_CONTACTS_PER_DOMAIN + 1):
        await platform.finder(number).register()
    finder = platform.finder(99)
    finder.mark_unreachable(Address("10.0.0.1", 3))

    await finder.read_contacts()
    await finder.register()

    contacts = await platform.finder(100).read_contacts()
    assert Address("10.0.0.1", 99) in contacts
    assert Address("10.0.0.1", 3) not in contacts


async def test_lost_answer_is_settled_by_a_look_not_by_a_second_write():
    platform = Platform()
    finder = platform.finder(1)
    platform.sender.next_faults = [None, Fault.ANSWER_LOST]

    entered = await finder.register()

    assert entered is RegistrationResult.WRITTEN
    assert platform.standin.calls["txn"] == 1


async def test_record_just_listed_is_written_without_a_second_look():
    platform = Platform()
    finder = platform.finder(1)

    await finder.read_contacts()
    entered = await finder.register()

    assert entered is RegistrationResult.WRITTEN
    assert finder.calls == {"read": 1, "write": 1, "failed": 0}
    assert finder.contacts == (Address("10.0.0.1", 1),)


async def test_record_listed_before_another_wrote_is_read_again():
    platform = Platform()
    finder = platform.finder(1)
    await finder.read_contacts()
    await platform.finder(2).register()

    entered = await finder.register()

    assert entered is RegistrationResult.WRITTEN
    assert finder.contacts == (Address("10.0.0.1", 2), Address("10.0.0.1", 1))


async def test_store_that_fails_is_told_apart_from_a_record_that_stands():
    platform = Platform()
    platform.sender.faults[STORE] = Fault.REFUSED

    assert await platform.finder(1).register() is RegistrationResult.FAILED


async def test_a_record_holds_no_more_than_is_wanted():
    platform = Platform()
    options = DiscoveryOptions(spread_s=0.0, contacts=3)
    for number in range(1, 6):
        await platform.finder(number, options).register()

    assert len(await platform.finder(9).read_contacts()) == 3


async def test_store_that_is_down_costs_no_more_than_the_budget():
    platform = Platform()
    platform.sender.faults[STORE] = Fault.REFUSED
    finder = platform.finder(1)

    results = [await finder.read_contacts() for _ in range(50)]

    assert set(results) == {None}
    assert len(platform.sender.sent) == OPTIONS.burst_calls


async def test_contacts_of_all_domains_are_read_by_one_call():
    platform = Platform()
    await platform.finder(1).register()
    await platform.finder(2).register()
    calls = len(platform.sender.sent)

    contacts = await platform.finder(3).read_contacts()

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
    options = DiscoveryOptions(backoff_s=0.5, max_backoff_s=60.0)

    waits_s = [
        backoff_delay_s(options, failures) for failures in (1, 2, 7, 5_000)
    ]

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
        return ContactRegistry(
            store=store,
            failure_domain="genova-a",
            own=Address("10.0.0.1", number),
            clock=platform.clock,
            rng=random.Random(number),
            options=msgspec.structs.replace(OPTIONS, prefers_stale_reads=True),
        )

    return store, finder


async def enter(finder):
    await finder.read_contacts()
    await finder.register()


async def test_old_contacts_will_do_where_they_name_somebody(remembering):
    store, finder = remembering
    await enter(finder(1))
    store.old = await EtcdStore.list(store, CONTACTS_KEY_PREFIX)
    store.asked.clear()

    assert await finder(2).read_contacts() == (Address("10.0.0.1", 1),)
    assert store.asked == ["stale"]


async def test_the_newest_are_read_where_the_old_ones_name_nobody(remembering):
    store, finder = remembering
    await enter(finder(1))
    store.asked.clear()

    assert await finder(2).read_contacts() == (Address("10.0.0.1", 1),)
    assert store.asked == ["stale", "newest"]


async def test_who_wrote_just_now_reads_the_newest(remembering):
    store, finder = remembering
    store.old = (StoreEntry(contact_key("genova-b"), b"{}", 1, 1),)

    await finder(1).read_contacts(newest=True)

    assert store.asked == ["newest"]


async def test_an_own_entry_in_old_contacts_stands_without_a_call(remembering):
    store, finder = remembering
    await enter(finder(1))
    store.old = await EtcdStore.list(store, CONTACTS_KEY_PREFIX)
    again = finder(1)
    await again.read_contacts()
    calls = dict(again.calls)

    assert await again.register() is RegistrationResult.UNCHANGED
    assert again.calls == calls
