"""The utilization and free capacity of a link are measured."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from radishwind.core.clock import ManualClock
from radishwind.loads.link_meter import LinkMeter
from radishwind.loads.link_meter import MIN_FREE_FRACTION


@pytest.fixture
def clock():
    return ManualClock()


def transmit(meter, clock, bytes_per_s, duration_s):
    for _ in range(round(duration_s / 0.01)):
        meter.record_sent(int(bytes_per_s / 100))
        clock.advance(0.01)


def test_half_used_link_has_half_of_its_capacity_free(clock):
    meter = LinkMeter(8, clock)
    transmit(meter, clock, 500_000, 2.0)

    assert meter.utilization() == pytest.approx(0.5, abs=0.06)
    assert meter.recent_utilization() == pytest.approx(0.5, abs=0.06)
    assert meter.free_kbps() == pytest.approx(4_000, rel=0.15)


def test_busier_direction_determines_the_utilization(clock):
    meter = LinkMeter(8, clock)
    meter.record_received(900_000)
    transmit(meter, clock, 100_000, 0.9)

    assert meter.utilization() > 0.4


def test_burst_is_forgotten_after_a_second(clock):
    meter = LinkMeter(8, clock)
    transmit(meter, clock, 1_000_000, 1.0)
    assert meter.utilization() > 0.8
    clock.advance(0.2)
    assert meter.recent_utilization() == 0
    clock.advance(0.9)

    assert meter.utilization() == 0


def test_full_link_still_reports_some_free_capacity(clock):
    meter = LinkMeter(8, clock)
    transmit(meter, clock, 10_000_000, 1.0)

    assert meter.free_kbps() == int(MIN_FREE_FRACTION * 8_000)


def test_link_of_unknown_rate_reports_zero(clock):
    meter = LinkMeter(0, clock)
    meter.record_sent(1_000)

    assert meter.utilization() == 0
    assert meter.free_kbps() == 0


@given(
    st.lists(st.tuples(st.integers(0, 10**9), st.floats(0, 3.0)), max_size=60)
)
def test_utilization_stays_between_zero_and_one(transfers):
    clock = ManualClock()
    meter = LinkMeter(10, clock)
    for size, pause_s in transfers:
        meter.record_sent(size)
        clock.advance(pause_s)
        assert 0 <= meter.utilization() <= 1
        assert 0 <= meter.recent_utilization() <= 1
        assert meter.free_kbps() >= 1
    assert meter.sent_bytes == sum(size for size, _ in transfers)
