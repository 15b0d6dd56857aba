"""Tests that an unsigned request causes a push to the known member only."""

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
UPDATE = messages.RouteUpdate(b"packed", EvacuatedDomains(4))


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Feed:
    """Feed stub that has version 7."""

    def build_reply(self, request):
        return UPDATE if request.have < 7 else messages.NoUpdate()


class Directory:
    def members(self):
        return (KNOWN,)


class Peers:
    def __init__(self):
        self.pushed = []
        self.fails = False

    async def call(self, address, name, payload, timeout_s):
        self.pushed.append((address, name, messages.decode(payload)))
        if self.fails:
            raise PeerError("unreachable")
        return b""


@pytest.fixture
def peers():
    return Peers()


@pytest.fixture
def handler(peers):
    return UnsignedRequestHandler(
        feed=Feed(), directory=Directory(), peers=peers, clock=ManualClock()
    )


async def send(handler, message, remote):
    body = messages.encode(message)
    request = Request("POST", "/x", (), body, len(body), remote)
    return messages.decode((await handler.handle(request)).body)


async def test_known_node_gets_a_push_of_what_it_lacks(handler, peers):
    reply = await send(handler, messages.UpdateRequest(0), "10.0.0.2")

    assert reply == messages.NoUpdate()
    assert peers.pushed == [(KNOWN.address, "routes", UPDATE)]


@pytest.mark.parametrize("remote", ["10.0.0.2", "127.0.0.1"])
async def test_push_goes_to_the_member_that_the_request_names(
    handler, peers, remote
):
    await send(handler, messages.UpdateRequest(0, node="b-1"), remote)
    await send(handler, messages.UpdateRequest(0, node="b-2"), remote)

    assert peers.pushed == [(KNOWN.address, "routes", UPDATE)]


async def test_unknown_host_gets_no_push(handler, peers):
    reply = await send(handler, messages.UpdateRequest(0), "10.6.6.6")

    assert reply == messages.NoUpdate()
    assert peers.pushed == []


async def test_node_that_is_up_to_date_gets_no_push(handler, peers):
    await send(handler, messages.UpdateRequest(7), "10.0.0.2")

    assert peers.pushed == []


async def test_unsigned_update_is_not_applied(handler, peers):
    reply = await send(handler, UPDATE, "10.0.0.2")

    assert reply == messages.NoUpdate()
    assert peers.pushed == []


async def test_request_can_be_repeated_after_a_failed_push(handler, peers):
    peers.fails = True
    await send(handler, messages.UpdateRequest(0), "10.0.0.2")
    await send(handler, messages.UpdateRequest(0), "10.0.0.2")

    assert len(peers.pushed) == 2


async def test_malformed_message_is_refused(handler, peers):
    request = Request("POST", "/x", (), b"\xff", 1, "10.0.0.2")

    assert (await handler.handle(request)).status >= 400
    assert peers.pushed == []
