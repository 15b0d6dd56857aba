"""Tests which gossip messages go by datagram and which are left to HTTP."""

import random

import anyio
import anyio.lowlevel
import pytest

from radishwind.core.clock import ManualClock
from radishwind.http.types import Address
from radishwind.membership.envelope import encode_envelope
from radishwind.membership.envelope import Envelope
from radishwind.membership.messages import Ack
from radishwind.membership.messages import Ping
from radishwind.membership.messages import Push
from radishwind.membership.outgoing_message import MessagePurpose
from radishwind.membership.outgoing_message import OutgoingMessage
from radishwind.membership.records import MemberRecord
from radishwind.node.gossip_datagrams import GossipDatagrams
from radishwind.peers.peer_socket import MAX_DATAGRAM_BYTES
from radishwind.peers.peer_socket import PeerSocket

ADDRESS, PEER_ADDRESS = Address("10.0.0.1", 7), Address("10.0.0.2", 7)
pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Network:
    """Delivers datagrams between two nodes immediately, or loses them."""

    def __init__(self):
        self.sockets = {}
        self.is_lossy = False
        self.sent_count = 0

    def add_node(self, address, reply):
        socket = PeerSocket()
        received = []

        def handle_message(message):
            received.append(message)
            return reply(message)

        datagrams = GossipDatagrams(
            socket, random.Random(address.host), handle_message, ManualClock()
        )
        socket._transport = NetworkTransport(self, address)
        self.sockets[address] = socket
        return datagrams, socket, received


class NetworkTransport:
    """Transport of one node's socket."""

    def __init__(self, network, address):
        self.network = network
        self.address = address

    def is_closing(self):
        return False

    def sendto(self, data, to):
        self.network.sent_count += 1
        if not self.network.is_lossy:
            socket = self.network.sockets[Address(*to)]
            socket.datagram_received(data, tuple(self.address))


def acknowledge(message):
    return Ack("other", 3)


def outgoing(message, purpose, member="other", timeout_s=0.02):
    return OutgoingMessage(PEER_ADDRESS, message, timeout_s, purpose, member)


@pytest.fixture
def network():
    return Network()


@pytest.fixture
def pair(network):
    """The datagrams of one node, and the messages the other received."""
    datagrams, _, _ = network.add_node(ADDRESS, acknowledge)
    _, _, received = network.add_node(PEER_ADDRESS, acknowledge)
    return datagrams, received


async def test_probe_is_answered_by_datagram(pair):
    datagrams, received = pair
    ping = Ping("one", 1, (), (), "other")

    reply = await datagrams.request(outgoing(ping, MessagePurpose.PROBE))

    assert reply == Ack("other", 3)
    assert received == [ping]


async def test_lost_probe_has_no_reply_and_is_left_to_http(network, pair):
    datagrams, _ = pair
    network.is_lossy = True

    reply = await datagrams.request(outgoing(Ping("one"), MessagePurpose.PROBE))

    assert reply is None
    assert network.sent_count == 1


async def test_push_is_not_replied_to(network, pair):
    datagrams, received = pair
    push = Push("one", 1, (MemberRecord("a", "s", "d", "10.0.0.9:1", 4),))

    assert datagrams.notify(outgoing(push, MessagePurpose.NOTIFY))
    assert received == [push]
    assert network.sent_count == 1


async def test_contact_of_unknown_name_is_left_to_http(network, pair):
    datagrams, _ = pair

    assert not datagrams.notify(
        outgoing(Push("one"), MessagePurpose.NOTIFY, member="")
    )
    assert network.sent_count == 0


async def test_message_too_long_for_a_datagram_is_left_to_http(network, pair):
    datagrams, _ = pair
    records = tuple(
        MemberRecord(f"member-{n}", "s" * 60, "d", "10.0.0.9:1", 4)
        for n in range(MAX_DATAGRAM_BYTES // 60)
    )

    assert not datagrams.notify(
        outgoing(Push("one", 1, records), MessagePurpose.NOTIFY)
    )
    assert network.sent_count == 0


@pytest.mark.parametrize(
    "purpose", [MessagePurpose.JOIN, MessagePurpose.SYNC_PAGE]
)
async def test_anti_entropy_is_left_to_http(network, pair, purpose):
    datagrams, _ = pair

    assert await datagrams.request(outgoing(Ping("one"), purpose)) is None
    assert network.sent_count == 0


async def test_reply_from_another_address_is_rejected(network):
    datagrams, socket, _ = network.add_node(ADDRESS, acknowledge)
    _, _other, _ = network.add_node(PEER_ADDRESS, acknowledge)
    network.is_lossy = True
    replies = []

    async with anyio.create_task_group() as tasks:

        async def request():
            replies.append(
                await datagrams.request(
                    outgoing(Ping("one"), MessagePurpose.PROBE)
                )
            )

        tasks.start_soon(request)
        await anyio.lowlevel.checkpoint()
        exchange_id = datagrams._last_exchange_id
        forged = encode_envelope(Envelope(exchange_id, True, Ack("other", 9)))
        socket.datagram_received(b"\x02" + forged, ("10.0.0.66", 7))

    assert replies == [None]
    assert socket.malformed_count == 1


@pytest.mark.parametrize("data", [b"", b"\x02", b"\x02junk", b"\x09xyz"])
async def test_malformed_datagram_is_counted(network, data):
    _, socket, received = network.add_node(ADDRESS, acknowledge)

    socket.datagram_received(data, ("10.0.0.2", 7))

    assert received == []
    assert (socket.malformed_count, socket.received_count) == (1, 0)
