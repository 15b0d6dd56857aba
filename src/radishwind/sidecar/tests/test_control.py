"""Heartbeats before and after the leaving records are loaded."""

import json

import pytest

from radishwind.core import ManualClock
from radishwind.http import Address
from radishwind.http import Request
from radishwind.sidecar.control import HeartbeatListener
from radishwind.target.registered_server import RegisteredServer
from radishwind.target.server_process import ServerProcess

pytestmark = pytest.mark.anyio

FIRST, SECOND = 1_000_000, 1_060_000


class Records:
    def __init__(self):
        self.persisted = []
        self.announced = []
        self.is_persisted = True

    async def persist(self, process, timeout_s):
        self.persisted.append(process)
        return self.is_persisted

    def announce(self, process):
        self.announced.append(process)


class Harness:
    def __init__(self, are_records_loaded=True):
        clock = ManualClock()
        self.are_records_loaded = are_records_loaded
        self.records = Records()
        self.server = RegisteredServer(
            "t", "s", Address("10.0.0.9", 80), clock, lambda ready: None
        )
        self.listener = HeartbeatListener(
            clock=clock,
            register=self.server.register,
            resolve=self.server.resolve,
            is_service_allowed=lambda service: service == "s",
            records=self.records,
            are_records_loaded=lambda: self.are_records_loaded,
        )

    async def send_heartbeat(self, started_ms, seq=1, **other):
        body = {
            "service": "s",
            "address": "10.0.0.9:80",
            "slots": 6,
            "state": "ready",
            "warmup-left-ms": 0,
            "seq": seq,
            "born": started_ms,
            **other,
        }
        return await self._post("Heartbeat", json.dumps(body).encode())

    async def deregister(self):
        return await self._post("Deregister", b"")

    async def _post(self, name, body):
        path = f"/-/Instances.{name}/i-1"
        request = Request("POST", path, (), body, len(body))
        return (await self.listener.handle(request)).status


async def test_heartbeat_waits_until_records_are_loaded():
    harness = Harness(are_records_loaded=False)

    assert await harness.send_heartbeat(FIRST) == 200
    assert harness.server.incarnation == ""
    harness.listener.on_records_loaded()

    assert harness.server.process == ServerProcess("i-1", FIRST)


async def test_deregistration_ends_the_waiting_incarnation():
    harness = Harness(are_records_loaded=False)
    await harness.send_heartbeat(FIRST)

    assert await harness.deregister() == 200
    harness.listener.on_records_loaded()

    assert harness.records.persisted == [ServerProcess("i-1", FIRST)]
    assert harness.server.incarnation == ""
    harness.are_records_loaded = True
    assert await harness.send_heartbeat(SECOND) == 200
    assert harness.server.process == ServerProcess("i-1", SECOND)


async def test_leaving_is_acknowledged_once_it_is_stored():
    harness = Harness()
    await harness.send_heartbeat(FIRST)
    harness.records.is_persisted = False

    assert await harness.send_heartbeat(FIRST, 2, state="draining") == 503
    assert harness.server.is_draining
    assert [p.started_ms for p in harness.records.announced] == [FIRST]
    harness.records.is_persisted = True

    assert await harness.send_heartbeat(FIRST, 3, state="draining") == 200


@pytest.mark.parametrize(
    "wrong", [{"service": "other"}, {"state": "asleep"}, {"slots": "six"}]
)
async def test_malformed_heartbeat_is_counted_and_ignored(wrong):
    harness = Harness()
    await harness.send_heartbeat(FIRST)

    assert await harness.send_heartbeat(SECOND, **wrong) >= 400

    assert harness.server.process == ServerProcess("i-1", FIRST)
    assert harness.listener.malformed_count == 1
