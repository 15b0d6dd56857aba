"""Peers hold leaving records while the store is unavailable."""

import random

import anyio
import pytest

from radishwind.core import ManualClock
from radishwind.http.sender import Sender
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.rumor_bus import NullRumorBus
from radishwind.peers.peer_client import HttpPeerClient
from radishwind.store.base import StoreUnavailableError
from radishwind.target.leaving_records import LeavingRecords
from radishwind.target.server_process import ServerProcess

pytestmark = pytest.mark.anyio

PROCESS = ServerProcess("i-1", 1_000_000)


class UnavailableStore:
    async def grant(self, ttl_s):
        raise StoreUnavailableError("unavailable")


class RecordingRumorBus(NullRumorBus):
    def __init__(self):
        self.published = []

    def publish(self, topic, key, version, value, ttl_s):
        self.published.append(key)


class FixedDirectory(Directory):
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
    """Passes each call to the records of the peer at its port."""

    def __init__(self):
        self.peers = {}

    async def send(self, address, request, connect_timeout_s, check=None):
        return await self.peers[address.port].handle(request)

    async def close(self):
        pass


def records(network, rumor_bus, count):
    return LeavingRecords(
        node_name="own",
        clock=ManualClock(),
        store=UnavailableStore(),
        directory=FixedDirectory(count),
        rumor_bus=rumor_bus,
        peers=HttpPeerClient(network),
        rng=random.Random(1),
        on_leaving=lambda process: None,
    )


async def test_two_peers_suffice():
    network, buses = Network(), [RecordingRumorBus() for _ in range(3)]
    for port, rumor_bus in enumerate(buses):
        network.peers[port] = records(network, rumor_bus, 0)

    assert await records(network, RecordingRumorBus(), 3).persist(PROCESS, 5.0)

    assert sum(bus.published == [PROCESS.key] for bus in buses) >= 2


async def test_one_peer_does_not_suffice():
    network = Network()
    network.peers[0] = records(network, RecordingRumorBus(), 0)

    assert not await records(network, RecordingRumorBus(), 1).persist(
        PROCESS, 0.1
    )


async def test_malformed_record_is_refused():
    request = Request("POST", "/x", (), b"\xff\xfe", 2)

    response = await records(Network(), RecordingRumorBus(), 0).handle(request)

    assert response.status == 400


async def test_announced_record_is_persisted_once_peers_confirm_it():
    network, bus = Network(), RecordingRumorBus()
    own = records(network, bus, 2)
    own.announce(PROCESS)
    assert bus.published == [PROCESS.key]
    held = [RecordingRumorBus() for _ in range(2)]
    for port, rumor_bus in enumerate(held):
        network.peers[port] = records(network, rumor_bus, 0)

    with anyio.move_on_after(0.2):
        await own.run()

    assert [bus.published for bus in held] == [[PROCESS.key]] * 2
    assert await own.persist(PROCESS, 0.0)
