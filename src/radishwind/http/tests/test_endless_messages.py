"""Messages without end, in each part of the grammar, are bounded in bytes."""

import asyncio
import random

import anyio
import pytest

from radishwind.http import Address
from radishwind.http import make_server
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http.byte_meter import ByteMeter
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.factory import HttpLibrary
from radishwind.http.httptools_sender import HttptoolsSender
from radishwind.http.types import read_body
from radishwind.standins.endless_responses import EndlessPart
from radishwind.standins.endless_responses import generate

pytestmark = pytest.mark.anyio

MAX_BODY_BYTES = 1 << 20

#: Received bytes after which an exchange must have failed (bytes): the body and
#: as much framing, and what one read of the socket brings beyond.
MAX_RECEIVED_BYTES = 2 * MAX_BODY_BYTES + (1 << 20)

SEEDS = range(6)

#: Parts of a response that precede its endless part.
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
FIELDS = (b"A: 1\r\n", b"B: " + b"v" * 900 + b"\r\n", b"C:\r\n")


class CountingMeter(ByteMeter):
    def __init__(self):
        self.received = 0

    def record_sent(self, size):
        pass

    def record_received(self, size):
        self.received += size


def pieces_of(part, rng):
    """Yields a response without end with random parts before, as drawn."""
    for _ in range(rng.randrange(3)):
        yield INFORMATIONAL
    fields = b"".join(rng.choices(FIELDS, k=rng.randrange(4)))
    for piece in generate(part, fields):
        start = 0
        while start < len(piece):
            size = rng.choice((1, 7, 1000, len(piece)))
            yield piece[start : start + size]
            start += size


async def serve_endless(writer, part, seed):
    """Writes until the peer has closed the connection."""
    rng = random.Random(seed)
    try:
        for piece in pieces_of(part, rng):
            writer.write(piece)
            await writer.drain()
            if writer.is_closing():
                return
            await asyncio.sleep(0)
    except ConnectionError:
        return


async def exchange(sender, address):
    """Returns the body of the response to one request."""
    response = await sender.send(address, Request("GET", "/"), 5.0)
    return await read_body(response.body, MAX_BODY_BYTES)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("part", list(EndlessPart))
async def test_response_without_end_fails_within_a_bound_and_is_closed(
    part, seed
):
    closed = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await serve_endless(writer, part, seed)
        closed.set()
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    meter = CountingMeter()
    sender = HttptoolsSender(1, meter=meter)
    async with server:
        with anyio.fail_after(30), pytest.raises(ExchangeBrokenError):
            await exchange(sender, address)
        with anyio.fail_after(30):
            await closed.wait()
        await sender.close()
    assert meter.received < MAX_RECEIVED_BYTES


@pytest.mark.parametrize(
    ("prefix", "unit"),
    [
        (b"0\r\nName: ", b"v"),
        (b"0\r\n", b"Name: v\r\n"),
        (b"", b"0"),
        (b"1;", b"e"),
        (b"", b"1\r\nb\r\n"),
    ],
    ids=["trailer-value", "trailers", "chunk-size", "extension", "tiny-chunks"],
)
async def test_request_framing_without_end_is_refused(prefix, unit):
    async def handle(request):
        await read_body(request.body)
        return Response(200, (), b"", 0)

    server = make_server(HttpLibrary.HTTPTOOLS)
    address = await server.start(handle, Address("127.0.0.1", 0))
    reader, writer = await asyncio.open_connection(*address)
    head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    writer.write(head + prefix)
    sent = 0
    with anyio.fail_after(30):
        try:
            while not reader.at_eof() and sent < MAX_RECEIVED_BYTES:
                writer.write(unit * (4096 // len(unit)))
                sent += 4096
                await writer.drain()
                await asyncio.sleep(0)
                if reader._buffer:
                    break
            answer = await reader.read()
        except ConnectionError:
            answer = bytes(reader._buffer)
    writer.transport.abort()
    await server.close(0.0)
    assert answer.startswith(b"HTTP/1.1 400")
    assert sent < MAX_RECEIVED_BYTES


async def test_body_in_chunks_of_ordinary_size_is_received_whole():
    body = random.Random(1).randbytes(300_000)
    chunks = b"".join(
        b"%x\r\n%s\r\n" % (len(body[at : at + 100]), body[at : at + 100])
        for at in range(0, len(body), 100)
    )

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(chunks + b"0\r\nTrailer: x\r\n\r\n")
        await writer.drain()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    sender = HttptoolsSender(1)
    async with server:
        response = await sender.send(address, Request("GET", "/"), 5.0)
        assert await read_body(response.body, len(body)) == body
        await sender.close()
