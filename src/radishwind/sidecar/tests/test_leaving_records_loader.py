"""Heartbeats wait for the records of before, but not for good."""

import pytest

from radishwind.core import ManualClock
from radishwind.sidecar import leaving_records_loader
from radishwind.sidecar.leaving_records_loader import LeavingRecordsLoader

pytestmark = pytest.mark.anyio


class Records:
    """Cannot be read `fails` times."""

    def __init__(self, clock, fails):
        self.clock = clock
        self.fails = fails
        self.reads = 0

    async def load(self):
        self.reads += 1
        self.clock.advance(0.2)
        return self.reads > self.fails


async def learn(fails, *, first_start=False, nodes=1):
    clock = ManualClock()
    kept = Records(clock, fails)
    told = []
    start = LeavingRecordsLoader(
        clock=clock,
        records=kept,
        first_start=first_start,
        node_count=lambda: nodes,
        learned=lambda: told.append(clock.monotonic()),
    )
    began = clock.monotonic()
    await start.run()
    assert start.known
    assert len(told) == 1
    return kept.reads, told[0] - began


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(leaving_records_loader, "_AGAIN_S", 0.0)


async def test_they_are_read_before_a_heartbeat_is_taken():
    assert (await learn(0))[0] == 1


async def test_a_store_that_fails_is_asked_again():
    assert (await learn(2))[0] == 3


async def test_at_the_first_start_of_all_there_are_none():
    assert (await learn(0, first_start=True))[0] == 0


async def test_peers_tell_them_where_the_store_is_away():
    assert (await learn(99, nodes=3))[1] == pytest.approx(0.6)


async def test_a_node_alone_waits_longer_and_not_for_good():
    assert (await learn(99))[1] == pytest.approx(3.0)
