"""Contact records in the store: few calls, no write storm, no lost entry."""

import random

import anyio
from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest
from tests.support.in_process_sender import Fault
from tests.support.in_process_sender import InProcessSender

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


class StoreSetup:
    def __init__(self):
        self.clock = ManualClock()
        self.sender = InProcessSender()
        self.standin = StoreStandin(self.clock)
        self.sender.handlers[STORE] = self.standin.handle

    def make_registry(self, number, options=OPTIONS):
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


def test_node_is_added_to_a_record_with_room():
    new = updated_record(ContactRecord((contact(1),)), OWN, frozenset(), NOW_MS)

    assert contact_addresses(new) == (Address("10.0.0.1", 1), OWN)


def test_full_record_is_unchanged():
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
def test_stale_or_unreachable_contact_is_replaced(age_ms, unreachable):
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
def test_own_entry_is_renewed_when_old(age_ms, renewed):
    record = ContactRecord((contact(OWN.port, age_ms),))

    assert (
        updated_record(record, OWN, frozenset(), NOW_MS) is not None
    ) is renewed


@given(st.binary(max_size=60))
def test_malformed_record_counts_as_empty(data):
    assert contact_addresses(decode_contact_record(data)) == ()


async def test_few_of_many_nodes_that_start_together_write():
    setup = StoreSetup()
    registries = [setup.make_registry(number) for number in range(1, 41)]

    async with anyio.create_task_group() as tasks:
        for registry in registries:
            tasks.start_soon(registry.register)

    entry = await EtcdStore(setup.sender, STORE).get(contact_key("genova-a"))
    assert (
        len(decode_contact_record(entry.value).contacts)
        == MAX_CONTACTS_PER_DOMAIN
    )
    assert setup.standin.calls["txn"] <= 3 * len(registries)
    assert all(sum(r.calls.values()) <= 6 for r in registries)


async def test_record_that_needs_no_change_costs_no_further_call():
    setup = StoreSetup()
    for number in range(1, MAX_CONTACTS_PER_DOMAIN + 1):
        await setup.make_registry(number).register()
    registry = setup.make_registry(99)

    await registry.read_contacts()
    result = await registry.register()

    assert result is RegistrationResult.UNCHANGED
    assert registry.calls == {"read": 1, "write": 0, "failed": 0}


async def test_contact_marked_unreachable_is_replaced():
    setup = StoreSetup()
    for number in range(1, MAX_CONTACTS_PER_DOMAIN + 1):
        await setup.make_registry(number).register()
    registry = setup.make_registry(99)
    registry.mark_unreachable(Address("10.0.0.1", 3))

    await registry.read_contacts()
    await registry.register()

    contacts = await setup.make_registry(100).read_contacts()
    assert Address("10.0.0.1", 99) in contacts
    assert Address("10.0.0.1", 3) not in contacts


async def test_write_with_a_lost_reply_is_settled_by_a_read():
    setup = StoreSetup()
    registry = setup.make_registry(1)
    setup.sender.next_faults = [None, Fault.RESPONSE_LOST]

    result = await registry.register()

    assert result is RegistrationResult.WRITTEN
    assert setup.standin.calls["txn"] == 1


async def test_record_just_listed_is_written_without_another_read():
    setup = StoreSetup()
    registry = setup.make_registry(1)

    await registry.read_contacts()
    result = await registry.register()

    assert result is RegistrationResult.WRITTEN
    assert registry.calls == {"read": 1, "write": 1, "failed": 0}
    assert registry.contacts == (Address("10.0.0.1", 1),)


async def test_record_written_by_another_node_since_is_read_again():
    setup = StoreSetup()
    registry = setup.make_registry(1)
    await registry.read_contacts()
    await setup.make_registry(2).register()

    result = await registry.register()

    assert result is RegistrationResult.WRITTEN
    assert registry.contacts == (Address("10.0.0.1", 2), Address("10.0.0.1", 1))


async def test_store_failure_is_reported():
    setup = StoreSetup()
    setup.sender.faults[STORE] = Fault.REFUSED

    assert await setup.make_registry(1).register() is RegistrationResult.FAILED


