"""Nodes as processes: no part of a response looks whole, and none ends one."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import signal

import pytest

from radishwind.http.types import Address
from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import HOST
from radishwind.standins.platform_fleet import Place
from radishwind.standins.platform_fleet import route
from radishwind.standins.platform_server import make_body
from radishwind.standins.platform_server import ServerFaults
from tests.support import processes
from tests.support.cutting_proxy import ATTEMPT
from tests.support.cutting_proxy import CutEnd
from tests.support.cutting_proxy import CuttingProxy
from tests.support.cutting_proxy import reset
from tests.support.processes import find_free_ports
from tests.test_platform_processes import is_served
from tests.test_platform_processes import wait_for

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

PLACES = [
    Place("a-1", "127.0.34.11", "a", "front"),
    Place("b-1", "127.0.34.12", "b", "back"),
]

#: Statuses that say that a request certainly did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

#: How a server sends its responses, and the size of their bodies (bytes).
WAYS = {
    "length": ServerFaults(),
    "until-close": ServerFaults(answer="unframed"),
    "chunked": ServerFaults(answer="chunked"),
    "buffered": ServerFaults(body_bytes=200_000),
    "buffered-chunked": ServerFaults(answer="chunked", body_bytes=200_000),
    "streamed": ServerFaults(body_bytes=2_000_000),
}

#: Bytes of a head within which each place is cut, and places cut behind it.
HEAD_BYTES = 330
PLACES_IN_BODY = 16

#: Least number of responses that are cut of each kind; others are shorter.
MIN_CUTS = 20


class Deployment:
    """An entry node, a node beside a server, and proxies before both."""

    def __init__(self, fleet, proxy, server_proxy):
        self.fleet = fleet
        self.proxy = proxy
        self.server_proxy = server_proxy
        self.entry = fleet.instances["a-1"]
        self.back = fleet.instances["b-1"]
        self.numbers = itertools.count()

    async def ask(self, prefix, method="POST", timeout_ms=1500):
        """Sends a request; returns its ID and the response."""
        name = f"r{next(self.numbers):06d}"
        response = await self.fleet.ask(
            self.entry, f"/{prefix}/x", method, timeout_ms, name
        )
        return name, response

    async def move_server_behind_proxy(self):
        """Starts another server, which states the address of its proxy."""
        options = dataclasses.replace(
            self.back.server.options,
            address=self.back.configured_server_address,
        )
        await self.back.crash_server()
        await self.back.start_server(options, seed=8)
        await wait_for(self.reaches_server_by_proxy)

    async def reaches_server_by_proxy(self):
        self.server_proxy.cut_next(0, CutEnd.CLOSE)
        await self.ask("safe", "GET")
        self.server_proxy.take_cut()
        return self.server_proxy.cut_count > 0

    def check(self, name, response, max_runs):
        """Asserts what holds for each response, whatever was cut."""
        server = self.back.server
        assert server.runs[name] <= max_runs
        if response.status == 200:
            body = make_body(name, server.faults.body_bytes)
            assert response.body == body
        if server.runs[name]:
            assert response.status not in NOT_RUN_STATUSES
        assert response.status != 204


@pytest.fixture
async def deployment(tmp_path):
    proxies = []

    async def prepare(instance):
        if instance.place.name != "b-1":
            return
        host, port = instance.caller_address
        for offset, upstream, mark in (
            (8, instance.peer_address, ATTEMPT),
            (9, instance.server_address, b"attempt-id:"),
        ):
            proxy = CuttingProxy(Address(host, port + offset), upstream, mark)
            await proxy.start()
            proxies.append(proxy)
        instance.configured_peer_address = Address(host, port + 8)
        instance.configured_server_address = Address(host, port + 9)

    async with Fleet(PLACES, tmp_path, prepare) as fleet:
        fleet.configure(
            [
                route("back", "unsafe"),
                route("back", "safe", name="safe", prefix="/safe/"),
            ]
        )
        await fleet.start(7, spell_s=0.0, work_s=0.001)
        for path in ("/back/x", "/safe/x"):
            for instance in fleet.instances.values():
                await wait_for(
                    lambda i=instance, p=path: is_served(fleet, i, p)
                )
        running = Deployment(fleet, *proxies)
        await running.move_server_behind_proxy()
        yield running
        for proxy in proxies:
            await proxy.close()


def places_of(way, rng):
    """Returns where to cut a response: within its head, its body, its end."""
    size = max(WAYS[way].body_bytes, 12)
    head = range(0, HEAD_BYTES, 1 if way == "length" else 9)
    body = rng.choices(range(HEAD_BYTES, HEAD_BYTES + size), k=PLACES_IN_BODY)
    return [*head, *body]


@pytest.mark.parametrize("way", WAYS)
async def test_response_cut_between_two_nodes_never_looks_whole(
    deployment, way
):
    deployment.back.server.faults = WAYS[way]
    rng = random.Random(5)
    ends = itertools.cycle((CutEnd.CLOSE, CutEnd.RESET))
    for size in places_of(way, rng):
        cuts_before = deployment.proxy.cut_count
        deployment.proxy.cut_next(size, next(ends))
        name, response = await deployment.ask("back")
        deployment.check(name, response, max_runs=1)
        # An unsafe request whose response is cut is not answered otherwise.
        if deployment.proxy.cut_count > cuts_before:
            assert response.status in (0, 502)

    assert deployment.proxy.cut_count > MIN_CUTS


@pytest.mark.parametrize("way", ["length", "chunked", "streamed"])
async def test_second_response_of_a_server_that_is_cut_never_looks_whole(
    deployment, way
):
    proxy = deployment.server_proxy
    rng = random.Random(6)
    ends = itertools.cycle((CutEnd.CLOSE, CutEnd.RESET))
    for size in places_of(way, rng):
        # The first response keeps the connection for the second.
        deployment.back.server.faults = ServerFaults()
        _, response = await deployment.ask("back")
        assert response.status == 200
        deployment.back.server.faults = WAYS[way]
        cuts_before = proxy.cut_count
        proxy.cut_next(size, next(ends))
        name, response = await deployment.ask("back")
        deployment.check(name, response, max_runs=1)
        if proxy.cut_count > cuts_before:
            assert response.status in (0, 502)

    assert proxy.cut_count > MIN_CUTS


async def test_head_of_a_server_that_goes_silent_ends_by_the_deadline(
    deployment,
):
    cuts_before = deployment.server_proxy.cut_count
    for size in (1, 9, 40, 100):
        deployment.server_proxy.cut_next(size, CutEnd.SILENCE)
        name, response = await deployment.ask("back", timeout_ms=400)
        deployment.check(name, response, max_runs=1)
    assert deployment.server_proxy.cut_count == cuts_before + 4
    await wait_for(
        lambda: is_served(deployment.fleet, deployment.entry, "/back/x")
    )


@pytest.mark.parametrize("way", ["length", "buffered"])
async def test_safe_request_whose_response_is_cut_gets_a_whole_one(
    deployment, way
):
    deployment.back.server.faults = WAYS[way]
    for size in range(0, HEAD_BYTES, 29):
        deployment.proxy.cut_next(size, CutEnd.CLOSE)
        name, response = await deployment.ask("safe", "GET")
        deployment.check(name, response, max_runs=2)
    assert deployment.proxy.cut_count > 0


@pytest.mark.parametrize("size", [0, 9])
async def test_store_that_cuts_the_head_of_a_watch_does_not_end_the_node(size):
    listen = Address("127.0.0.1", find_free_ports(1)[0])
    with processes.Fleet() as fleet:
        upstream = Address.parse(fleet.store)
        proxy = CuttingProxy(listen, upstream, b"post /v3/watch ")
        await proxy.start()
        fleet.store = str(listen)
        fleet.start_node("x-1", "x", "a")
        node = fleet.processes["node x-1"]
        for count in (1, 2):
            proxy.cut_next(size, CutEnd.CLOSE)

            async def is_cut(count=count):
                assert node.running(), node.log()
                return proxy.cut_count == count

            await wait_for(is_cut)
        await proxy.close()


async def test_response_that_goes_silent_ends_by_its_deadline(deployment):
    for way in ("length", "buffered", "streamed"):
        deployment.back.server.faults = WAYS[way]
        for size in (0, 9, 100, 250, HEAD_BYTES + 5):
            deployment.proxy.cut_next(size, CutEnd.SILENCE)
            name, response = await deployment.ask("back", timeout_ms=300)
            deployment.check(name, response, max_runs=1)


async def read_slowly(instance, name, version, until):
    """Reads a response until `until()` is true, then what is left of it.

    Returns:
      The response, and whether the connection was reset.
    """
    reader, writer = await asyncio.open_connection(*instance.caller_address)
    request = (
        f"POST /back/x HTTP/{version}\r\nHost: {HOST}\r\n"
        f"Attempt-Id: {name}\r\nTimeout-Ms: 30000\r\n"
        "Content-Length: 0\r\n\r\n"
    )
    writer.write(request.encode())
    got, was_reset = b"", False
    try:
        async with asyncio.timeout(30):
            got = await reader.readuntil(b"\r\n\r\n")
            await until()
            while piece := await reader.read(65536):
                got += piece
    except ConnectionResetError:
        was_reset = True
    with contextlib.suppress(ConnectionError):
        writer.close()
        await writer.wait_closed()
    return got, was_reset


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
@pytest.mark.parametrize("ended", ["entry", "back"])
async def test_body_cut_by_the_end_of_a_node_does_not_look_whole(
    deployment, ended, number, version
):
    size = 60_000_000
    deployment.back.server.faults = ServerFaults(body_bytes=size)
    node = getattr(deployment, ended)

    async def until_ended():
        node.signal_node(number)
        await node.node_ended()

    got, was_reset = await read_slowly(
        deployment.entry, "slow", version, until_ended
    )

    head, _, body = got.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert was_reset or b"Content-Length: %d" % size in head
    assert len(body) < size


def uploads():
    """Yields the framing field and the body of uploads, as sent."""
    for size in (40, 100_000):
        body = b"u" * size
        yield f"Content-Length: {size}", body
        half = size // 2
        chunk = b"%x\r\n" % half + body[:half] + b"\r\n"
        yield "Transfer-Encoding: chunked", 2 * chunk + b"0\r\n\r\n"


async def upload(instance, name, field, body, end):
    """Sends a request, and ends its connection unless `end` is `None`."""
    reader, writer = await asyncio.open_connection(*instance.caller_address)
    head = (
        f"POST /back/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {name}\r\n"
        f"Timeout-Ms: 1500\r\nConnection: close\r\n{field}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    with contextlib.suppress(ConnectionError):
        await writer.drain()
        if end is CutEnd.RESET:
            reset(writer)
        elif end is CutEnd.CLOSE:
            writer.write_eof()
        await reader.read()
    writer.close()


async def test_upload_that_is_cut_is_not_passed_on_as_a_whole_one(deployment):
    rng = random.Random(9)
    whole, cut = set(), set()
    for field, body in uploads():
        near = [len(body) - left for left in range(1, 9)]
        for size in (*rng.sample(range(len(body)), 12), *near):
            for end in (CutEnd.CLOSE, CutEnd.RESET):
                name = f"cut{len(cut):04d}"
                cut.add(name)
                await upload(deployment.entry, name, field, body[:size], end)
        name = f"whole{len(whole):04d}"
        whole.add(name)
        await upload(deployment.entry, name, field, body, None)
    server = deployment.back.server

    await wait_for(lambda: all_run(server, whole))
    assert [name for name in cut if server.runs[name]] == []


async def all_run(server, names):
    return all(server.runs[name] == 1 for name in names)
