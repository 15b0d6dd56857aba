"""A large body is requested by 100 (Continue) only once it is read."""

import contextlib

import anyio
import pytest

from radishwind.http import Address
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http import ServerLimits
from radishwind.http.errors import RequestRejectedError
from radishwind.http.httptools_sender import HttptoolsSender
from radishwind.http.httptools_server import HttptoolsServer
from radishwind.http.types import is_resendable
from radishwind.http.types import read_body

pytestmark = pytest.mark.anyio

SIZE = 100_000
HEAD = (
    b"POST /%s HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n"
    b"Expect: 100-continue\r\n\r\n"
)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Handler:
    """Refuses some requests without reading their body."""

    def __init__(self):
        self.resendable = []

    async def handle(self, request):
        self.resendable.append(is_resendable(request.body))
        if request.path == "/refused":
            return Response(429, (), b"no", 2)
        size = len(await read_body(request.body))
        self.resendable.append(is_resendable(request.body))
        return Response(200, (), str(size).encode())


@contextlib.asynccontextmanager
async def listening():
    handler = Handler()
    server = HttptoolsServer(ServerLimits(linger_s=0.1))
    address = await server.start(handler.handle, Address("127.0.0.1", 0))
    try:
        yield address, handler
    finally:
        await server.close(0.0)


async def test_body_of_a_refused_request_is_not_requested():
    async with (
        listening() as (address, handler),
        await anyio.connect_tcp(*address) as stream,
    ):
        await stream.send(HEAD % b"refused")
        with anyio.fail_after(10):
            answer = await stream.receive()

    assert answer.startswith(b"HTTP/1.1 429")
    assert handler.resendable == [True]


async def test_body_that_is_read_is_requested_first():
    async with (
        listening() as (address, handler),
        await anyio.connect_tcp(*address) as stream,
    ):
        await stream.send(HEAD % b"read")
        with anyio.fail_after(10):
            first = await stream.receive()
            await stream.send(b"x" * SIZE)
            second = await stream.receive()

    assert first == b"HTTP/1.1 100 Continue\r\n\r\n"
    assert second.endswith(b"100000")
    assert handler.resendable == [True, False]


async def test_body_without_expect_field_is_read():
    async with listening() as (address, _):
        sender = HttptoolsSender(1)
        body = b"x" * SIZE
        request = Request("POST", "/read", (), body, SIZE)
        response = await sender.send(address, request, 1.0)
        await sender.close()

    assert response.status == 200


@pytest.mark.parametrize("field", [b"", b"Connection: close\r\n"])
async def test_malformed_chunk_ends_a_streamed_body_at_once(field):
    errors = []

    async def handle(request):
        with pytest.raises(RequestRejectedError) as caught:
            await read_body(request.body)
        errors.append(caught.value)
        raise caught.value

    server = HttptoolsServer(ServerLimits(body_timeout_s=60.0, linger_s=0.1))
    address = await server.start(handle, Address("127.0.0.1", 0))
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
    chunk = b"%x\r\n" % SIZE + b"x" * SIZE + b"\r\n"
    async with await anyio.connect_tcp(*address) as stream:
        await stream.send(head + field + b"\r\n" + chunk + b"no size\r\n")
        with anyio.fail_after(10):
            answer = await stream.receive()
    await server.close(0.0)

    assert answer.startswith(b"HTTP/1.1 400")
    assert len(errors) == 1
