"""Senders never resend a request or reuse a connection in doubt."""

import contextlib

import anyio
import pytest

from radishwind.http import Address
from radishwind.http import ConnectFailedError
from radishwind.http import ExchangeBrokenError
from radishwind.http import HttpLibrary
from radishwind.http import make_sender
from radishwind.http import make_server
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http.types import abort_body
from radishwind.http.types import read_body

pytestmark = [
    pytest.mark.anyio,
    pytest.mark.parametrize("library", list(HttpLibrary)),
]

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class RawServer:
    """Responds with scripted bytes; counts requests and connections."""

    def __init__(self, script):
        self.script = script
        self.requests = []
        self.connections = 0

    async def serve(self, stream):
        self.connections += 1
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while True:
                    self.requests.append(await stream.receive())
                    answer = self.script.pop(0)
                    if answer is None:
                        return
                    await stream.send(answer)


@contextlib.asynccontextmanager
async def raw_server(script):
    server = RawServer(script)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, server.serve)
        yield server, Address("127.0.0.1", port)
        tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def sending(library):
    sender = make_sender(library, 4)
    try:
        yield sender
    finally:
        await sender.close()


async def send_and_read(sender, address):
    response = await sender.send(address, Request("GET", "/"), 1.0)
    return await read_body(response.body)


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
async def test_request_is_not_resent_when_a_reused_connection_breaks(
    library, method
):
    async with (
        raw_server([OK, None, OK]) as (server, address),
        sending(library) as sender,
    ):
        request = Request(method, "/booking", (("Host", "a"),))
        await sender.send(address, request, 1.0)

        with pytest.raises(ExchangeBrokenError):
            await sender.send(address, request, 1.0)

        assert len(server.requests) == 2


async def test_failed_connect_is_distinct_from_a_broken_exchange(library):
    async with raw_server([]) as (_, address):
        pass
    async with sending(library) as sender:
        with pytest.raises(ConnectFailedError):
            await sender.send(address, Request("POST", "/"), 1.0)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        b"HTTP/1.1 20",
        b"not http at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
    ],
)
async def test_partial_or_malformed_response_breaks_the_exchange(
    library, answer
):
    class Cut(RawServer):
        async def serve(self, stream):
            async with stream:
                await stream.receive()
                await stream.send(answer)

    cut = Cut([])
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, cut.serve)
        async with sending(library) as sender:
            with pytest.raises(ExchangeBrokenError):
                await send_and_read(sender, Address("127.0.0.1", port))
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("start", [b"", b"HTTP/1.1 2", OK[:30], OK[:-1]])
async def test_connection_of_a_cancelled_exchange_is_not_reused(library, start):
    async with (
        raw_server([start, OK]) as (server, address),
        sending(library) as sender,
    ):
        with anyio.move_on_after(0.2):
            await sender.send(address, Request("GET", "/late"), 1.0)

        response = await sender.send(address, Request("GET", "/next"), 1.0)

        assert await read_body(response.body) == b"ok"
        assert server.connections == 2


async def test_connection_of_an_aborted_response_is_not_reused(library):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"
    async with (
        raw_server([head + b"x" * 70_000, OK]) as (server, address),
        sending(library) as sender,
    ):
        response = await sender.send(address, Request("GET", "/long"), 1.0)
        abort_body(response.body)

        response = await sender.send(address, Request("GET", "/next"), 1.0)

        assert await read_body(response.body) == b"ok"
        assert server.connections == 2


@pytest.mark.parametrize("length", [0, 10, 100_000])
async def test_response_to_head_has_a_length_and_no_body(library, length):
    async def handle(request):
        fields = (("Content-Length", str(length)),)
        return Response(200, fields, b"", length)

    server = make_server(library)
    address = await server.start(handle, Address("127.0.0.1", 0))
    async with sending(library) as sender:
        for _ in range(2):
            response = await sender.send(address, Request("HEAD", "/"), 1.0)
            assert await read_body(response.body) == b""
            fields = {k.lower(): v for k, v in response.headers}
            assert fields["content-length"] == str(length)
    await server.close(0.0)
