"""Tests of the store client against the stand-in, with and without faults."""

import contextlib
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
from radishwind.http import Request
from radishwind.http import Response
from radishwind.standins.store import StoreFaults
from radishwind.standins.store import StoreStandin
from radishwind.store import BudgetedStore
from radishwind.store import Compare
from radishwind.store import Delete
from radishwind.store import EtcdStore
from radishwind.store import Put
from radishwind.store import StoreAnswerLostError
from radishwind.store import StoreBudget
from radishwind.store import StoreBudgetError
from radishwind.store import StoreCompactedError
from radishwind.store import StoreError
from radishwind.store import StoreUnavailableError
from radishwind.store.position import StorePosition

pytestmark = pytest.mark.anyio
ADDRESS = Address("127.0.0.1", 1)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class StoreSetup:
    """An `EtcdStore` connected to the stand-in of the store."""

    def __init__(self, timeout_s=2.0):
        self.clock = ManualClock()
        self.standin = StoreStandin(self.clock)
        self.sender = InProcessSender()
        self.sender.handlers[ADDRESS] = self.standin.handle
        self.store = EtcdStore(self.sender, ADDRESS, timeout_s)


async def test_only_one_of_two_conditional_writes_succeeds():
    store = StoreSetup().store
    first = await store.transact((Compare("k", 0),), (Put("k", b"1"),))
    second = await store.transact((Compare("k", 0),), (Put("k", b"2"),))
    assert (first.succeeded, second.succeeded) == (True, False)
    assert (await store.get("k")).value == b"1"


async def test_list_reads_every_page():
    setup = StoreSetup()
    for start in range(0, 450, 90):
        puts = tuple(Put(f"p/{i:04d}", b"v") for i in range(start, start + 90))
        await setup.store.transact((), puts)
    entries = await setup.store.list("p/")
    assert [e.key for e in entries] == [f"p/{i:04d}" for i in range(450)]
    assert setup.standin.calls["range"] == 3
    assert len(await setup.store.list("p/", limit=7)) == 7


async def test_revision_grows_with_each_change():
    store = StoreSetup().store
    first = await store.position()
    assert await store.position() == first
    written = await store.transact((), (Put("k", b"1"),))

    assert first < await store.position() == written.position


async def test_keys_of_an_expired_lease_are_deleted():
    setup = StoreSetup()
    lease = await setup.store.grant(10)
    await setup.store.transact((), (Put("k", b"v", lease),))
    setup.clock.advance(9)
    assert await setup.store.keep_alive(lease) == 10
    setup.clock.advance(11)
    assert await setup.store.get("k") is None
    assert await setup.store.keep_alive(lease) == 0
    await setup.store.revoke(lease)


async def test_watch_reports_past_and_new_changes_in_order():
    setup = StoreSetup()
    first = await setup.store.transact((), (Put("w/a", b"1"),))
    await setup.store.transact((), (Put("other", b"1"),))
    events = []
    async for event in setup.store.watch("w/", first.position):
        events.append((event.key, event.entry and event.entry.value))
        if len(events) == 1:
            assert setup.standin.open_watches == 1
            await setup.store.transact((), (Put("w/b", b"2"),))
            await setup.store.transact((), (Delete("w/a"),))
        if len(events) == 3:
            break
    assert events == [("w/a", b"1"), ("w/b", b"2"), ("w/a", None)]
    assert setup.standin.calls["watch"] == 1


async def test_watch_from_a_compacted_revision_fails():
    setup = StoreSetup()
    for _ in range(40):
        await setup.store.transact((), tuple(Put("w", b"") for _ in range(120)))
    with pytest.raises(StoreCompactedError):
        await anext(setup.store.watch("w", StorePosition(0, 1)))


async def test_watch_fails_when_the_store_goes_down():
    setup = StoreSetup()
    await setup.store.transact((), (Put("w", b""),))
    watch = setup.store.watch("w", StorePosition(0, 1))
    await anext(watch)
    setup.standin.set_faults(StoreFaults(down="refuse"))
    with pytest.raises(StoreUnavailableError):
        await anext(watch)


