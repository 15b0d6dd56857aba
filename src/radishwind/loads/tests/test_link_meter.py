"""A node knows what its link carries."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from radishwind.core.clock import ManualClock
from radishwind.loads.link_meter import LEAST_FREE_PART
from radishwind.loads.link_meter import LinkMeter


@pytest.fixture
def clock():
    return ManualClock()


def carry(meter, clock, bytes_per_s, for_s):
    for _ in range(round(for_s / 0.01)):
        meter.sent(int(bytes_per_s / 100))
        clock.advance(0.01)


def test_a_link_that_carries_half_its_rate_has_half_left(clock):
    meter = LinkMeter(8, clock)
    carry(meter, clock, 500_000, 2.0)

    assert meter.utilization() == pytest.approx(0.5, abs=0.06)
    assert meter.recent_utilization() == pytest.approx(0.5, abs=0.06)
    assert meter.free_kbps() == pytest.approx(4_000, rel=0.15)


def test_the_fuller_way_counts(clock):
    meter = LinkMeter(8, clock)
    meter.received(900_000)
    carry(meter, clock, 100_000, 0.9)

    assert meter.utilization() > 0.4


def test_a_burst_ends_in_a_second(clock):
    meter = LinkMeter(8, clock)
    carry(meter, clock, 1_000_000, 1.0)
    assert meter.utilization() > 0.8
    clock.advance(0.2)
    assert meter.recent_utilization() == 0
    clock.advance(0.9)

    assert meter.utilization() == 0


def test_a_full_link_is_never_told_as_none(clock):
    meter = LinkMeter(8, clock)
    carry(meter, clock, 10_000_000, 1.0)

    assert meter.free_kbps() == int(LEAST_FREE_PART * 8_000)


def test_an_unknown_link_is_told_as_unknown(clock):
    meter = LinkMeter(0, clock)
    meter.sent(1_000)

    assert meter.utilization() == 0
    assert meter.free_kbps() == 0


@given(
    st.lists(st.tuples(st.integers(0, 10**9), st.floats(0, 3.0)), max_size=60)
)
def test_use_stays_a_part_whatever_comes(moves):
    clock = ManualClock()
    meter = LinkMeter(10, clock)
    for size, pause_s in moves:
        meter.sent(size)
        clock.advance(pause_s)
        assert 0 <= meter.utilization() <= 1
        assert 0 <= meter.recent_utilization() <= 1
        assert meter.free_kbps() >= 1
    assert meter.sent_bytes == sum(size for size, _ in moves)
