"""Short messages go by datagram; a lost one is asked again by HTTP."""

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

ONE, OTHER = Address("10.0.0.1", 7), Address("10.0.0.2", 7)
pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Net:
    """Carries datagrams between two nodes at once; some are lost."""

    def __init__(self):
        self.transports = {}
        self.loses = False
        self.carried = 0

    def node(self, address, answers):
        socket = PeerSocket()
        got = []

        def receive(message):
            got.append(message)
            return answers(message)

        made = GossipDatagrams(
            socket, random.Random(address.host), receive, ManualClock()
        )
        socket._transport = Wire(self, address)
        self.transports[address] = socket
        return made, socket, got


class Wire:
    def __init__(self, net, address):
        self.net = net
        self.address = address

    def is_closing(self):
        return False

    def sendto(self, data, to):
        self.net.carried += 1
        if not self.net.loses:
            socket = self.net.transports[Address(*to)]
            socket.datagram_received(data, tuple(self.address))


def acknowledge(message):
    return Ack("other", 3)


def call(message, purpose, member="other", timeout_s=0.02):
    return OutgoingMessage(OTHER, message, timeout_s, purpose, member)


@pytest.fixture
def net():
    return Net()


@pytest.fixture
def pair(net):
    one, _, _ = net.node(ONE, acknowledge)
    _, _, got = net.node(OTHER, acknowledge)
    return one, got


async def test_a_probe_is_answered_by_datagram(pair):
    one, got = pair
    ping = Ping("one", 1, (), (), "other")

    answer = await one.ask(call(ping, MessagePurpose.PROBE))

    assert answer == Ack("other", 3)
    assert got == [ping]


async def test_a_lost_probe_has_no_answer_and_is_left_to_http(net, pair):
    one, _ = pair
    net.loses = True

    answer = await one.ask(call(Ping("one"), MessagePurpose.PROBE))

    assert answer is None
    assert net.carried == 1


async def test_a_push_wants_no_answer(net, pair):
    one, got = pair
    push = Push("one", 1, (MemberRecord("a", "s", "d", "10.0.0.9:1", 4),))

    assert one.tell(call(push, MessagePurpose.NOTIFY))
    assert got == [push]
    assert net.carried == 1


async def test_a_contact_of_unknown_name_is_left_to_http(net, pair):
    one, _ = pair

    assert not one.tell(call(Push("one"), MessagePurpose.NOTIFY, member=""))
    assert net.carried == 0


async def test_what_is_too_long_is_left_to_http(net, pair):
    one, _ = pair
    facts = tuple(
        MemberRecord(f"member-{n}", "s" * 60, "d", "10.0.0.9:1", 4)
        for n in range(MAX_DATAGRAM_BYTES // 60)
    )

    assert not one.tell(call(Push("one", 1, facts), MessagePurpose.NOTIFY))
    assert net.carried == 0


@pytest.mark.parametrize(
    "purpose", [MessagePurpose.JOIN, MessagePurpose.SYNC_PAGE]
)
async def test_anti_entropy_is_left_to_http(net, pair, purpose):
    one, _ = pair

    assert await one.ask(call(Ping("one"), purpose)) is None
    assert net.carried == 0


async def test_an_answer_from_elsewhere_is_not_taken(net):
    one, socket, _ = net.node(ONE, acknowledge)
    _, _other, _ = net.node(OTHER, acknowledge)
    net.loses = True
    answers = []

    async with anyio.create_task_group() as tasks:

        async def ask():
            answers.append(
                await one.ask(call(Ping("one"), MessagePurpose.PROBE))
            )

        tasks.start_soon(ask)
        await anyio.lowlevel.checkpoint()
        number = one._number
        forged = encode_envelope(Envelope(number, True, Ack("other", 9)))
        socket.datagram_received(b"\x02" + forged, ("10.0.0.66", 7))

    assert answers == [None]
    assert socket.malformed_count == 1


@pytest.mark.parametrize("data", [b"", b"\x02", b"\x02junk", b"\x09xyz"])
async def test_what_nobody_can_read_is_counted(net, data):
    _, socket, got = net.node(ONE, acknowledge)

    socket.datagram_received(data, ("10.0.0.2", 7))

    assert got == []
    assert (socket.malformed_count, socket.received_count) == (1, 0)
