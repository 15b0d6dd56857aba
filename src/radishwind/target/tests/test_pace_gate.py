"""Work waits for the next moment of change where it ends sooner so."""

import pytest

from radishwind.admission.gate import Ticket
from radishwind.core import ManualClock
from radishwind.target.dialect import ServerLoad
from radishwind.target.load_monitor import BUSY_REPORT_AGE_S
from radishwind.target.load_monitor import IDLE_REPORT_AGE_S
from radishwind.target.load_monitor import LEARNING_REPORT_AGE_S
from radishwind.target.load_monitor import LEARNING_S
from radishwind.target.load_monitor import LoadMonitor
from radishwind.target.pace_gate import PaceGate

PERIOD_S = 0.15


def load(pace, in_flight=0):
    return ServerLoad(in_flight, 0, 6, pace)


class Setup:
    """A pulse that has learned a grid with a moment at 0.0."""

    def __init__(self):
        self.clock = ManualClock()
        self.pulse = LoadMonitor(self.clock)
        self.pulse.record_load(load(1.0))
        self.pulse.change_grid.interval_s = PERIOD_S
        self.gate = PaceGate(self.clock, self.pulse)

    def at(self, offset_s, pace, in_flight=0):
        self.clock.advance(PERIOD_S + offset_s)
        self.pulse.record_load(load(pace, in_flight))

    def holds(self, work_s, aim_s=0.3, deadline_s=1.0):
        now = self.clock.monotonic()
        return self.gate.holds(
            Ticket(
                "c", now + deadline_s, now, lambda: None,
                aim=now + aim_s, work_s=work_s,
            ),
            now,
        )  # fmt: skip


@pytest.fixture
def setup():
    return Setup()


def test_nothing_waits_at_the_usual_pace(setup):
    setup.at(0.01, 1.0)

    assert not setup.holds(0.09)


def test_long_work_waits_in_a_slow_spell(setup):
    setup.at(0.01, 5.0)

    assert setup.holds(0.09)


def test_short_work_begins_where_waiting_takes_longer(setup):
    setup.at(0.01, 5.0)

    assert not setup.holds(0.02, aim_s=0.05)


def test_work_that_meets_its_aim_all_the_same_begins(setup):
    setup.at(0.01, 5.0)

    assert not setup.holds(0.05, aim_s=0.5)


def test_it_waits_all_the_same_where_slots_are_scarce(setup):
    setup.at(0.01, 5.0, in_flight=3)

    assert setup.holds(0.05, aim_s=0.5)


def test_work_does_not_wait_past_its_deadline(setup):
    setup.at(0.01, 5.0)

    assert not setup.holds(0.09, deadline_s=0.2)


def test_past_a_moment_of_change_the_new_pace_is_waited_for(setup):
    setup.at(0.01, 1.0)
    setup.clock.advance(PERIOD_S - 0.005)

    assert setup.holds(0.09)
    setup.pulse.record_load(load(1.0))

    assert not setup.holds(0.09)


def test_without_a_grid_nothing_waits(setup):
    setup.pulse.change_grid.interval_s = 0.0
    setup.at(0.01, 5.0)

    assert not setup.holds(0.09)


def test_a_server_is_asked_into_silence_only():
    clock = ManualClock()
    pulse = LoadMonitor(clock)
    pulse.record_load(load(1.0))
    assert pulse.next_check_s() == pytest.approx(LEARNING_REPORT_AGE_S)
    clock.advance(LEARNING_S)
    pulse.record_load(load(1.0))
    assert pulse.next_check_s() == pytest.approx(IDLE_REPORT_AGE_S)

    pulse.record_request()

    assert pulse.next_check_s() == pytest.approx(BUSY_REPORT_AGE_S)


def test_with_a_grid_a_server_in_use_is_asked_once_a_moment(setup):
    setup.at(0.01, 1.0)
    setup.pulse.record_request()

    due_s = setup.pulse.next_check_s()
    setup.clock.advance(due_s)

    assert due_s == pytest.approx(PERIOD_S - 0.01 + 0.003)
    assert setup.pulse.next_check_s() < 1e-6
