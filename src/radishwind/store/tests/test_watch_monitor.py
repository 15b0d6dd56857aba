"""A watch that stays silent about a known change is found to be dead."""

import pytest

from radishwind.core import ManualClock
from radishwind.store.position import StorePosition
from radishwind.store.watch_monitor import MAX_LAG_S
from radishwind.store.watch_monitor import WatchMonitor


class Watch:
    """A monitor of a watch that was opened at revision 5, version 3."""

    def __init__(self):
        self.clock = ManualClock()
        self.monitor = WatchMonitor(self.clock)
        self.monitor.record_reported(StorePosition(0, 5), version=3)
        self.monitor.record_start(StorePosition(0, 5))


@pytest.fixture
def watch():
    return Watch()


def test_silence_alone_is_no_sign_of_a_missed_change(watch):
    watch.clock.advance(3600.0)

    assert not watch.monitor.has_missed_change()
    assert watch.monitor.quiet_s() == 3600.0


@pytest.mark.parametrize(
    "known", [{"version": 4}, {"position": StorePosition(0, 6)}]
)
def test_change_known_from_elsewhere_must_be_reported_in_time(watch, known):
    watch.monitor.record_known(**known)
    assert not watch.monitor.has_missed_change()

    watch.clock.advance(MAX_LAG_S)

    assert watch.monitor.has_missed_change()


def test_further_changes_do_not_extend_the_time(watch):
    for version in range(4, 10):
        watch.monitor.record_known(version=version)
        watch.clock.advance(MAX_LAG_S / 4)

    assert watch.monitor.has_missed_change()


def test_reported_change_is_not_missed(watch):
    watch.monitor.record_known(StorePosition(0, 6), version=4)
    watch.monitor.record_reported(StorePosition(0, 6), version=4)
    watch.clock.advance(10 * MAX_LAG_S)

    assert not watch.monitor.has_missed_change()


def test_new_watch_gets_the_whole_time(watch):
    watch.monitor.record_known(version=4)
    watch.clock.advance(MAX_LAG_S)
    watch.monitor.record_end(is_replaced=True)
    assert not watch.monitor.has_missed_change()
    watch.monitor.record_start(StorePosition(0, 5))

    assert not watch.monitor.has_missed_change()
    watch.clock.advance(MAX_LAG_S)
    assert watch.monitor.has_missed_change()
    assert watch.monitor.replaced_count == 1


def test_watch_from_before_a_moment_is_older(watch):
    watch.clock.advance(1.0)

    assert watch.monitor.is_older_than(watch.clock.monotonic())
    assert not watch.monitor.is_older_than(watch.clock.monotonic() - 2.0)
