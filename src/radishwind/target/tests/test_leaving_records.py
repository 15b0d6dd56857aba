"""The word that a server leaves is kept by peers where the store is away."""

import random

import pytest

from radishwind.core import ManualClock
from radishwind.http.sender import Sender
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.rumor_bus import NullRumorBus
from radishwind.peers.client import HttpPeerClient
from radishwind.store.base import StoreUnavailableError
from radishwind.target.leaving import LeavingRecords
from radishwind.target.server_process import ServerProcess

pytestmark = pytest.mark.anyio

LIFE = ServerProcess("i-1", 1_000_000)


class StoreAway:
    async def grant(self, ttl_s):
        raise StoreUnavailableError("away")


class Board(NullRumorBus):
    def __init__(self):
        self.told = []

    def publish(self, topic, key, version, value, ttl_s):
        self.told.append(key)


class Peers(Directory):
    def __init__(self, count):
        self._members = tuple(
            Member(f"p{i}", "s", "a", Address("10.0.0.1", i))
            for i in range(count)
        )

    def eligible_members(self, service):
        return self._members

    def members(self):
        return self._members


class Network(Sender):
    """Hands each call to the records of the peer at its port."""

    def __init__(self):
        self.peers = {}

    async def send(self, address, request, connect_timeout_s):
        return await self.peers[address.port].handle(request)

    async def close(self):
        pass


def records(network, rumor_bus, count):
    return LeavingRecords(
        node_name="own",
        clock=ManualClock(),
        store=StoreAway(),
        directory=Peers(count),
        rumor_bus=rumor_bus,
        peers=HttpPeerClient(network),
        rng=random.Random(1),
        on_leaving=lambda process: None,
    )


async def test_two_peers_are_enough():
    network, boards = Network(), [Board() for _ in range(3)]
    for port, rumor_bus in enumerate(boards):
        network.peers[port] = records(network, rumor_bus, 0)

    assert await records(network, Board(), 3).persist(LIFE, 5.0)

    assert sum(rumor_bus.told == [LIFE.key] for rumor_bus in boards) >= 2


async def test_one_peer_is_not():
    network = Network()
    network.peers[0] = records(network, Board(), 0)

    assert not await records(network, Board(), 1).persist(LIFE, 0.1)


async def test_bytes_that_are_no_word_are_refused():
    request = Request("POST", "/x", (), b"\xff\xfe", 2)

    answer = await records(Network(), Board(), 0).handle(request)

    assert answer.status == 400
