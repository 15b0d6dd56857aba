"""An answer of the store that breaks off at any byte is never taken for one."""

import base64

import msgspec
import pytest
from tests.support.cutting_server import CuttingServer
from tests.support.cutting_server import encode

from radishwind.http.httptools_sender import HttptoolsSender
from radishwind.platform import PlatformStore
from radishwind.store.base import Compare
from radishwind.store.base import Put
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.position import StorePosition

pytestmark = pytest.mark.anyio

ERA = b"Store-Era: 3\r\n"
ITEM = {
    "key": "k",
    "value": base64.b64encode(b"v").decode(),
    "rev": 4,
    "created-rev": 2,
    "current-rev": 9,
}
PAGE = {"items": [ITEM], "truncated": False, "current-rev": 9}


async def watch_once(store):
    async for event in store.watch("k", StorePosition(3, 1)):
        return event
    return None


#: Calls with the answer to each, by name.
CALLS = {
    "get": (ITEM, lambda store: store.get("k")),
    "list": (PAGE, lambda store: store.list("k")),
    "empty-list": ({"items": [], "current-rev": 9}, lambda s: s.list("k")),
    "position": ({"current-rev": 9}, lambda store: store.position()),
    "transact": (
        {"rev": 5},
        lambda store: store.transact((Compare("k", 4),), (Put("k", b"w"),)),
    ),
    "grant": ({"lease": 7, "ttl-ms": 1000}, lambda store: store.grant(1)),
    "keep-alive": ({"ttl-ms": 1000}, lambda store: store.keep_alive(7)),
    "watch": ({"events": [ITEM], "current-rev": 9}, watch_once),
}


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("name", CALLS)
async def test_cut_answer_of_the_store_leaves_the_outcome_open(
    name, is_chunked
):
    answer, call = CALLS[name]
    raw = encode(ERA, msgspec.json.encode(answer), is_chunked=is_chunked)
    sender = HttptoolsSender(1)
    async with CuttingServer(raw) as server:
        store = PlatformStore(sender, server.address)
        assert await call(store) is not None
        for _ in server.cuts():
            with pytest.raises(StoreAnswerLostError):
                await call(store)
        await sender.close()


@pytest.mark.parametrize("status", [b"404 None", b"412 Not equal"])
async def test_cut_refusal_of_the_store_leaves_the_outcome_open(status):
    raw = encode(ERA, b'{"reason":"x"}').replace(b"200 OK", status)
    sender = HttptoolsSender(1)
    async with CuttingServer(raw) as server:
        store = PlatformStore(sender, server.address)
        for _ in server.cuts():
            with pytest.raises(StoreAnswerLostError):
                await store.get("k")
            with pytest.raises(StoreAnswerLostError):
                await store.transact((), (Put("k", b"w"),))
        await sender.close()
