"""An odd address or datagram ends neither the socket nor its caller."""

import asyncio

import anyio
import anyio.lowlevel
import pytest
import uvloop

from radishwind.core.clock import ManualClock
from radishwind.http.types import Address
from radishwind.peers.peer_socket import Channel
from radishwind.peers.peer_socket import PeerSocket
from radishwind.supervision import failure_log
from radishwind.supervision import FailureLog
from radishwind.supervision import set_failure_log
from radishwind.telemetry import part_logger

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return ("asyncio", {"loop_factory": uvloop.new_event_loop})


@pytest.fixture
def lines(monkeypatch):
    found = []
    monkeypatch.setattr(part_logger, "_sinks", [found.append])
    kept = failure_log()
    set_failure_log(FailureLog(ManualClock()))
    yield found
    set_failure_log(kept)


class Pair:
    """Two sockets on loopback; `received` is what the second one got."""

    def __init__(self):
        self.sender = PeerSocket()
        self.receiver = PeerSocket()
        self.received = []
        self._changed = anyio.Event()
        self.receiver.add_handler(Channel.GOSSIP, self._handle)

    def _handle(self, data, sender):
        if data == b"raise":
            raise KeyError(data)
        self.received.append(data)
        self._changed.set()
        return True

    async def start(self):
        for socket in (self.sender, self.receiver):
            await socket.start(Address("127.0.0.1", 0))

    @property
    def address(self):
        transport = self.receiver._transport
        return Address(*transport.get_extra_info("sockname"))

    async def until_received(self, count):
        with anyio.fail_after(20):
            while len(self.received) < count:
                await self._changed.wait()
                self._changed = anyio.Event()

    def close(self):
        self.sender.close()
        self.receiver.close()


@pytest.fixture
async def pair():
    pair = Pair()
    await pair.start()
    yield pair
    pair.close()
    await anyio.lowlevel.checkpoint()


async def test_runs_on_the_event_loop_of_the_programs(pair):
    assert isinstance(asyncio.get_running_loop(), uvloop.Loop)


@pytest.mark.parametrize(
    "odd",
    [
        Address("node.example", 7600),
        Address("[::1]", 7600),
        Address("::1", 7600),
        Address("a..b", 7600),
        Address("127.0.0.1", 99_999),
        Address("127.0.0.1", -1),
        Address("127.0.0.1", 2**70),
        Address("127.0.0.1", 0),
        Address("", 7600),
        Address("\ud800", 7600),
    ],
    ids=ascii,
)
async def test_address_that_is_not_of_the_socket_is_dropped_and_counted(
    pair, odd
):
    assert not pair.sender.send(Channel.GOSSIP, b"x", (odd,))
    assert (pair.sender.sent_count, pair.sender.malformed_count) == (0, 1)

    assert pair.sender.send(Channel.GOSSIP, b"x", (odd, pair.address, odd))
    await pair.until_received(1)
    assert (pair.sender.sent_count, pair.sender.malformed_count) == (1, 3)


async def test_handler_that_raises_is_logged_once_and_counted(pair, lines):
    peers = (pair.address,)
    for data in (b"raise", b"raise", b"raise", b"good"):
        assert pair.sender.send(Channel.GOSSIP, data, peers)

    await pair.until_received(1)

    assert pair.received == [b"good"]
    assert pair.receiver.malformed_count == 3
    assert [(line["level"], line["kind"]) for line in lines] == [
        ("error", "KeyError")
    ]