async def test_record_holds_at_most_the_configured_contacts():
    setup = StoreSetup()
    options = DiscoveryOptions(spread_s=0.0, contacts=3)
    for number in range(1, 6):
        await setup.make_registry(number, options).register()

    assert len(await setup.make_registry(9).read_contacts()) == 3


async def test_calls_to_a_store_that_is_down_stay_within_the_budget():
    setup = StoreSetup()
    setup.sender.faults[STORE] = Fault.REFUSED
    registry = setup.make_registry(1)

    results = [await registry.read_contacts() for _ in range(50)]

    assert set(results) == {None}
    assert len(setup.sender.sent) == OPTIONS.burst_calls


async def test_contacts_are_read_by_one_call():
    setup = StoreSetup()
    await setup.make_registry(1).register()
    await setup.make_registry(2).register()
    calls = len(setup.sender.sent)

    contacts = await setup.make_registry(3).read_contacts()

    assert contacts == (Address("10.0.0.1", 1), Address("10.0.0.1", 2))
    assert len(setup.sender.sent) == calls + 1


def test_call_budget_is_replenished_over_time():
    options = DiscoveryOptions()
    budget = TokenBucket(options.calls_per_hour / 3600, 2, 0.0)
    taken = [budget.try_spend(0.0) for _ in range(3)]

    assert taken == [True, True, False]
    assert budget.try_spend(60.0)
    assert not budget.try_spend(60.0)


def test_backoff_stays_bounded_during_a_long_store_outage():
    options = DiscoveryOptions(backoff_s=0.5, max_backoff_s=60.0)

    delays_s = [
        backoff_delay_s(options, failures) for failures in (1, 2, 7, 5_000)
    ]

    assert delays_s == [1.0, 2.0, 60.0, 60.0]


def test_ranking_selects_the_requested_number_of_names():
    names = [f"target-{number}" for number in range(50)]

    first = [n for n in names if ranks_among_first(n, names, 8)]

    assert len(first) == 8


class StaleReadStore(EtcdStore):
    """Store that answers stale reads with the entries set by the test."""

    def __init__(self, sender):
        super().__init__(sender, STORE)
        self.stale_entries = ()
        self.reads = []

    async def list(self, prefix, limit=0, *, allow_stale=False):
        self.reads.append("stale" if allow_stale else "newest")
        if allow_stale:
            return self.stale_entries
        return await super().list(prefix, limit)


@pytest.fixture
def stale_read_store():
    setup = StoreSetup()
    store = StaleReadStore(setup.sender)

    def make_registry(number):
        return ContactRegistry(
            store=store,
            failure_domain="genova-a",
            own=Address("10.0.0.1", number),
            clock=setup.clock,
            rng=random.Random(number),
            options=msgspec.structs.replace(OPTIONS, prefers_stale_reads=True),
        )

    return store, make_registry


async def read_and_register(registry):
    await registry.read_contacts()
    await registry.register()


async def test_stale_contacts_suffice_if_there_are_any(stale_read_store):
    store, make_registry = stale_read_store
    await read_and_register(make_registry(1))
    store.stale_entries = await EtcdStore.list(store, CONTACTS_KEY_PREFIX)
    store.reads.clear()

    assert await make_registry(2).read_contacts() == (Address("10.0.0.1", 1),)
    assert store.reads == ["stale"]


async def test_newest_contacts_are_read_if_there_are_no_stale_ones(
    stale_read_store,
):
    store, make_registry = stale_read_store
    await read_and_register(make_registry(1))
    store.reads.clear()

    assert await make_registry(2).read_contacts() == (Address("10.0.0.1", 1),)
    assert store.reads == ["stale", "newest"]


async def test_newest_read_skips_the_stale_one(stale_read_store):
    store, make_registry = stale_read_store
    store.stale_entries = (StoreEntry(contact_key("genova-b"), b"{}", 1, 1),)

    await make_registry(1).read_contacts(newest=True)

    assert store.reads == ["newest"]


async def test_own_entry_in_stale_contacts_costs_no_further_call(
    stale_read_store,
):
    store, make_registry = stale_read_store
    await read_and_register(make_registry(1))
    store.stale_entries = await EtcdStore.list(store, CONTACTS_KEY_PREFIX)
    again = make_registry(1)
    await again.read_contacts()
    calls = dict(again.calls)

    assert await again.register() is RegistrationResult.UNCHANGED
    assert again.calls == calls
