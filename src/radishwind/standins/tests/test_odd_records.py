import base64
import json
import random

from aiohttp.test_utils import TestClient
from aiohttp.test_utils import TestServer
import anyio
import msgspec
import pytest

from radishwind.core import ManualClock
from radishwind.core.clock import SystemClock
from radishwind.http.types import BodyStream
from radishwind.http.types import Request
from radishwind.standins.odd_answers import OddAnswer
from radishwind.standins.odd_entries import make_etcd_entries
from radishwind.standins.odd_entries import make_platform_entries
from radishwind.standins.odd_messages import make_odd_datagrams
from radishwind.standins.odd_records import make_odd_documents
from radishwind.standins.odd_records import make_odd_heartbeats
from radishwind.standins.odd_records import make_odd_settings
from radishwind.standins.odd_records import nested_arrays
from radishwind.standins.odd_records import with_unknown_field
from radishwind.standins.platform_store import PlatformStoreStandin
from radishwind.standins.store import COUNTERS_PATH
from radishwind.standins.store import ODD_ENTRY_PATH
from radishwind.standins.store import StoreFaults
from radishwind.standins.store import StoreStandin
from radishwind.standins.store_faults import StoreFaults as PlatformFaults

pytestmark = pytest.mark.anyio

GOOD = {"service": "s", "address": "127.0.0.1:9", "slots": 3, "seq": 4}

#: The maximum payload of a datagram (bytes).
MAX_DATAGRAM_BYTES = 65_507


def test_odd_documents_differ_and_depend_on_the_seed_only():
    documents = make_odd_documents(random.Random(1), GOOD)

    assert documents == make_odd_documents(random.Random(1), GOOD)
    assert len({d.name for d in documents}) == len(documents)
    assert json.dumps(GOOD).encode() not in {d.data for d in documents}


def test_unknown_field_leaves_the_rest_of_an_object_as_it_was():
    data = with_unknown_field(json.dumps(GOOD).encode(), nested_arrays(3))

    assert json.loads(data) == {"unknown": [[[]]], **GOOD}
    assert json.loads(with_unknown_field(b"{}", b"1")) == {"unknown": 1}


@pytest.mark.parametrize(
    "entries",
    [
        make_platform_entries(random.Random(2), ["a"], ["s"], 1),
        make_etcd_entries(random.Random(2), ["a"], {"/k": {"x": 1}}, 1),
    ],
    ids=["platform", "etcd"],
)
def test_entries_differ_and_have_keys_that_a_store_accepts(entries):
    assert len({(e.key, e.value) for e in entries}) == len(entries)
    for entry in entries:
        assert len(entry.key.encode(errors="surrogatepass")) <= 200


def test_odd_datagrams_fit_a_datagram():
    datagrams = make_odd_datagrams(random.Random(3), "s", "a")

    assert max(len(d.data) for d in datagrams) <= MAX_DATAGRAM_BYTES


def test_heartbeats_that_may_be_accepted_are_marked_as_sound():
    heartbeats = make_odd_heartbeats(random.Random(4), GOOD)
    sound = {h.name for h in heartbeats if h.is_sound}

    assert "unknown-1000" in sound
    assert "service-long-text" in sound
    assert sound.isdisjoint({"port-0", "seq-number-400", "slots-null", "empty"})


def test_odd_settings_differ_from_the_good_ones():
    good = b'node = "a-1"\nport-range = [1, 2]\n'
    settings = make_odd_settings(random.Random(5), good)

    assert len({s.data for s in settings} | {good}) == len(settings) + 1


async def test_platform_store_counts_reads_of_odd_entries_by_node():
    store = PlatformStoreStandin(SystemClock())
    store.put("p/good", b"1")
    store.put_odd("p/odd", b"[[", "nested")
    async with TestClient(TestServer(store.make_application())) as client:
        for _ in range(2):
            await client.get("/-/kv-range", params={"prefix": "p/"})
        await client.get("/-/kv-key", params={"key": "p/good"})
        # An entry that a node has replaced is no longer odd.
        store.put("p/odd", b"1")
        await client.get("/-/kv-range", params={"prefix": "p/"})

    assert store.injected_count("odd record nested") == 2
    kinds = {kind: len(at) for (_, kind), at in store.call_times.items()}
    assert kinds == {"kv-range": 3, "kv-key": 1}


@pytest.mark.parametrize("oddity", list(OddAnswer))
async def test_platform_store_answers_oddly_until_the_fault_ends(oddity):
    store = PlatformStoreStandin(SystemClock())
    store.put("p/a", b"1")
    async with TestClient(TestServer(store.make_application())) as client:
        params = {"prefix": "p/"}
        good = await client.get("/-/kv-range", params=params)
        plain = (good.headers["Store-Era"], await good.read())
        store.faults = PlatformFaults(odd_answer=oddity)
        odd = await client.get("/-/kv-range", params=params)
        assert (odd.headers["Store-Era"], await odd.read()) != plain
        store.faults = PlatformFaults()
        again = await client.get("/-/kv-range", params=params)
        assert (again.headers["Store-Era"], await again.read()) == plain

    assert store.injected_count("odd answer") == 1


class Body(BodyStream):
    def __init__(self, content):
        self._content = content

    async def __aiter__(self):
        yield self._content

    def abort(self):
        pass


async def call(store, path, **message):
    body = msgspec.json.encode(message)
    response = await store.handle(Request("POST", path, (), Body(body)))
    assert response.status == 200
    return response.body


async def read_counters(store):
    return msgspec.json.decode(await call(store, COUNTERS_PATH))


def encode(text):
    return base64.b64encode(text.encode()).decode()


async def test_etcd_store_counts_reads_of_odd_entries():
    store = StoreStandin(ManualClock())
    entry = {"oddity": "nested", "key": encode("/k"), "value": encode("[[")}
    await call(store, ODD_ENTRY_PATH, **entry)
    body = await call(store, "/v3/kv/range", key=encode("/k"))

    assert msgspec.json.decode(body)["kvs"][0]["value"] == encode("[[")
    assert (await read_counters(store))["odd_reads"] == {"nested": 1}


async def test_etcd_store_gives_the_odd_answer_and_message_of_a_watch():
    store = StoreStandin(ManualClock())
    store.set_faults(StoreFaults(odd_answer="[["))

    assert await call(store, "/v3/kv/range", key=encode("/k")) == b"[["
    lines = store.watch_lines(b"/", b"0", 1)
    assert b"created" in await anext(lines)
    with anyio.fail_after(5):
        assert await anext(lines) == b"[[\n"
    await lines.aclose()
    assert (await read_counters(store))["odd_answers"] == 2
