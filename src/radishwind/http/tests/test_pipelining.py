"""Pipelined requests of one connection, over sockets."""

import contextlib

import anyio
import pytest

from radishwind.http import Address
from radishwind.http import BodyStream
from radishwind.http import Response
from radishwind.http import ServerLimits
from radishwind.http.aiohttp_server import AiohttpServer
from radishwind.http.httptools_server import HttptoolsServer
from radishwind.http.types import read_body

pytestmark = pytest.mark.anyio


@pytest.fixture(params=[HttptoolsServer, AiohttpServer], autouse=True)
def library(request):
    """Runs each test with each library."""
    Service.library = request.param


LIMITS = ServerLimits(max_pipelined=3, linger_s=0.2)
WITHIN_S = 10.0


def read(path, fields=b""):
    return b"GET " + path + b" HTTP/1.1\r\nHost: a\r\n" + fields + b"\r\n"


def write(path):
    return (
        b"POST " + path + b" HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
    )


class Pieces(BodyStream):
    aborted: anyio.Event

    def __init__(self):
        Pieces.aborted = anyio.Event()

    async def __aiter__(self):
        for _ in range(3):
            yield b"piece"

    def abort(self):
        self.aborted.set()


class Service:
    """Answers each request once the test releases it."""

    library = HttptoolsServer

    def __init__(self):
        self.began = []
        self.cancelled = []
        self.closes = set()
        self._gates = {}
        self._changed = anyio.Event()

    def gate(self, path):
        return self._gates.setdefault(path, anyio.Event())

    def release(self, *paths):
        for path in paths:
            self.gate(path).set()

    async def handle(self, request):
        path = request.path
        self._note(self.began, path)
        await read_body(request.body)
        try:
            await self.gate(path).wait()
        except BaseException:
            self._note(self.cancelled, path)
            raise
        headers = (("Connection", "close"),) if path in self.closes else ()
        if path == "/fails":
            raise RuntimeError("a fault of ours")
        if path == "/stream":
            return Response(200, headers, Pieces(), None)
        return Response(200, headers, b"<%s>" % path.encode())

    async def until(self, check):
        with anyio.fail_after(WITHIN_S):
            while not check(self):
                await self._changed.wait()

    def _note(self, where, path):
        where.append(path)
        self._changed.set()
        self._changed = anyio.Event()


def may_run_in_parallel(request):
    return not request.path.startswith("/once")


@contextlib.asynccontextmanager
async def connected(limits=LIMITS):
    service = Service()
    server = Service.library(limits, may_run_in_parallel)
    address = await server.start(service.handle, Address("127.0.0.1", 0))
    stream = await anyio.connect_tcp(*address)
    try:
        async with stream:
            yield service, stream
    finally:
        await server.close(0.0)


async def received(stream, last):
    """Returns all that comes up to `last`."""
    got = b""
    with anyio.fail_after(WITHIN_S):
        while last not in got:
            got += await stream.receive()
    return got


async def rest(stream):
    """Returns all that comes until the connection is closed."""
    got = b""
    with (
        anyio.fail_after(WITHIN_S),
        contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError),
    ):
        while True:
            got += await stream.receive()
    return got


async def test_reads_run_in_parallel_and_are_answered_in_order():
    async with connected() as (service, stream):
        await stream.send(read(b"/1") + read(b"/2"))
        await stream.send(read(b"/3"))

        await service.until(lambda s: s.began == ["/1", "/2", "/3"])
        service.release("/3", "/2")
        await anyio.wait_all_tasks_blocked()
        service.release("/1")

        got = await received(stream, b"</3>")
        assert got.index(b"</1>") < got.index(b"</2>") < got.index(b"</3>")


async def test_number_of_requests_started_early_is_limited():
    async with connected() as (service, stream):
        await stream.send(b"".join(read(b"/%d" % i) for i in range(9)))

        await service.until(lambda s: len(s.began) == 4)
        await anyio.wait_all_tasks_blocked()
        assert service.began == ["/0", "/1", "/2", "/3"]

        service.release(*(f"/{i}" for i in range(9)))
        got = await received(stream, b"</8>")
        order = [got.index(b"</%d>" % i) for i in range(9)]
        assert order == sorted(order)


@pytest.mark.parametrize(
    "behind", [read(b"/once") + read(b"/2"), write(b"/write") + read(b"/2")]
)
async def test_unsafe_request_waits_and_delays_those_behind_it(behind):
    async with connected() as (service, stream):
        await stream.send(read(b"/1") + behind)
        await service.until(lambda s: s.began == ["/1"])
        await anyio.wait_all_tasks_blocked()
        assert service.began == ["/1"]

        service.release("/1")
        await service.until(lambda s: len(s.began) == 2)
        await anyio.wait_all_tasks_blocked()
        assert len(service.began) == 2

        service.release("/once", "/write", "/2")
        await received(stream, b"</2>")


