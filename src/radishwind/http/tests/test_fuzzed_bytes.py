"""Any bytes end an exchange in order: a value or a typed error, no leftovers.

A seeded generator changes valid messages, cuts them, and repeats parts of them.
What a parser accepts is compared with h11, which reads the same bytes.
"""

import asyncio
import random

import h11
import pytest

from radishwind.http import ExchangeBrokenError
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http import ServerLimits
from radishwind.http.client_connection import ClientConnection
from radishwind.http.server_connection import ServerConnection
from radishwind.http.tests.test_cut_responses import MESSAGES
from radishwind.http.tests.test_differential import Transport
from radishwind.http.tests.test_odd_responses import REJECTED
from radishwind.http.tests.test_odd_responses import TOLERATED
from radishwind.http.types import read_body

ROUNDS = 2500
SEEDS = range(4)

RESPONSES = [
    *(6 * [message.raw for message in MESSAGES.values()]),
    *REJECTED.values(),
    *TOLERATED.values(),
]
REQUESTS = [
    b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n",
    b"POST /b?c=d HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
    b"POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5;x=y\r\nhello\r\n3\r\nabc\r\n0\r\nT: a\r\n\r\n",
    b"PUT /b HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
    b"Content-Length: 2\r\nConnection: close\r\n\r\nok",
    b"GET /c HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    b"GET /d HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\n"
    b"Upgrade: h2c\r\n\r\n",
]
PARTS = (
    b"\r\n",
    b"\n",
    b"\x00",
    b"\xff",
    b"\xc3\xa9",
    b":",
    b" ",
    b"\t",
    b",",
    b";",
    b"0",
    b"9" * 20,
    b"chunked",
    b"Content-Length: 3\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Connection: close\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"0\r\n\r\n",
)


def mutate(raw, rng):
    """Returns `raw` with one to three changes."""
    out = bytearray(raw)
    for _ in range(rng.randint(1, 3)):
        start = rng.randrange(len(out) + 1)
        end = min(len(out), start + rng.randrange(12))
        kind = rng.randrange(6)
        if kind == 0:
            del out[start:end]
        elif kind == 1:
            out[start:start] = out[start:end]
        elif kind == 2:
            out[start:start] = rng.choice(PARTS)
        elif kind == 3:
            out[start:end] = rng.choice(PARTS)
        elif kind == 4 and out:
            out[start % len(out)] = rng.randrange(256)
        else:
            del out[start:]
    return bytes(out)


def split(raw, rng):
    """Yields `raw` in pieces."""
    start = 0
    while start < len(raw):
        size = rng.choice((1, 3, 20, len(raw)))
        yield raw[start : start + size]
        start += size


async def settle():
    for _ in range(4):
        await asyncio.sleep(0)


class Faults:
    """Collects what reaches the event loop's handler of exceptions."""

    def __init__(self):
        self.seen = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: self.seen.append(context))


class Client:
    """An exchange on a connection that receives given bytes."""

    def __init__(self, method):
        self.released = []
        self.transport = Transport()
        self.conn = ClientConnection(self.released.append)
        self.conn.connection_made(self.transport)
        request = Request(method, "/", (("Host", "h"),))
        self.task = asyncio.create_task(self._exchange(request))

    async def _exchange(self, request):
        response = await self.conn.exchange(b"", request)
        return response.status, await read_body(response.body)

    async def receive(self, pieces):
        for piece in pieces:
            if self.transport.closed:
                break
            self.conn.data_received(piece)
            await settle()

    async def result(self):
        """Returns the status and body; `None` for a broken exchange."""
        await settle()
        assert self.task.done()
        try:
            return self.task.result()
        except ExchangeBrokenError:
            return None


def read_by_h11(raw, method, *, at_end):
    """Returns the status and body of the final response; `None` if invalid.

    Raises:
      EOFError: the response is not complete.
    """
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method=method, target="/", headers=[("Host", "h")]))
    conn.send(h11.EndOfMessage())
    status, body = 0, b""
    try:
        conn.receive_data(raw)
        if at_end:
            conn.receive_data(b"")
        while True:
            event = conn.next_event()
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return status, body
            elif event is h11.NEED_DATA or event is h11.PAUSED:
                raise EOFError
    except h11.RemoteProtocolError:
        return None


async def fuzz_responses(seed):
    rng = random.Random(seed)
    faults = Faults()
    accepted = 0
    for _ in range(ROUNDS):
        raw = mutate(rng.choice(RESPONSES), rng)
        method = rng.choice(("GET", "GET", "GET", "HEAD", "POST"))
        client = Client(method)
        await settle()
        await client.receive(split(raw, rng))
        early = await client.result() if client.task.done() else None
        is_closed_in_order = rng.random() < 0.5 and not client.transport.closed
        if is_closed_in_order:
            client.conn.eof_received()
        client.conn.connection_lost(
            None if is_closed_in_order else ConnectionResetError()
        )
        late = await client.result()
        assert not client.conn.is_usable, raw
        assert client.released, raw
        assert not faults.seen, (raw, faults.seen)
        if late is None:
            continue
        accepted += 1
        compare_with_h11(raw, method, early, late)
    assert accepted > ROUNDS / 10


def compare_with_h11(raw, method, early, late):
    """Asserts that h11 reads the same, if it accepts the bytes at all."""
    try:
        expected = read_by_h11(raw, method, at_end=early is None)
    except EOFError:
        raise AssertionError(f"accepted a part: {raw!r} {late}") from None
    assert expected in (None, late), (raw, expected, late)


@pytest.mark.parametrize("seed", SEEDS)
def test_any_bytes_of_a_server_are_a_whole_response_or_a_typed_error(seed):
    asyncio.run(fuzz_responses(seed))


async def fuzz_requests(seed):
    rng = random.Random(seed)
    faults = Faults()
    accepted = 0
    for _ in range(ROUNDS):
        raw = b"".join(
            mutate(rng.choice(REQUESTS), rng)
            if rng.random() < 0.7
            else rng.choice(REQUESTS)
            for _ in range(rng.randint(1, 3))
        )
        handled = []

        async def handle(request, handled=handled):
            handled.append(request)
            await read_body(request.body)
            return Response(200, (), b"")

        transport = Transport()
        closed = []
        conn = ServerConnection(
            handler=handle,
            limits=ServerLimits(max_body_bytes=1000),
            may_run_in_parallel=lambda request: True,
            on_open=lambda conn: True,
            on_closed=closed.append,
            is_crowded=lambda: False,
        )
        conn.connection_made(transport)
        for piece in split(raw, rng):
            if transport.closed:
                break
            conn.data_received(piece)
            await settle()
        conn.eof_received()
        conn.connection_lost(None)
        await settle()
        assert closed == [conn], raw
        assert not conn.is_busy, raw
        assert not faults.seen, (raw, faults.seen)
        assert transport.written.count(b"HTTP/1.1 400") <= 1, raw
        assert b"HTTP/1.1 500" not in transport.written, raw
        accepted += len(handled)
    assert accepted > ROUNDS / 10


@pytest.mark.parametrize("seed", SEEDS)
def test_any_bytes_of_a_caller_are_requests_or_rejected_in_order(seed):
    asyncio.run(fuzz_requests(seed))
