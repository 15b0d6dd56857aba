"""A response whose body breaks off never looks whole to the caller."""

import asyncio
import contextlib
import signal
import sys

import anyio
import pytest

from radishwind.http import Address
from radishwind.http import BodyStream
from radishwind.http import ExchangeBrokenError
from radishwind.http import HttpLibrary
from radishwind.http import make_server
from radishwind.http import Response
from radishwind.http import ServerLimits

pytestmark = pytest.mark.anyio

PIECE = b"x" * 1000
LENGTH = (("Content-Length", "100000"),)
FIRST = b"GET /whole HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture
def anyio_backend():
    """Runs on the event loop of the programs."""
    return "asyncio", {"use_uvloop": True}


class Body(BodyStream):
    """Yields pieces, and then fails unless it is whole."""

    def __init__(self, count, is_whole):
        self.count = count
        self.is_whole = is_whole

    async def __aiter__(self):
        for _ in range(self.count):
            yield PIECE
        if not self.is_whole:
            raise ExchangeBrokenError("cut")

    def abort(self):
        pass


async def handle(request):
    """Answers `/FRAMING/COUNT/END`."""
    if request.path == "/whole":
        return Response(200, (), b"whole")
    _, framing, count, end = request.path.split("/")
    body = Body(int(count), end == "whole")
    if framing == "length":
        return Response(200, LENGTH, body, 100_000)
    return Response(200, (), body)


@contextlib.asynccontextmanager
async def listening(library):
    server = make_server(library, ServerLimits(linger_s=0.2))
    address = await server.start(handle, Address("127.0.0.1", 0))
    try:
        yield server, address
    finally:
        await server.close(0.0)


async def read_all(reader):
    """Returns what was received, and whether the connection was reset."""
    got = b""
    try:
        async with asyncio.timeout(20):
            while piece := await reader.read(65536):
                got += piece
    except ConnectionResetError:
        return got, True
    return got, False


def is_whole(raw, was_reset):
    """Returns whether a caller takes `raw` for a whole response."""
    head, sep, body = raw.partition(b"\r\n\r\n")
    if not sep:
        return False
    lowered = head.lower()
    if b"transfer-encoding: chunked" in lowered:
        return body.endswith(b"0\r\n\r\n")
    if b"content-length: " in lowered:
        length = lowered.split(b"content-length: ")[1].split(b"\r\n")[0]
        return len(body) == int(length)
    return not was_reset


@pytest.mark.parametrize("library", list(HttpLibrary))
@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("framing", ["length", "none"])
@pytest.mark.parametrize("count", [0, 3, 90])
@pytest.mark.parametrize("first", [b"", FIRST], ids=["first", "second"])
async def test_broken_body_does_not_look_whole(
    library, version, framing, count, first
):
    path = f"/{framing}/{count}/cut"
    request = f"GET {path} HTTP/{version}\r\nHost: a\r\n\r\n".encode()

    async with listening(library) as (_, address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(first + request)
        got, was_reset = await read_all(reader)
        writer.close()

    response = got.partition(b"whole")[2] if first else got
    failed = response.startswith(b"HTTP/1.1 502")
    assert failed or not is_whole(response, was_reset)


@pytest.mark.parametrize("library", list(HttpLibrary))
async def test_whole_body_without_length_is_sent_whole_to_http_1_0(library):
    async with listening(library) as (_, address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /none/90/whole HTTP/1.0\r\nHost: a\r\n\r\n")
        got, was_reset = await read_all(reader)
        writer.close()

    assert not was_reset
    assert got.partition(b"\r\n\r\n")[2] == 90 * PIECE


@pytest.mark.parametrize(
    "library", [HttpLibrary.HTTPTOOLS, HttpLibrary.AIOHTTP]
)
async def test_body_to_http_1_0_cut_by_the_end_of_the_server_is_reset(library):
    async with listening(library) as (server, address):
        reader, writer = await asyncio.open_connection(*address)
        # Much more than the buffers of the kernel hold.
        writer.write(b"GET /none/30000/whole HTTP/1.0\r\nHost: a\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        await server.close(0.0)
        got, was_reset = await read_all(reader)
        writer.close()

    assert was_reset
    assert len(got) < 30_000 * len(PIECE)


SERVER = """
import asyncio, uvloop
from radishwind.http import Address, make_server, HttpLibrary
from radishwind.http.tests.test_broken_bodies import handle

async def main():
    server = make_server(HttpLibrary("@"))
    address = await server.start(handle, Address("127.0.0.1", 0))
    print(address.port, flush=True)
    await asyncio.Event().wait()

uvloop.run(main())
"""


@pytest.mark.processes
@pytest.mark.parametrize(
    "library", [HttpLibrary.HTTPTOOLS, HttpLibrary.AIOHTTP]
)
async def test_body_to_http_1_0_cut_by_the_death_of_the_process_is_reset(
    library,
):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        SERVER.replace("@", library),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        with anyio.fail_after(30):
            port = int(await process.stdout.readline())
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /none/30000/whole HTTP/1.0\r\nHost: a\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        process.send_signal(signal.SIGKILL)
        got, was_reset = await read_all(reader)
        writer.close()
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()

    assert was_reset
    assert len(got) < 30_000 * len(PIECE)
