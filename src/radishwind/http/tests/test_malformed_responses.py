"""Servers that reset connections or send unsolicited bytes."""

import asyncio
import socket
import struct

import anyio
import pytest

from radishwind.http.aiohttp_sender import AiohttpSender
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.httptools_sender import HttptoolsSender
from radishwind.http.types import Address
from radishwind.http.types import read_body
from radishwind.http.types import Request

pytestmark = pytest.mark.anyio


@pytest.fixture(params=[HttptoolsSender, AiohttpSender], autouse=True)
def library(request):
    """Runs each test with each library."""
    RawServer.sender_type = request.param


ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: %d\r\n\r\nok"


class RawServer:
    """Responds with scripted bytes; records the methods it received."""

    sender_type = HttptoolsSender

    def __init__(self, script):
        self.script = script
        self.requests = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = Address(host, port)
        self.sender = self.sender_type(4)
        return self

    async def __aexit__(self, *exc):
        await self.sender.close()
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head.split(b" ", 1)[0].decode())
                await self.script(len(self.requests), writer)
                if writer.is_closing():
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def ask(self, method="GET"):
        request = Request(method, "/x", (("Host", "h"),), b"", 0)
        with anyio.fail_after(10):
            return await self.sender.send(self.address, request, 1.0)


def reset(writer):
    """Resets the connection of `writer`."""
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
async def test_request_is_not_resent_when_a_reused_connection_breaks(method):
    async def script(count, writer):
        if count == 1:
            writer.write(ANSWER % count)
            await writer.drain()
            return
        writer.close()

    async with RawServer(script) as server:
        assert (await server.ask(method)).status == 200
        with pytest.raises(ExchangeBrokenError):
            await server.ask(method)
        await anyio.wait_all_tasks_blocked()
        assert server.requests == [method, method]


async def test_response_without_a_length_ends_with_its_connection():
    async def script(count, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nwhole")
        await writer.drain()
        writer.close()

    async with RawServer(script) as server:
        response = await server.ask()
        assert await read_body(response.body) == b"whole"


async def test_response_without_a_length_is_broken_by_a_reset():
    ready = asyncio.Event()

    async def script(count, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\npart")
        await writer.drain()
        await ready.wait()
        reset(writer)

    async with RawServer(script) as server:
        response = await server.ask()
        ready.set()
        with pytest.raises(ExchangeBrokenError):
            with anyio.fail_after(10):
                await read_body(response.body)


async def test_bytes_after_a_response_are_not_the_next_response():
    async def script(count, writer):
        writer.write(ANSWER % count)
        if count == 1:
            writer.write(ANSWER % 99)
        await writer.drain()

    async with RawServer(script) as server:
        await server.ask()
        response = await server.ask()
        assert dict(response.headers)["Id"] == "2"


async def test_unsolicited_bytes_close_the_connection():
    late = asyncio.Event()
    sent = asyncio.Event()

    async def script(count, writer):
        writer.write(ANSWER % count)
        await writer.drain()
        if count == 1:
            await late.wait()
            writer.write(ANSWER % 99)
            await writer.drain()
            sent.set()

    async with RawServer(script) as server:
        await server.ask()
        late.set()
        await sent.wait()
        await anyio.wait_all_tasks_blocked()
        response = await server.ask()
        assert dict(response.headers)["Id"] == "2"
