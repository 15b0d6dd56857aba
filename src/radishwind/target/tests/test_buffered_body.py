"""Large answers take bounded memory, and no slot for a slow reader."""

from collections.abc import AsyncIterator
import contextlib

import anyio
import pytest

from radishwind.http import Address
from radishwind.http import BodyStream
from radishwind.http import Response
from radishwind.http import ServerLimits
from radishwind.http.httptools_server import HttptoolsServer
from radishwind.http.types import whole_body
from radishwind.target.buffered_body import BufferBudget
from radishwind.target.buffered_body import BufferedBody
from radishwind.target.buffered_body import CHUNK_BYTES
from radishwind.target.tests.test_verifying_exchange import OWN
from radishwind.target.tests.test_verifying_exchange import Setup

pytestmark = pytest.mark.anyio

BODY = bytes(range(256)) * 1200


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Source(BodyStream):
    """Counts what was asked of it."""

    def __init__(self):
        self.read = 0

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for start in range(0, len(BODY), CHUNK_BYTES):
            piece = BODY[start : start + CHUNK_BYTES]
            self.read += len(piece)
            yield piece

    def abort(self):
        pass


async def answer(room, source):
    length = (("Content-Length", str(len(BODY))),)
    setup = Setup(Response(200, (*OWN, *length), source, len(BODY)))
    setup.exchange.buffer_budget = room
    return (await setup.send()).response


async def test_a_large_answer_is_whole_and_takes_room_until_it_is_read():
    room, source = BufferBudget(), Source()
    response = await answer(room, source)
    assert response.body.is_whole
    assert source.read == room.used_bytes == len(BODY)

    assert await whole_body(response.body) == BODY
    assert room.used_bytes == 0


async def test_beyond_the_room_an_answer_is_read_as_its_reader_reads():
    room, source = BufferBudget(len(BODY) + 10), Source()
    first = await answer(room, source)
    second = await answer(room, late := Source())
    assert not second.body.is_whole
    assert late.read == 0
    assert room.used_bytes == len(BODY)
    first.body.abort()

    assert room.used_bytes == 0
    assert (await answer(room, Source())).body.is_whole


async def test_room_comes_back_once_however_an_answer_ends():
    room = BufferBudget()
    body = BufferedBody(BODY, room)
    pieces = aiter(body)
    await anext(pieces)
    body.abort()
    await pieces.aclose()
    body.abort()
    del body, pieces
    unread = BufferedBody(BODY, room)
    assert room.used_bytes == len(BODY)
    del unread

    assert room.used_bytes == 0


async def test_a_reader_that_stops_holds_what_is_left_until_it_leaves():
    room = BufferBudget()

    async def handle(request):
        length = (("Content-Length", str(64 * len(BODY))),)
        body = BufferedBody(64 * BODY, room)
        return Response(200, length, body, 64 * len(BODY))

    server = HttptoolsServer(ServerLimits())
    address = await server.start(handle, Address("127.0.0.1", 0))
    async with contextlib.AsyncExitStack() as stack:
        with anyio.fail_after(10):
            stream = await anyio.connect_tcp(*address)
            await stack.enter_async_context(stream)
            await stream.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await stream.receive(100)
            assert room.used_bytes > 0
            await stream.aclose()
            while room.used_bytes:  # noqa: ASYNC110
                await anyio.sleep(0.01)
    await server.close(0.0)