@pytest.mark.parametrize(
    ("fault", "error", "took_effect"),
    [
        (Fault.REFUSED, StoreUnavailableError, False),
        (Fault.REQUEST_LOST, StoreAnswerLostError, False),
        (Fault.RESPONSE_LOST, StoreAnswerLostError, True),
    ],
)
async def test_failure_is_classified_by_its_possible_effect(
    fault, error, took_effect
):
    setup = StoreSetup()
    setup.sender.next_faults = [fault]
    with pytest.raises(error):
        await setup.store.transact((), (Put("k", b"v"),))
    assert (await setup.store.get("k") is not None) is took_effect


@pytest.mark.parametrize("down", ["refuse", "hang"])
async def test_store_that_is_down_applies_nothing(down):
    setup = StoreSetup(timeout_s=0.01)
    setup.standin.set_faults(StoreFaults(down=down))
    with pytest.raises(StoreAnswerLostError):
        await setup.store.transact((), (Put("k", b"v"),))
    setup.standin.set_faults(StoreFaults())
    assert await setup.store.get("k") is None


async def test_stand_in_loses_the_response_of_a_write_on_request():
    setup = StoreSetup()
    body = msgspec.json.encode({"lose_answers": 1})
    response = await setup.standin.handle(
        Request("POST", "/standin/faults", (), body)
    )
    assert response.status == 200
    with pytest.raises(StoreAnswerLostError):
        await setup.store.transact((), (Put("k", b"v"),))
    assert (await setup.store.get("k")).value == b"v"
    counters = await setup.standin.handle(Request("GET", "/standin/counters"))
    assert msgspec.json.decode(counters.body)["calls"] == {
        "txn": 1,
        "range": 1,
    }


@pytest.mark.parametrize(
    ("status", "error"),
    [(429, StoreUnavailableError), (503, StoreAnswerLostError)],
)
async def test_statuses_are_classified(status, error):
    setup = StoreSetup()

    async def handle(_):
        return Response(status, (), b"{}")

    setup.sender.handlers[ADDRESS] = handle
    with pytest.raises(error):
        await setup.store.get("k")


_FIELDS = [
    "kvs",
    "key",
    "header",
    "revision",
    "result",
    "events",
    "kv",
    "TTL",
    "ID",
    "succeeded",
    "mod_revision",
    "error",
]
_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(_FIELDS),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@given(st.binary(max_size=60) | _json.map(msgspec.json.encode))
def test_malformed_response_raises_a_store_error(content):
    setup = StoreSetup()

    async def handle(_):
        return Response(200, (), content)

    async def make_calls():
        setup.sender.handlers[ADDRESS] = handle
        store = setup.store
        for call in (
            lambda: store.get("k"),
            lambda: store.list("k"),
            lambda: store.transact((), ()),
            lambda: store.grant(1),
            lambda: store.keep_alive(1),
            lambda: anext(store.watch("k", StorePosition(0, 1))),
        ):
            with contextlib.suppress(StoreError):
                await call()

    anyio.run(make_calls)


async def test_calls_that_exceed_the_budget_are_not_sent():
    setup = StoreSetup()
    budget = StoreBudget(calls_per_s=2, burst=3)
    store = BudgetedStore(setup.store, setup.clock, random.Random(1), budget)
    for _ in range(3):
        await store.get("k")
    with pytest.raises(StoreBudgetError):
        await store.get("k")
    setup.clock.advance(0.5)
    await store.get("k")
    assert (store.call_counts, store.refused_count) == ({"get": 4}, 1)
    assert setup.standin.calls == {"range": 4}


async def test_consecutive_failures_start_growing_pauses():
    setup = StoreSetup()
    budget = StoreBudget(pause_after_failures=2, max_pause_s=4.0)
    store = BudgetedStore(setup.store, setup.clock, random.Random(1), budget)
    setup.sender.faults[ADDRESS] = Fault.REFUSED
    for _ in range(200):
        setup.clock.advance(0.05)
        with pytest.raises(StoreUnavailableError):
            await store.get("k")
    assert store.call_counts["get"] < 20
    del setup.sender.faults[ADDRESS]
    setup.clock.advance(4.0)
    await store.get("k")
    await store.get("k")
