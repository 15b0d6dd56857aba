"""Who can't sign is brought the configuration where it is known to be."""

import pytest

from radishwind.core import ManualClock
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.membership.directory import Member
from radishwind.peers.peer_client import PeerError
from radishwind.routes import messages
from radishwind.routes.evacuation import EvacuatedDomains
from radishwind.routes.unsigned_requests import UnsignedRequestHandler

pytestmark = pytest.mark.anyio

KNOWN = Member("b-1", "s", "b", Address("10.0.0.2", 7600))
OFFER = messages.RouteUpdate(b"packed", EvacuatedDomains(4))


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Feed:
    """Has version 7."""

    def build_reply(self, ask):
        return OFFER if ask.have < 7 else messages.NoUpdate()


class Directory:
    def members(self):
        return (KNOWN,)


class Peers:
    def __init__(self):
        self.brought = []
        self.fails = False

    async def call(self, address, name, payload, timeout_s):
        self.brought.append((address, name, messages.decode(payload)))
        if self.fails:
            raise PeerError("away")
        return b""


@pytest.fixture
def peers():
    return Peers()


@pytest.fixture
def asks(peers):
    return UnsignedRequestHandler(
        feed=Feed(), directory=Directory(), peers=peers, clock=ManualClock()
    )


async def answered(asks, message, remote):
    body = messages.encode(message)
    request = Request("POST", "/x", (), body, len(body), remote)
    return messages.decode((await asks.handle(request)).body)


async def test_known_node_is_brought_what_it_lacks(asks, peers):
    answer = await answered(asks, messages.UpdateRequest(0), "10.0.0.2")

    assert answer == messages.NoUpdate()
    assert peers.brought == [(KNOWN.address, "routes", OFFER)]


async def test_stranger_is_brought_nothing(asks, peers):
    answer = await answered(asks, messages.UpdateRequest(0), "10.6.6.6")

    assert answer == messages.NoUpdate()
    assert peers.brought == []


async def test_who_lacks_nothing_is_brought_nothing(asks, peers):
    await answered(asks, messages.UpdateRequest(7), "10.0.0.2")

    assert peers.brought == []


async def test_offer_is_not_taken(asks, peers):
    answer = await answered(asks, OFFER, "10.0.0.2")

    assert answer == messages.NoUpdate()
    assert peers.brought == []


async def test_node_that_is_away_can_ask_again(asks, peers):
    peers.fails = True
    await answered(asks, messages.UpdateRequest(0), "10.0.0.2")
    await answered(asks, messages.UpdateRequest(0), "10.0.0.2")

    assert len(peers.brought) == 2


async def test_bytes_that_are_no_message_are_refused(asks, peers):
    request = Request("POST", "/x", (), b"\xff", 1, "10.0.0.2")

    assert (await asks.handle(request)).status >= 400
    assert peers.brought == []
