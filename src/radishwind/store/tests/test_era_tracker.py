"""Only a valid and later era of the store changes anything."""

import pytest

from radishwind.core import ManualClock
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.base import StoreAnswerMalformedError
from radishwind.store.era_tracker import EraTracker
from radishwind.store.position import MAX_ERA
from radishwind.store.position import MAX_REVISION
from radishwind.store.position import StorePosition


@pytest.fixture
def eras():
    tracker = EraTracker(ManualClock())
    tracker.calls = 0

    def count():
        tracker.calls += 1

    tracker.subscribe(count)
    return tracker


def test_first_era_stated_is_no_change(eras):
    assert eras.observe("3") == 3
    assert eras.observe("3") == 3
    assert eras.calls == 0


def test_each_rise_is_a_change(eras):
    for text in ("1", "2", "2", "7"):
        eras.observe(text)
    assert (eras.era, eras.calls, eras.change_count) == (7, 2, 2)


def test_store_that_states_no_era_stays_in_the_first(eras):
    assert eras.observe(None) == 0
    assert eras.observe(None) == 0
    assert eras.calls == 0


def test_answer_of_an_earlier_era_is_lost(eras):
    eras.observe("2")
    with pytest.raises(StoreAnswerLostError):
        eras.observe("1")
    assert (eras.era, eras.calls, eras.refused_count) == (2, 0, 1)


@pytest.mark.parametrize(
    "text",
    [None, "", "x", "-1", "1.5", "٣", str(MAX_ERA + 1), "9" * 5000],
)
def test_malformed_or_missing_era_changes_nothing(eras, text):
    eras.observe("2")
    with pytest.raises(StoreAnswerMalformedError):
        eras.observe(text)
    assert (eras.era, eras.calls, eras.refused_count) == (2, 0, 1)


def test_positions_are_ordered_by_era_first():
    positions = [
        StorePosition(0, 0),
        StorePosition(0, MAX_REVISION),
        StorePosition(1, 0),
        StorePosition(1, 7),
        StorePosition(MAX_ERA, 1),
    ]
    assert sorted(positions) == positions
    numbers = [p.number for p in positions]
    assert sorted(numbers) == numbers
    assert [StorePosition.from_number(n) for n in numbers] == positions
    assert numbers[-1] < 2**53
