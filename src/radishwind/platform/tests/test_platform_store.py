"""The store client separates "certainly not done" from "unknown"."""

import asyncio
import base64

import anyio
import msgspec
import pytest

from radishwind.experiment.virtual_loop import run_in_virtual_time
from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.sender import Sender
from radishwind.http.types import Address
from radishwind.http.types import BodyStream
from radishwind.http.types import Response
from radishwind.platform import PlatformStore
from radishwind.platform.platform_store import CALL_TIMEOUT_S
from radishwind.store.base import Compare
from radishwind.store.base import Put
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.base import StoreAnswerMalformedError
from radishwind.store.base import StoreCompactedError
from radishwind.store.base import StoreUnavailableError
from radishwind.store.position import StorePosition

pytestmark = pytest.mark.anyio


class ScriptedSender(Sender):
    def __init__(self, *responses):
        self.responses = list(responses)
        self.requests = []

    async def send(self, address, request, connect_timeout_s, check=None):
        self.requests.append(request)
        response = self.responses.pop(0)
        if isinstance(response, Exception):
            raise response
        status, body = response
        return Response(status, (), msgspec.json.encode(body))

    async def close(self):
        pass


def make_store(*responses):
    script = ScriptedSender(*responses)
    return PlatformStore(script, Address("10.0.0.1", 1)), script


def item(key, value=b"v", rev=4):
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "rev": rev, "created-rev": 2, "lease": 9}


async def test_reads_one_key():
    client, _ = make_store((200, {**item("k"), "current-rev": 7}))

    entry = await client.get("k")

    assert (entry.value, entry.mod_revision, entry.lease_id) == (b"v", 4, 9)


async def test_missing_key_is_none():
    client, _ = make_store((404, {}))

    assert await client.get("k") is None


async def test_reads_ranges_page_by_page():
    client, script = make_store(
        (200, {"items": [item("a"), item("b")], "truncated": True}),
        (200, {"items": [item("c")], "truncated": False}),
    )

    assert [e.key for e in await client.list("p/")] == ["a", "b", "c"]
    assert "after=b" in script.requests[1].path


@pytest.mark.parametrize(
    ("response", "error"),
    [
        ((503, {}), StoreUnavailableError),
        ((429, {}), StoreUnavailableError),
        (ConnectFailedError("x"), StoreUnavailableError),
        (ExchangeBrokenError("x"), StoreAnswerLostError),
        (TimeoutError(), StoreAnswerLostError),
        ((410, {}), StoreCompactedError),
        ((200, {"rev": "x"}), StoreAnswerMalformedError),
    ],
)
async def test_failed_calls_raise_by_their_possible_effect(response, error):
    client, _ = make_store(response)

    with pytest.raises(error):
        await client.transact((Compare("k", 0),), (Put("k", b"v"),))


class SilentBody(BodyStream):
    """A body that stops after its first bytes."""

    def __init__(self):
        self.is_aborted = False

    async def __aiter__(self):
        yield b'{"items": ['
        await anyio.sleep_forever()

    def abort(self):
        self.is_aborted = True


def test_answer_whose_body_stops_midway_is_given_up():
    body = SilentBody()

    class Silent(ScriptedSender):
        async def send(self, address, request, connect_timeout_s, check=None):
            return Response(200, (), body)

    async def read():
        client = PlatformStore(Silent(), Address("10.0.0.1", 1))
        with pytest.raises(StoreAnswerLostError):
            await client.list("p/")
        return asyncio.get_running_loop().time()

    assert run_in_virtual_time(read()) == pytest.approx(CALL_TIMEOUT_S)
    assert body.is_aborted


async def test_failed_comparison_is_reported():
    client, _ = make_store((412, {"items": [item("k")]}))

    result = await client.transact((Compare("k", 0),), (Put("k", b"v"),))

    assert not result.succeeded


async def test_expired_lease_has_no_time_left():
    client, _ = make_store((404, {}))

    assert await client.keep_alive(7) == 0


async def test_watch_continues_from_the_last_revision():
    client, script = make_store(
        (200, {"events": [item("k", rev=5)], "current-rev": 6}),
        (200, {"events": [{"key": "k", "rev": 8, "removed": True}],
               "current-rev": 8}),
        (410, {}),
    )  # fmt: skip
    events = []

    async def follow():
        async for event in client.watch("k", StorePosition(0, 5)):
            events.append((event.key, event.entry is not None, event.revision))

    with pytest.raises(StoreCompactedError):
        await follow()

    assert events == [("k", True, 5), ("k", False, 8)]
    assert "after=4" in script.requests[0].path
    assert "after=6" in script.requests[1].path


async def test_skips_and_reports_malformed_items():
    malformed = [
        {"key": "b", "value": 7, "rev": 4},
        {"key": "c", "value": "not base64!", "rev": 4},
        {"value": "", "rev": "x"},
        "no item",
        None,
    ]
    page = {"items": [item("a"), *malformed, item("d")], "truncated": False}
    reasons = []
    client = PlatformStore(
        ScriptedSender((200, page)), Address("10.0.0.1", 1), reasons.append
    )

    entries = await client.list("x/")

    assert [entry.key for entry in entries] == ["a", "d"]
    assert len(reasons) == len(malformed)
    assert "'c'" in reasons[1]


async def test_continues_after_a_page_that_ends_with_a_malformed_item():
    bad = {"key": "b", "value": 7, "rev": 4}
    first = {"items": [item("a"), bad], "truncated": True}
    client, script = make_store(
        (200, first), (200, {"items": [item("c")], "truncated": False})
    )

    entries = await client.list("x/")

    assert [entry.key for entry in entries] == ["a", "c"]
    assert "after=b" in script.requests[1].path


async def test_watch_skips_malformed_events():
    page = {
        "events": [{"key": "a", "rev": "?"}, item("b", rev=6)],
        "current-rev": 6,
    }
    client, _ = make_store((200, page))

    async for event in client.watch("x/", StorePosition(0, 1)):
        assert (event.key, event.revision) == ("b", 6)
        break


async def test_entry_has_the_revision_of_the_store():
    client, _ = make_store((200, {**item("k", rev=4), "current-rev": 70}))

    entry = await client.get("k")

    assert (entry.mod_revision, entry.store_revision) == (4, 70)


async def test_only_reads_that_accept_stale_state_request_it():
    client, script = make_store((404, {}), (404, {}), (200, {"items": []}))

    await client.get("k")
    await client.get("k", allow_stale=True)
    await client.list("p/", allow_stale=True)

    stale = ["allow-stale=1" in request.path for request in script.requests]
    assert stale == [False, True, True]


async def test_reads_the_revision_without_values():
    client, script = make_store(
        (200, {"items": [], "truncated": False, "current-rev": 530})
    )

    assert await client.position() == StorePosition(0, 530)
    assert script.requests[0].path == (
        "/-/kv-range?prefix=op%2Fconfig&after=op%2Fconfig"
    )


@pytest.mark.parametrize(
    ("response", "error"),
    [
        ((503, {}), StoreUnavailableError),
        ((429, {}), StoreUnavailableError),
        ((200, {}), StoreAnswerMalformedError),
        ((200, {"current-rev": 0}), StoreAnswerMalformedError),
        (ExchangeBrokenError("cut"), StoreAnswerLostError),
    ],
)
async def test_missing_revision_is_an_error(response, error):
    client, _ = make_store(response)

    with pytest.raises(error):
        await client.position()
