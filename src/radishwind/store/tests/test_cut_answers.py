"""An answer of etcd that breaks off at any byte is never taken for one."""

import base64

import msgspec
import pytest
from tests.support.cutting_server import CuttingServer
from tests.support.cutting_server import encode

from radishwind.http import HttpLibrary
from radishwind.http import make_sender
from radishwind.store import Compare
from radishwind.store import EtcdStore
from radishwind.store import Put
from radishwind.store import StoreAnswerLostError
from radishwind.store import StoreUnavailableError
from radishwind.store.position import StorePosition

pytestmark = [
    pytest.mark.anyio,
    pytest.mark.parametrize("library", list(HttpLibrary)),
]

KEY = base64.b64encode(b"k").decode()
ENTRY = {"key": KEY, "value": KEY, "create_revision": "2", "mod_revision": "4"}
HEADER = {"revision": "9"}

CALLS = {
    "list": ({"header": HEADER, "kvs": [ENTRY]}, lambda s: s.list("k")),
    "empty-list": ({"header": HEADER}, lambda store: store.list("k")),
    "transact": (
        {"header": HEADER, "succeeded": True},
        lambda store: store.transact((Compare("k", 4),), (Put("k", b"w"),)),
    ),
    "keep-alive": ({"result": {"TTL": "9"}}, lambda s: s.keep_alive(7)),
}


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("name", CALLS)
async def test_cut_answer_leaves_the_outcome_open(library, name, is_chunked):
    answer, call = CALLS[name]
    raw = encode(b"", msgspec.json.encode(answer), is_chunked=is_chunked)
    sender = make_sender(library, 1)
    async with CuttingServer(raw) as server:
        store = EtcdStore(sender, server.address, timeout_s=10.0)
        assert await call(store) is not None
        for _ in server.cuts():
            with pytest.raises(StoreAnswerLostError):
                await call(store)
        await sender.close()


async def collect(watch, events):
    async for event in watch:
        events.append(event)


async def test_cut_watch_yields_only_whole_events_and_ends_in_error(library):
    event = {"result": {"header": HEADER, "events": [{"kv": ENTRY}]}}
    line = msgspec.json.encode(event) + b"\n"
    raw = encode(b"", line + line, is_chunked=True)
    sender = make_sender(library, 1)
    async with CuttingServer(raw) as server:
        store = EtcdStore(sender, server.address, timeout_s=10.0)
        for _ in server.cuts():
            events = []
            with pytest.raises(StoreUnavailableError):
                await collect(store.watch("k", StorePosition(0, 1)), events)
            assert len(events) <= raw[: server.size].count(line)
            assert all(event.entry.value == b"k" for event in events)
        await sender.close()
