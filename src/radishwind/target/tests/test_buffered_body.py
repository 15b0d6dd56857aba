"""Large responses use bounded memory and hold no slot for a slow reader."""

from collections.abc import AsyncIterator
import contextlib

import anyio
import pytest

from radishwind.http import Address
from radishwind.http import BodyStream
from radishwind.http import Response
from radishwind.http import ServerLimits
from radishwind.http.httptools_server import HttptoolsServer
from radishwind.http.types import read_body
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
    """Counts the bytes that were read from it."""

    def __init__(self):
        self.read_bytes = 0

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for start in range(0, len(BODY), CHUNK_BYTES):
            chunk = BODY[start : start + CHUNK_BYTES]
            self.read_bytes += len(chunk)
            yield chunk

    def abort(self):
        pass


async def send(budget, source):
    length = (("Content-Length", str(len(BODY))),)
    setup = Setup(Response(200, (*OWN, *length), source, len(BODY)))
    setup.exchange.buffer_budget = budget
    return (await setup.send()).response


async def test_large_response_is_buffered_and_uses_budget_until_read():
    budget, source = BufferBudget(), Source()
    response = await send(budget, source)
    assert response.body.is_fully_buffered
    assert source.read_bytes == budget.used_bytes == len(BODY)

    assert await read_body(response.body) == BODY
    assert budget.used_bytes == 0


async def test_response_beyond_the_budget_is_streamed_on_demand():
    budget, source = BufferBudget(len(BODY) + 10), Source()
    first = await send(budget, source)
    second = await send(budget, second_source := Source())
    assert not second.body.is_fully_buffered
    assert second_source.read_bytes == 0
    assert budget.used_bytes == len(BODY)
    first.body.abort()

    assert budget.used_bytes == 0
    assert (await send(budget, Source())).body.is_fully_buffered


async def test_budget_is_released_once_however_a_response_ends():
    budget = BufferBudget()
    body = BufferedBody(BODY, budget)
    chunks = aiter(body)
    await anext(chunks)
    body.abort()
    await chunks.aclose()
    body.abort()
    del body, chunks
    unread = BufferedBody(BODY, budget)
    assert budget.used_bytes == len(BODY)
    del unread

    assert budget.used_bytes == 0


async def test_stalled_reader_uses_budget_until_it_disconnects():
    budget = BufferBudget()

    async def handle(request):
        length = (("Content-Length", str(64 * len(BODY))),)
        body = BufferedBody(64 * BODY, budget)
        return Response(200, length, body, 64 * len(BODY))

    server = HttptoolsServer(ServerLimits())
    address = await server.start(handle, Address("127.0.0.1", 0))
    async with contextlib.AsyncExitStack() as stack:
        with anyio.fail_after(10):
            stream = await anyio.connect_tcp(*address)
            await stack.enter_async_context(stream)
            await stream.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await stream.receive(100)
            assert budget.used_bytes > 0
            await stream.aclose()
            while budget.used_bytes:  # noqa: ASYNC110
                await anyio.sleep(0.01)
    await server.close(0.0)
