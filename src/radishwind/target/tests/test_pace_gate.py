"""Work waits for the next change point if it ends sooner that way."""

import pytest

from radishwind.admission.admission import Ticket
from radishwind.core import ManualClock
from radishwind.target.dialect import ServerLoad
from radishwind.target.load_monitor import BUSY_REPORT_AGE_S
from radishwind.target.load_monitor import IDLE_REPORT_AGE_S
from radishwind.target.load_monitor import LEARNING_REPORT_AGE_S
from radishwind.target.load_monitor import LEARNING_S
from radishwind.target.load_monitor import LoadMonitor
from radishwind.target.pace_gate import PaceGate

INTERVAL_S = 0.15


def load(pace, in_flight=0):
    return ServerLoad(in_flight, 0, 6, pace)


class Setup:
    """A monitor that has learned a grid with a change point at 0.0."""

    def __init__(self):
        self.clock = ManualClock()
        self.monitor = LoadMonitor(self.clock)
        self.monitor.record_load(load(1.0))
        self.monitor.change_grid.interval_s = INTERVAL_S
        self.gate = PaceGate(self.clock, self.monitor)

    def at(self, offset_s, pace, in_flight=0):
        self.clock.advance(INTERVAL_S + offset_s)
        self.monitor.record_load(load(pace, in_flight))

    def should_delay(self, normal_run_s, aim_s=0.3, deadline_s=1.0):
        now = self.clock.monotonic()
        return self.gate.should_delay(
            Ticket(
                "c", now + deadline_s, now, lambda: None,
                aim=now + aim_s, normal_run_s=normal_run_s,
            ),
            now,
        )  # fmt: skip


@pytest.fixture
def setup():
    return Setup()


def test_work_starts_at_the_normal_pace(setup):
    setup.at(0.01, 1.0)

    assert not setup.should_delay(0.09)


def test_long_work_waits_in_a_slow_interval(setup):
    setup.at(0.01, 5.0)

    assert setup.should_delay(0.09)


def test_short_work_starts_if_waiting_takes_longer(setup):
    setup.at(0.01, 5.0)

    assert not setup.should_delay(0.02, aim_s=0.05)


def test_work_that_meets_its_aim_anyway_starts(setup):
    setup.at(0.01, 5.0)

    assert not setup.should_delay(0.05, aim_s=0.5)


def test_work_that_meets_its_aim_waits_if_slots_are_scarce(setup):
    setup.at(0.01, 5.0, in_flight=3)

    assert setup.should_delay(0.05, aim_s=0.5)


def test_work_does_not_wait_past_its_deadline(setup):
    setup.at(0.01, 5.0)

    assert not setup.should_delay(0.09, deadline_s=0.2)


def test_work_waits_for_the_new_pace_after_a_change_point(setup):
    setup.at(0.01, 1.0)
    setup.clock.advance(INTERVAL_S - 0.005)

    assert setup.should_delay(0.09)
    setup.monitor.record_load(load(1.0))

    assert not setup.should_delay(0.09)


def test_work_starts_if_no_grid_is_known(setup):
    setup.monitor.change_grid.interval_s = 0.0
    setup.at(0.01, 5.0)

    assert not setup.should_delay(0.09)


def test_server_is_checked_only_if_its_report_is_old():
    clock = ManualClock()
    monitor = LoadMonitor(clock)
    monitor.record_load(load(1.0))
    assert monitor.next_check_s() == pytest.approx(LEARNING_REPORT_AGE_S)
    clock.advance(LEARNING_S)
    monitor.record_load(load(1.0))
    assert monitor.next_check_s() == pytest.approx(IDLE_REPORT_AGE_S)

    monitor.record_request()

    assert monitor.next_check_s() == pytest.approx(BUSY_REPORT_AGE_S)


def test_server_in_use_is_checked_once_per_change_point(setup):
    setup.at(0.01, 1.0)
    setup.monitor.record_request()

    due_s = setup.monitor.next_check_s()
    setup.clock.advance(due_s)

    assert due_s == pytest.approx(INTERVAL_S - 0.01 + 0.003)
    assert setup.monitor.next_check_s() < 1e-6
