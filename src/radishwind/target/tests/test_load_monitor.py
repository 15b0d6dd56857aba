"""Looks are spent on a server that is used, or for those who will use it."""

import pytest

from radishwind.core import ManualClock
from radishwind.target.dialect import ServerLoad
from radishwind.target.load_monitor import FORGET_UNUSED_S
from radishwind.target.load_monitor import IDLE_REPORT_AGE_S
from radishwind.target.load_monitor import INITIAL_CHECK_INTERVAL_S
from radishwind.target.load_monitor import LEARNING_REPORT_AGE_S
from radishwind.target.load_monitor import LEARNING_S
from radishwind.target.load_monitor import LoadMonitor

PERIOD_S = 0.15

#: From a look's sending to its answer: 1 ms each way and 4 ms of work (s).
LOOK_TAKES_S = 0.006


class Looking:
    """A server that changes its pace on a grid, looked at when that is due."""

    def __init__(self, learns=False, callers_come_at_once=False):
        self.clock = ManualClock()
        self.pulse = LoadMonitor(
            self.clock, lambda: learns, callers_come_at_once
        )
        self.checks = 0

    def pace(self):
        number = int(self.clock.monotonic() / PERIOD_S)
        return 5.0 if number * 7 % 5 < 2 else 1.0

    def look(self):
        self.checks += 1
        self.pulse.record_check_sent()
        asked = self.clock.monotonic()
        self.clock.advance(LOOK_TAKES_S)
        self.pulse.record_load(ServerLoad(0, 0, 3, self.pace()), asked)

    def run(self, for_s):
        until = self.clock.monotonic() + for_s
        while self.clock.monotonic() < until:
            wait_s = self.pulse.next_check_s()
            if wait_s <= 0:
                self.look()
            self.clock.advance(max(wait_s, 0.001))


@pytest.fixture
def spared():
    return Looking()


def test_an_unknown_server_is_looked_for(spared):
    assert spared.pulse.next_check_s() <= INITIAL_CHECK_INTERVAL_S


def test_a_server_that_nobody_uses_is_looked_at_once(spared):
    spared.run(12.0)

    assert spared.checks == 1


def test_its_first_request_begins_the_looks(spared):
    spared.run(12.0)
    woken = []
    spared.pulse.subscribe_use(lambda: woken.append(True))

    spared.pulse.record_request()

    assert woken == [True]
    assert spared.pulse.next_check_s() <= LEARNING_REPORT_AGE_S


def test_what_others_found_is_seen_by_few_looks(spared):
    spared.run(5.0)
    spared.pulse.expect_interval(PERIOD_S)
    spared.run(5.0)
    assert spared.checks == 1
    spared.pulse.record_request()

    spared.run(1.0)

    assert spared.pulse.change_grid.interval_s == pytest.approx(
        PERIOD_S, abs=0.002
    )
    assert spared.checks <= 45


def test_who_learns_for_others_looks_before_there_are_callers():
    learner = Looking(learns=True)

    learner.run(3.0)

    found_s = learner.pulse.change_grid.interval_s
    assert found_s == pytest.approx(PERIOD_S, abs=0.002)


def test_a_server_long_unused_is_learned_anew():
    started = Looking(learns=True)
    started.run(FORGET_UNUSED_S + 2.0)
    before = started.checks

    started.run(10.0)

    assert started.pulse.change_grid.interval_s == 0.0
    assert started.checks - before <= 10.0 / IDLE_REPORT_AGE_S + 1


def test_a_server_that_joins_a_system_in_use_is_looked_at():
    """Unseen, it would look worse than all whose good spells are known."""
    joined = Looking(callers_come_at_once=True)

    joined.run(3.0)

    found_s = joined.pulse.change_grid.interval_s
    assert found_s == pytest.approx(PERIOD_S, abs=0.002)


def test_callers_of_others_begin_the_looks_too(spared):
    spared.run(12.0)
    assert spared.checks == 1

    spared.pulse.record_callers_present()
    spared.run(3.0)

    found_s = spared.pulse.change_grid.interval_s
    assert found_s == pytest.approx(PERIOD_S, abs=0.002)


def test_word_that_tells_no_period_begins_no_close_looks():
    """A service without a grid may still tell how many at once are best."""
    steady = Looking(callers_come_at_once=True)
    steady.pace = lambda: 1.0
    steady.run(LEARNING_S + 1.0)
    before = steady.checks

    steady.pulse.expect_interval(0.0)
    steady.run(2.0)

    assert steady.checks - before <= 2.0 / IDLE_REPORT_AGE_S + 1
