"""Pieces of a streamed body arrive without delay, with each library."""

from collections.abc import AsyncIterator

import anyio
import pytest

from radishwind.http import Address
from radishwind.http import BodyStream
from radishwind.http import HttpLibrary
from radishwind.http import make_sender
from radishwind.http import make_server
from radishwind.http import Request
from radishwind.http import Response

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class SlowBody(BodyStream):
    """Yields one piece, and the next once the first has arrived."""

    def __init__(self, arrived: anyio.Event) -> None:
        self._arrived = arrived

    async def __aiter__(self) -> AsyncIterator[bytes]:
        yield b"first\n"
        await self._arrived.wait()
        yield b"second\n"

    def abort(self) -> None:
        """Does nothing."""


@pytest.mark.parametrize("sending", HttpLibrary)
@pytest.mark.parametrize("serving", HttpLibrary)
async def test_small_piece_is_sent_at_once(sending, serving):
    arrived = anyio.Event()

    async def handle(request):
        return Response(200, (), SlowBody(arrived))

    server, sender = make_server(serving), make_sender(sending, 1)
    address = await server.start(handle, Address("127.0.0.1", 0))
    got = b""
    with anyio.fail_after(10):
        response = await sender.send(address, Request("GET", "/"), 1.0)
        async for piece in response.body:
            got += piece
            if b"first\n" in got:
                arrived.set()
    await sender.close()
    await server.close(0.0)
    assert got == b"first\nsecond\n"
