"""Health checks go to servers in use, or that will be used soon."""

import pytest

from radishwind.core import ManualClock
from radishwind.target.dialect import ServerLoad
from radishwind.target.load_monitor import FORGET_UNUSED_S
from radishwind.target.load_monitor import IDLE_REPORT_AGE_S
from radishwind.target.load_monitor import INITIAL_CHECK_INTERVAL_S
from radishwind.target.load_monitor import LEARNING_REPORT_AGE_S
from radishwind.target.load_monitor import LEARNING_S
from radishwind.target.load_monitor import LoadMonitor

INTERVAL_S = 0.15

#: Duration of a health check (s): 1 ms each way and 4 ms of work.
CHECK_DURATION_S = 0.006


class CheckedServer:
    """A server that changes pace on a grid, checked when that is due."""

    def __init__(self, learns=False, callers_come_at_once=False):
        self.clock = ManualClock()
        self.monitor = LoadMonitor(
            self.clock, lambda: learns, callers_come_at_once
        )
        self.checks = 0

    def pace(self):
        number = int(self.clock.monotonic() / INTERVAL_S)
        return 5.0 if number * 7 % 5 < 2 else 1.0

    def check(self):
        self.checks += 1
        self.monitor.record_check_sent()
        asked = self.clock.monotonic()
        self.clock.advance(CHECK_DURATION_S)
        self.monitor.record_load(ServerLoad(0, 0, 3, self.pace()), asked)

    def run(self, for_s):
        until = self.clock.monotonic() + for_s
        while self.clock.monotonic() < until:
            wait_s = self.monitor.next_check_s()
            if wait_s <= 0:
                self.check()
            self.clock.advance(max(wait_s, 0.001))


@pytest.fixture
def unused():
    return CheckedServer()


def test_unknown_server_is_checked_soon(unused):
    assert unused.monitor.next_check_s() <= INITIAL_CHECK_INTERVAL_S


def test_unused_server_is_checked_once(unused):
    unused.run(12.0)

    assert unused.checks == 1


def test_first_request_starts_the_checks(unused):
    unused.run(12.0)
    notified = []
    unused.monitor.subscribe_use(lambda: notified.append(True))

    unused.monitor.record_request()

    assert notified == [True]
    assert unused.monitor.next_check_s() <= LEARNING_REPORT_AGE_S


def test_expected_interval_is_confirmed_by_few_checks(unused):
    unused.run(5.0)
    unused.monitor.expect_interval(INTERVAL_S)
    unused.run(5.0)
    assert unused.checks == 1
    unused.monitor.record_request()

    unused.run(1.0)

    assert unused.monitor.change_grid.interval_s == pytest.approx(
        INTERVAL_S, abs=0.002
    )
    assert unused.checks <= 45


def test_node_that_learns_for_others_checks_before_there_are_callers():
    learner = CheckedServer(learns=True)

    learner.run(3.0)

    found_s = learner.monitor.change_grid.interval_s
    assert found_s == pytest.approx(INTERVAL_S, abs=0.002)


def test_grid_of_a_long_unused_server_is_forgotten():
    started = CheckedServer(learns=True)
    started.run(FORGET_UNUSED_S + 2.0)
    before = started.checks

    started.run(10.0)

    assert started.monitor.change_grid.interval_s == 0.0
    assert started.checks - before <= 10.0 / IDLE_REPORT_AGE_S + 1


def test_server_that_joins_a_system_in_use_is_checked():
    """Otherwise servers whose pace is known would always be preferred."""
    joined = CheckedServer(callers_come_at_once=True)

    joined.run(3.0)

    found_s = joined.monitor.change_grid.interval_s
    assert found_s == pytest.approx(INTERVAL_S, abs=0.002)


def test_callers_of_other_servers_start_the_checks_too(unused):
    unused.run(12.0)
    assert unused.checks == 1

    unused.monitor.record_callers_present()
    unused.run(3.0)

    found_s = unused.monitor.change_grid.interval_s
    assert found_s == pytest.approx(INTERVAL_S, abs=0.002)


def test_expected_interval_of_zero_starts_no_frequent_checks():
    """Nodes of a service without a grid report other findings, too."""
    steady = CheckedServer(callers_come_at_once=True)
    steady.pace = lambda: 1.0
    steady.run(LEARNING_S + 1.0)
    before = steady.checks

    steady.monitor.expect_interval(0.0)
    steady.run(2.0)

    assert steady.checks - before <= 2.0 / IDLE_REPORT_AGE_S + 1
