"""A request that breaks off at any byte is never passed on as a whole one."""

import asyncio
import contextlib

import anyio
import pytest

from radishwind.http import Address
from radishwind.http import ExchangeBrokenError
from radishwind.http import HttpLibrary
from radishwind.http import make_sender
from radishwind.http import make_server
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http import ServerLimits
from radishwind.http.tests.test_cut_responses import close
from radishwind.http.tests.test_cut_responses import reset
from radishwind.http.types import read_body

pytestmark = [
    pytest.mark.anyio,
    pytest.mark.parametrize("library", list(HttpLibrary)),
]

LIMITS = ServerLimits(linger_s=0.2)
LARGE = b"x" * 70_000
CHUNKS = 70 * (b"3e8\r\n" + b"x" * 1000 + b"\r\n") + b"0\r\n\r\n"
START = b"POST /%d HTTP/1.1\r\nHost: a\r\nX: y\r\n"

REQUESTS = {
    "length": START + b"Content-Length: 12\r\n\r\ntwelve bytes",
    "chunked": START
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"6\r\ntwelve\r\n6;e=x\r\n bytes\r\n0\r\nT: x\r\n\r\n",
    "large": START + b"Content-Length: 70000\r\n\r\n" + LARGE,
    "large-chunked": START + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS,
}


@pytest.fixture
def anyio_backend():
    """Runs on the event loop of the programs."""
    return "asyncio", {"use_uvloop": True}


class Backend:
    """Records the paths of the requests that it receives whole."""

    def __init__(self):
        self.whole = []
        self.open = 0

    async def serve(self, reader, writer):
        self.open += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await self._receive(reader)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                await writer.drain()
        writer.close()
        self.open -= 1

    async def _receive(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        lowered = head.lower()
        if b"chunked" in lowered:
            size = None
            while size != 0:
                line = await reader.readuntil(b"\r\n")
                size = int(line.partition(b";")[0], 16)
                await reader.readexactly(size + 2)
        elif b"content-length: " in lowered:
            length = lowered.split(b"content-length: ")[1].split(b"\r\n")[0]
            await reader.readexactly(int(length))
        self.whole.append(int(head.split(b" ")[1][1:]))


@contextlib.asynccontextmanager
async def passing_on(library):
    """A listener whose handler passes requests on to the backend."""
    backend = Backend()
    listener = await asyncio.start_server(backend.serve, "127.0.0.1", 0)
    upstream = Address(*listener.sockets[0].getsockname()[:2])
    sender = make_sender(library, 64)

    async def handle(request):
        fields = tuple(
            field
            for field in request.headers
            if field[0].lower() not in ("content-length", "transfer-encoding")
        )
        passed = Request(
            request.method,
            request.path,
            fields,
            request.body,
            request.body_bytes,
        )
        try:
            response = await sender.send(upstream, passed, 5.0)
        except ExchangeBrokenError:
            return Response(502, (), b"")
        return Response(200, (), await read_body(response.body))

    server = make_server(library, LIMITS)
    address = await server.start(handle, Address("127.0.0.1", 0))
    try:
        yield address, backend
    finally:
        await server.close(0.0)
        await sender.close()
        listener.close()


async def send(address, raw, end):
    reader, writer = await asyncio.open_connection(*address)
    writer.write(raw)
    with contextlib.suppress(ConnectionError):
        await writer.drain()
        if end is not None:
            end(writer)
            return b""
        got = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return got
    return b""


@pytest.mark.parametrize("end", [close, reset])
@pytest.mark.parametrize("name", REQUESTS)
async def test_request_cut_at_any_byte_is_not_passed_on_whole(
    library, name, end
):
    size = len(REQUESTS[name] % 0)
    sizes = range(size)
    if size > 1000:
        sizes = [*range(90, 120), *range(65_600, 65_640), *sizes[-12:]]

    async with passing_on(library) as (address, backend):
        with anyio.fail_after(60):
            for place in sizes:
                raw = REQUESTS[name] % place
                await send(address, raw[: len(raw) - (size - place)], end)
            whole = await send(address, REQUESTS[name] % 9999, None)
            while backend.open > 1:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    assert whole.startswith(b"HTTP/1.1 200")
    assert backend.whole == [9999]