async def test_failed_and_streamed_responses_keep_their_order():
    async with connected() as (service, stream):
        await stream.send(
            read(b"/1") + read(b"/fails") + read(b"/stream") + read(b"/4")
        )
        await service.until(lambda s: len(s.began) == 4)
        service.release("/4", "/stream", "/fails")
        await anyio.wait_all_tasks_blocked()
        service.release("/1")

        got = await received(stream, b"</4>")
        places = [got.index(x) for x in (b"</1>", b" 500 ", b"piece", b"</4>")]
        assert places == sorted(places)


async def test_close_is_deferred_to_the_last_running_request():
    async with connected() as (service, stream):
        service.closes = {"/1"}
        await stream.send(read(b"/1") + read(b"/2"))
        await service.until(lambda s: s.began == ["/1", "/2"])
        service.release("/1")
        first = await received(stream, b"</1>")
        assert b"close" not in first

        await stream.send(read(b"/3"))
        service.release("/2", "/3")

        got = await rest(stream)
        assert b"</2>" in got
        assert b"Connection: close" in got
        assert service.began == ["/1", "/2"]


async def test_no_request_is_read_after_a_closing_response():
    async with connected() as (service, stream):
        service.closes = {"/once-1"}
        await stream.send(read(b"/once-1") + read(b"/2"))
        service.release("/once-1", "/2", "/3")
        got = await received(stream, b"</once-1>")
        assert b"Connection: close" in got

        with contextlib.suppress(anyio.BrokenResourceError):
            await stream.send(read(b"/3"))

        assert await rest(stream) == b""
        assert service.began == ["/once-1"]


async def test_no_request_runs_behind_a_closing_request():
    async with connected() as (service, stream):
        closing = read(b"/2", b"Connection: close\r\n")
        await stream.send(read(b"/1") + closing)
        await service.until(lambda s: s.began == ["/1"])
        await stream.send(read(b"/3"))
        service.release("/1", "/2", "/3")

        got = await rest(stream)

        assert b"</2>" in got
        assert service.began == ["/1", "/2"]


async def test_requests_are_cancelled_when_the_caller_disconnects():
    async with connected() as (service, stream):
        await stream.send(read(b"/1") + read(b"/2") + read(b"/3"))
        await service.until(lambda s: len(s.began) == 3)

        await stream.aclose()

        await service.until(lambda s: len(s.cancelled) == 3)


async def test_malformed_request_is_answered_in_order():
    async with connected() as (service, stream):
        await stream.send(read(b"/1"))
        await service.until(lambda s: s.began == ["/1"])
        await stream.send(b"GET / HTTP/9.9\r\n\r\n")
        service.release("/1")

        got = await rest(stream)

        assert got.index(b"</1>") < got.index(b" 400 ")


async def test_crowded_listener_closes_idle_connections():
    limits = ServerLimits(max_connections=8, crowded_fraction=0.5, linger_s=0.2)
    service = Service()
    service.release("/1")
    server = Service.library(limits, may_run_in_parallel)
    address = await server.start(service.handle, Address("127.0.0.1", 0))
    async with contextlib.AsyncExitStack() as stack:
        streams = []
        for _ in range(6):
            stream = await stack.enter_async_context(
                await anyio.connect_tcp(*address)
            )
            streams.append(stream)
        first, *_, last = streams
        await last.send(read(b"/1"))
        assert b"Connection: close" in await received(last, b"</1>")
        assert await rest(last) == b""

        for stream in streams[3:]:
            await stream.aclose()
        for _ in range(50):
            await anyio.sleep(0.01)
            await first.send(read(b"/1"))
            if b"close" not in await received(first, b"</1>"):
                break
            first = await stack.enter_async_context(
                await anyio.connect_tcp(*address)
            )
        else:
            pytest.fail("expected connections to be kept again, none is")
    await server.close(0.0)


async def test_unsent_streamed_response_is_aborted():
    async with connected() as (service, stream):
        await stream.send(read(b"/1") + read(b"/stream"))
        await service.until(lambda s: s.began == ["/1", "/stream"])
        service.release("/stream")
        await anyio.wait_all_tasks_blocked()

        await stream.aclose()

        with anyio.fail_after(WITHIN_S):
            await Pieces.aborted.wait()
