"""Heartbeats wait for the leaving records only for a bounded time."""

import pytest

from radishwind.core import ManualClock
from radishwind.sidecar import leaving_records_loader
from radishwind.sidecar.leaving_records_loader import LeavingRecordsLoader

pytestmark = pytest.mark.anyio


class Records:
    """Fails to load `failures` times."""

    def __init__(self, clock, failures):
        self.clock = clock
        self.failures = failures
        self.loads = 0

    async def load(self):
        self.loads += 1
        self.clock.advance(0.2)
        return self.loads > self.failures


async def load(failures, *, first_start=False, nodes=1):
    clock = ManualClock()
    records = Records(clock, failures)
    loaded_at = []
    loader = LeavingRecordsLoader(
        clock=clock,
        records=records,
        first_start=first_start,
        node_count=lambda: nodes,
        on_loaded=lambda: loaded_at.append(clock.monotonic()),
    )
    began = clock.monotonic()
    await loader.run()
    assert loader.is_done
    assert len(loaded_at) == 1
    assert first_start or records.loads == failures + 1
    return records.loads, loaded_at[0] - began


@pytest.fixture(autouse=True)
def no_retry_delay(monkeypatch):
    monkeypatch.setattr(leaving_records_loader, "_RETRY_DELAY_S", 0.0)
    monkeypatch.setattr(leaving_records_loader, "_LATE_RETRY_DELAY_S", 0.0)


async def test_records_are_loaded_before_heartbeats_are_accepted():
    assert (await load(0))[0] == 1


async def test_load_is_retried():
    assert (await load(2))[0] == 3


async def test_first_start_loads_nothing():
    assert (await load(0, first_start=True))[0] == 0


async def test_node_with_peers_waits_a_short_time():
    assert (await load(99, nodes=3))[1] == pytest.approx(0.6)


async def test_node_alone_waits_longer_but_not_forever():
    assert (await load(99))[1] == pytest.approx(3.0)


async def test_records_are_loaded_even_after_heartbeats_were_accepted():
    loads, accepted_after_s = await load(20, nodes=3)

    assert accepted_after_s == pytest.approx(0.6)
    assert loads == 21
