"""A race of two attempts with large responses keeps one of them, unmixed."""

from collections.abc import AsyncIterator
import contextlib

import anyio
import pytest

from radishwind.entry.race import Race
from radishwind.http import Address
from radishwind.http import BodyStream
from radishwind.http import ExchangeBrokenError
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http import ServerLimits
from radishwind.http.httptools_sender import HttptoolsSender
from radishwind.http.httptools_server import HttptoolsServer
from radishwind.outcomes import Done

pytestmark = pytest.mark.anyio

CHUNK_BYTES = 32 * 1024
CHUNKS = 64
SIZE_BYTES = CHUNK_BYTES * CHUNKS
LENGTH = (("Content-Length", str(SIZE_BYTES)),)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class CountedBody(BodyStream):
    """A body that counts the chunks sent and may break off."""

    def __init__(self, fill, max_chunks):
        self.fill = fill
        self.max_chunks = max_chunks
        self.sent = 0
        self.ended = anyio.Event()

    async def __aiter__(self) -> AsyncIterator[bytes]:
        try:
            for _ in range(self.max_chunks):
                self.sent += 1
                yield self.fill * CHUNK_BYTES
            if self.max_chunks < CHUNKS:
                raise ExchangeBrokenError("the server broke off")
        finally:
            self.ended.set()

    def abort(self):
        self.ended.set()


class Node:
    """Responds once `may_answer` is set."""

    def __init__(self, fill, max_chunks=CHUNKS):
        self.body = CountedBody(fill, max_chunks)
        self.may_answer = anyio.Event()
        self.received = anyio.Event()
        self.cancelled = anyio.Event()
        self.server = HttptoolsServer(ServerLimits())

    async def handle(self, request):
        self.received.set()
        try:
            await self.may_answer.wait()
        except BaseException:
            self.cancelled.set()
            raise
        return Response(200, LENGTH, self.body, SIZE_BYTES)


@contextlib.asynccontextmanager
async def racing(first, hedge):
    """Yields the response kept of an attempt at each of two nodes."""
    sender = HttptoolsSender(2)
    race = Race()

    async def attempt(node):
        address = await node.server.start(node.handle, Address("127.0.0.1", 0))
        response = await sender.send(address, Request("GET", "/"), 1.0)
        return Done(response)

    kept = []

    async def run_first():
        kept.append(await race.run_first(lambda: attempt(first)))

    with anyio.fail_after(20):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_first)
            await first.received.wait()
            tasks.start_soon(race.run_hedge, lambda: attempt(hedge))
            await hedge.received.wait()
            hedge.may_answer.set()
        yield kept[0].response
    await sender.close()
    for node in (first, hedge):
        await node.server.close(0.0)


async def read(body, chunks):
    async for chunk in body:
        chunks.append(chunk)


async def test_first_response_head_wins_and_the_other_body_is_not_sent():
    first, hedge = Node(b"a"), Node(b"b")
    async with racing(first, hedge) as response:
        body = b"".join([chunk async for chunk in response.body])
        await first.cancelled.wait()

    assert body == b"b" * SIZE_BYTES
    assert first.body.sent == 0


async def test_truncated_response_is_not_spliced_with_the_other():
    first, hedge = Node(b"a"), Node(b"b", max_chunks=8)
    chunks = []
    async with racing(first, hedge) as response:
        with pytest.raises(ExchangeBrokenError):
            await read(response.body, chunks)

    assert sum(len(chunk) for chunk in chunks) < SIZE_BYTES
    assert set(b"".join(chunks)) <= set(b"b")
