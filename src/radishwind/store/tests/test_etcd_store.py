"""The store client against the stand-in, with and without faults."""

import contextlib
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

pytestmark = pytest.mark.anyio
ADDRESS = Address("127.0.0.1", 1)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Bench:
    def __init__(self, timeout_s=2.0):
        self.clock = ManualClock()
        self.standin = StoreStandin(self.clock)
        self.sender = DirectSender()
        self.sender.handlers[ADDRESS] = self.standin.handle
        self.store = EtcdStore(self.sender, ADDRESS, timeout_s)


async def test_only_one_of_two_writers_on_one_base_wins():
    store = Bench().store
    first = await store.transact((Compare("k", 0),), (Put("k", b"1"),))
    second = await store.transact((Compare("k", 0),), (Put("k", b"2"),))
    assert (first.succeeded, second.succeeded) == (True, False)
    assert (await store.get("k")).value == b"1"


async def test_list_reads_every_page():
    bench = Bench()
    for at in range(0, 450, 90):
        puts = tuple(Put(f"p/{i:04d}", b"v") for i in range(at, at + 90))
        await bench.store.transact((), puts)
    entries = await bench.store.list("p/")
    assert [e.key for e in entries] == [f"p/{i:04d}" for i in range(450)]
    assert bench.standin.calls["range"] == 3
    assert len(await bench.store.list("p/", limit=7)) == 7


async def test_the_revision_grows_with_each_change():
    store = Bench().store
    first = await store.revision()
    assert await store.revision() == first
    written = await store.transact((), (Put("k", b"1"),))

    assert first < await store.revision() == written.revision


async def test_keys_on_a_lapsed_lease_are_gone_and_renewal_tells():
    bench = Bench()
    lease = await bench.store.grant(10)
    await bench.store.transact((), (Put("k", b"v", lease),))
    bench.clock.advance(9)
    assert await bench.store.keep_alive(lease) == 10
    bench.clock.advance(11)
    assert await bench.store.get("k") is None
    assert await bench.store.keep_alive(lease) == 0
    await bench.store.revoke(lease)


async def test_watch_tells_past_and_coming_changes_in_order():
    bench = Bench()
    first = await bench.store.transact((), (Put("w/a", b"1"),))
    await bench.store.transact((), (Put("other", b"1"),))
    seen = []
    async for event in bench.store.watch("w/", first.revision):
        seen.append((event.key, event.entry and event.entry.value))
        if len(seen) == 1:
            assert bench.standin.watching == 1
            await bench.store.transact((), (Put("w/b", b"2"),))
            await bench.store.transact((), (Delete("w/a"),))
        if len(seen) == 3:
            break
    assert seen == [("w/a", b"1"), ("w/b", b"2"), ("w/a", None)]
    assert bench.standin.calls["watch"] == 1


async def test_watch_from_compacted_history_says_so():
    bench = Bench()
    for _ in range(40):
        await bench.store.transact((), tuple(Put("w", b"") for _ in range(120)))
    with pytest.raises(StoreCompactedError):
        await anext(bench.store.watch("w", 1))


async def test_watch_ends_when_the_store_goes_down():
    bench = Bench()
    await bench.store.transact((), (Put("w", b""),))
    watch = bench.store.watch("w", 1)
    await anext(watch)
    bench.standin.set_faults(StoreFaults(down="refuse"))
    with pytest.raises(StoreUnavailableError):
        await anext(watch)


@pytest.mark.parametrize(
    ("fault", "error", "took_effect"),
    [
        (Fault.REFUSED, StoreUnavailableError, False),
        (Fault.CUT_BEFORE, StoreAnswerLostError, False),
        (Fault.ANSWER_LOST, StoreAnswerLostError, True),
    ],
)
async def test_a_failure_is_classified(fault, error, took_effect):
    bench = Bench()
    bench.sender.next_faults = [fault]
    with pytest.raises(error):
        await bench.store.transact((), (Put("k", b"v"),))
    assert (await bench.store.get("k") is not None) is took_effect


@pytest.mark.parametrize("down", ["refuse", "hang"])
async def test_a_store_that_is_down_carries_nothing_out(down):
    bench = Bench(timeout_s=0.01)
    bench.standin.set_faults(StoreFaults(down=down))
    with pytest.raises(StoreAnswerLostError):
        await bench.store.transact((), (Put("k", b"v"),))
    bench.standin.set_faults(StoreFaults())
    assert await bench.store.get("k") is None


async def test_faults_are_set_by_request_and_lose_an_answer_of_a_write():
    bench = Bench()
    body = msgspec.json.encode({"lose_answers": 1})
    answer = await bench.standin.handle(
        Request("POST", "/standin/faults", (), body)
    )
    assert answer.status == 200
    with pytest.raises(StoreAnswerLostError):
        await bench.store.transact((), (Put("k", b"v"),))
    assert (await bench.store.get("k")).value == b"v"
    counters = await bench.standin.handle(Request("GET", "/standin/counters"))
    assert msgspec.json.decode(counters.body)["calls"] == {
        "txn": 1,
        "range": 1,
    }


@pytest.mark.parametrize(
    ("status", "error"),
    [(429, StoreUnavailableError), (503, StoreAnswerLostError)],
)
async def test_statuses_are_classified(status, error):
    bench = Bench()

    async def handle(_):
        return Response(status, (), b"{}")

    bench.sender.handlers[ADDRESS] = handle
    with pytest.raises(error):
        await bench.store.get("k")


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
def test_a_malformed_answer_is_an_error_of_the_store(content):
    bench = Bench()

    async def handle(_):
        return Response(200, (), content)

    async def drive():
        bench.sender.handlers[ADDRESS] = handle
        store = bench.store
        for call in (
            lambda: store.get("k"),
            lambda: store.list("k"),
            lambda: store.transact((), ()),
            lambda: store.grant(1),
            lambda: store.keep_alive(1),
            lambda: anext(store.watch("k", 1)),
        ):
            with contextlib.suppress(StoreError):
                await call()

    anyio.run(drive)


async def test_calls_beyond_the_budget_are_not_sent():
    bench = Bench()
    budget = StoreBudget(calls_per_s=2, burst=3)
    store = BudgetedStore(bench.store, bench.clock, random.Random(1), budget)
    for _ in range(3):
        await store.get("k")
    with pytest.raises(StoreBudgetError):
        await store.get("k")
    bench.clock.advance(0.5)
    await store.get("k")
    assert (store.call_counts, store.refused_count) == ({"get": 4}, 1)
    assert bench.standin.calls == {"range": 4}


async def test_failures_in_a_row_start_growing_pauses():
    bench = Bench()
    budget = StoreBudget(pause_after_failures=2, max_pause_s=4.0)
    store = BudgetedStore(bench.store, bench.clock, random.Random(1), budget)
    bench.sender.faults[ADDRESS] = Fault.REFUSED
    for _ in range(200):
        bench.clock.advance(0.05)
        with pytest.raises(StoreUnavailableError):
            await store.get("k")
    assert store.call_counts["get"] < 20
    del bench.sender.faults[ADDRESS]
    bench.clock.advance(4.0)
    await store.get("k")
    await store.get("k")
