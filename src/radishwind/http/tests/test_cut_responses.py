"""A response that breaks off at any byte is never taken for a whole one."""

import asyncio
import contextlib
import dataclasses
import socket
import struct

import anyio
import pytest

from radishwind.http import Address
from radishwind.http import ExchangeBrokenError
from radishwind.http import HttpLibrary
from radishwind.http import make_sender
from radishwind.http import Request
from radishwind.http.types import read_body

pytestmark = [
    pytest.mark.anyio,
    pytest.mark.parametrize("library", list(HttpLibrary)),
]

#: Fields that the node beside a backend server adds to its response.
ANSWER = b'Radishwind-Node-Answer: ["c.1","done",0,"",null,[1,2,0.5]]\r\n'

SMALL = b"Content-Length: 12\r\nX: y\r\n\r\ntwelve bytes"
CHUNKED = (
    b"Transfer-Encoding: chunked\r\n\r\n"
    b"6\r\ntwelve\r\n6;e=x\r\n bytes\r\n0\r\nT: x\r\n\r\n"
)
BODY = b"twelve bytes"
EARLY = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
LARGE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A whole response.

    Attributes:
      raw: its bytes.
      body: its body.
      method: of the request that it answers.
      ends_with_connection: whether the end of the connection delimits the body.
    """

    raw: bytes
    body: bytes
    method: str = "GET"
    ends_with_connection: bool = False


MESSAGES = {
    "length": Message(b"HTTP/1.1 200 OK\r\n" + ANSWER + SMALL, BODY),
    "chunked": Message(b"HTTP/1.1 200 OK\r\n" + ANSWER + CHUNKED, BODY),
    "until-close": Message(
        b"HTTP/1.1 200 OK\r\n" + ANSWER + b"\r\n" + BODY, BODY, "GET", True
    ),
    "http-1.0": Message(
        b"HTTP/1.0 200 OK\r\nA:\r\nB: c\r\n\r\n" + BODY, BODY, "GET", True
    ),
    "no-reason": Message(b"HTTP/1.1 200\r\n" + SMALL, BODY),
    "early-hints": Message(EARLY + b"HTTP/1.1 200 OK\r\n" + SMALL, BODY),
    "no-content": Message(b"HTTP/1.1 204 No Content\r\nA: b\r\n\r\n", b""),
    "not-modified": Message(
        b"HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n\r\n", b""
    ),
    "empty": Message(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b""),
    "to-head": Message(
        b"HTTP/1.1 200 OK\r\nContent-Length: 1234\r\nA: b\r\n\r\n", b"", "HEAD"
    ),
}

#: Whole responses that are streamed, and where to cut them.
LARGE = {
    "length": Message(LARGE_HEAD + b"x" * 70_000, b"x" * 70_000),
    "chunked": Message(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + 70 * (b"3e8\r\n" + b"x" * 1000 + b"\r\n")
        + b"0\r\n\r\n",
        b"x" * 70_000,
    ),
}


@pytest.fixture
def anyio_backend():
    """Runs on the event loop of the programs."""
    return "asyncio", {"use_uvloop": True}


def reset(writer):
    """Resets the connection of `writer`."""
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def close(writer):
    writer.close()


class CuttingServer:
    """Answers `/FIRST/SIZE` by the first SIZE bytes of a response.

    The path `/whole` is answered whole, by a connection that is kept.
    """

    def __init__(self, raw, end, whole=b""):
        self.raw = raw
        self.end = end
        self.whole = whole
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1]
                if path == b"/whole":
                    writer.write(self.whole)
                    await writer.drain()
                    continue
                writer.write(self.raw[: int(path[1:])])
                await writer.drain()
                self.end(writer)
                return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@contextlib.asynccontextmanager
async def serving(server, library, connections=8):
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    address = Address(*listener.sockets[0].getsockname()[:2])
    sender = make_sender(library, connections)
    try:
        async with listener:
            yield sender, address
    finally:
        await sender.close()


async def ask(sender, address, path, method="GET"):
    """Returns the body; `None` if the exchange is reported as broken."""
    request = Request(method, path, (("Host", "h"),))
    try:
        with anyio.fail_after(20):
            response = await sender.send(address, request, 5.0)
            return await read_body(response.body)
    except ExchangeBrokenError:
        return None


async def cut_at(library, message, end, sizes):
    """Returns what a caller got of each beginning of `message`."""
    server = CuttingServer(message.raw, end)
    got = {}
    async with serving(server, library) as (sender, address):

        async def take(share):
            for size in share:
                got[size] = await ask(
                    sender, address, f"/{size}", message.method
                )

        async with asyncio.TaskGroup() as tasks:
            for first in range(8):
                tasks.create_task(take(sizes[first::8]))
    return got


def expected(message, end, size):
    """Returns the body of the first `size` bytes; `None` if they are cut."""
    head_end = message.raw.rindex(b"\r\n\r\n") + 4
    if message.ends_with_connection and size >= head_end:
        return message.raw[head_end:size] if end is close else None
    return message.body if size == len(message.raw) else None


@pytest.mark.parametrize("end", [close, reset])
@pytest.mark.parametrize("name", MESSAGES)
async def test_response_cut_at_any_byte_breaks_the_exchange(library, name, end):
    message = MESSAGES[name]
    sizes = range(len(message.raw) + (end is close))

    got = await cut_at(library, message, end, sizes)

    assert got == {size: expected(message, end, size) for size in sizes}


@pytest.mark.parametrize("name", MESSAGES)
async def test_response_that_arrives_in_two_parts_is_read_whole(library, name):
    message = MESSAGES[name]

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        place = int(head.split(b" ", 2)[1][1:])
        writer.write(message.raw[:place])
        await writer.drain()
        # The sender reads the first part before the second is sent.
        await asyncio.sleep(0.01)
        writer.write(message.raw[place:])
        writer.close()

    server = CuttingServer(message.raw, close)
    server.serve = serve
    async with (
        serving(server, library, 512) as (sender, address),
        asyncio.TaskGroup() as tasks,
    ):
        asked = [
            tasks.create_task(ask(sender, address, f"/{place}", message.method))
            for place in range(1, len(message.raw))
        ]
    assert {task.result() for task in asked} == {message.body}


@pytest.mark.parametrize("end", [close, reset])
@pytest.mark.parametrize("name", LARGE)
async def test_large_response_cut_anywhere_breaks_the_exchange(
    library, name, end
):
    message = LARGE[name]
    whole = len(message.raw)
    near = len(LARGE_HEAD) + 65_536
    sizes = [*range(near - 4, near + 4), *range(whole - 12, whole)]

    got = await cut_at(library, message, end, sizes)

    assert got == dict.fromkeys(sizes)


@pytest.mark.parametrize("end", [close, reset])
@pytest.mark.parametrize("name", ["length", "chunked", "to-head"])
async def test_second_response_of_a_connection_cut_at_any_byte_breaks(
    library, name, end
):
    message = MESSAGES[name]
    sizes = range(len(message.raw))
    whole = MESSAGES["length"].raw
    server = CuttingServer(message.raw, end, whole)
    got = {}

    async with serving(server, library, 1) as (sender, address):
        for size in sizes:
            assert await ask(sender, address, "/whole") == BODY
            got[size] = await ask(sender, address, f"/{size}", message.method)

    assert got == dict.fromkeys(sizes)
    # Each second request was sent on the connection of the first.
    assert server.connections == len(sizes)
