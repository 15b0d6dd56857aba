"""What the server beside tells, before and after the records are known."""

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
        self.kept = []
        self.keeps = True

    async def persist(self, life, within_s):
        self.kept.append(life)
        return self.keeps


class Stage:
    def __init__(self, known=True):
        clock = ManualClock()
        self.known = known
        self.records = Records()
        self.server = RegisteredServer(
            "t", "s", Address("10.0.0.9", 80), clock, lambda ready: None
        )
        self.listener = HeartbeatListener(
            clock=clock,
            register=self.server.register,
            meant_by=self.server.resolve,
            serves=lambda service: service == "s",
            records=self.records,
            known=lambda: self.known,
        )

    async def beat(self, started_ms, seq=1, **other):
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


async def test_a_heartbeat_waits_until_the_records_are_known():
    stage = Stage(known=False)

    assert await stage.beat(FIRST) == 200
    assert stage.server.incarnation == ""
    stage.listener.records_known()

    assert stage.server.process == ServerProcess("i-1", FIRST)


async def test_one_that_ends_before_is_the_one_that_waits():
    stage = Stage(known=False)
    await stage.beat(FIRST)

    assert await stage.deregister() == 200
    stage.listener.records_known()

    assert stage.records.kept == [ServerProcess("i-1", FIRST)]
    assert stage.server.incarnation == ""
    stage.known = True
    assert await stage.beat(SECOND) == 200
    assert stage.server.process == ServerProcess("i-1", SECOND)


async def test_leaving_is_acknowledged_once_the_word_is_kept():
    stage = Stage()
    await stage.beat(FIRST)
    stage.records.keeps = False

    assert await stage.beat(FIRST, 2, state="draining") == 503
    assert stage.server.is_draining
    stage.records.keeps = True

    assert await stage.beat(FIRST, 3, state="draining") == 200


@pytest.mark.parametrize(
    "wrong", [{"service": "other"}, {"state": "asleep"}, {"slots": "six"}]
)
async def test_a_word_of_another_writer_is_counted_and_changes_nothing(wrong):
    stage = Stage()
    await stage.beat(FIRST)

    assert await stage.beat(SECOND, **wrong) >= 400

    assert stage.server.process == ServerProcess("i-1", FIRST)
    assert stage.listener.malformed == 1
