"""Of two attempts at a large answer one is kept, whole or cut, over sockets."""

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

PIECE = 32 * 1024
PIECES = 64
SIZE = PIECE * PIECES
LENGTH = (("Content-Length", str(SIZE)),)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Answer(BodyStream):
    """A body that counts what was sent of it, and may break off."""

    def __init__(self, mark, most):
        self.mark = mark
        self.most = most
        self.sent = 0
        self.ended = anyio.Event()

    async def __aiter__(self) -> AsyncIterator[bytes]:
        try:
            for _ in range(self.most):
                self.sent += 1
                yield self.mark * PIECE
            if self.most < PIECES:
                raise ExchangeBrokenError("the server broke off")
        finally:
            self.ended.set()

    def abort(self):
        self.ended.set()


class Node:
    """Answers once it is told to."""

    def __init__(self, mark, most=PIECES):
        self.body = Answer(mark, most)
        self.may_answer = anyio.Event()
        self.asked = anyio.Event()
        self.left = anyio.Event()
        self.server = HttptoolsServer(ServerLimits())

    async def handle(self, request):
        self.asked.set()
        try:
            await self.may_answer.wait()
        except BaseException:
            self.left.set()
            raise
        return Response(200, LENGTH, self.body, SIZE)


@contextlib.asynccontextmanager
async def racing(first, hedge):
    """Yields the answer kept of an attempt at each of two nodes."""
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
            await first.asked.wait()
            tasks.start_soon(race.run_hedge, lambda: attempt(hedge))
            await hedge.asked.wait()
            hedge.may_answer.set()
        yield kept[0].response
    await sender.close()
    for node in (first, hedge):
        await node.server.close(0.0)


async def read(body, got):
    async for piece in body:
        got.append(piece)


async def test_the_first_head_wins_and_no_body_of_the_other_crosses():
    first, hedge = Node(b"a"), Node(b"b")
    async with racing(first, hedge) as response:
        body = b"".join([piece async for piece in response.body])
        await first.left.wait()

    assert body == b"b" * SIZE
    assert first.body.sent == 0


async def test_an_answer_that_breaks_off_is_not_spliced_with_another():
    first, hedge = Node(b"a"), Node(b"b", most=8)
    got = []
    async with racing(first, hedge) as response:
        with pytest.raises(ExchangeBrokenError):
            await read(response.body, got)

    assert sum(len(piece) for piece in got) < SIZE
    assert set(b"".join(got)) <= set(b"b")
