"""A number of a sender counts once, in whatever order numbers arrive."""

from hypothesis import given
from hypothesis import strategies as st

from radishwind.peers.replay_window import ReplayGuard
from radishwind.peers.replay_window import ReplayWindow

WINDOW = 64


@given(st.lists(st.integers(0, 3 * WINDOW), max_size=60))
def test_no_number_counts_twice(numbers):
    window = ReplayWindow(WINDOW)

    taken = [number for number in numbers if window.add(number)]

    assert len(taken) == len(set(taken))


@given(st.permutations(range(40)), st.integers(0, 2**39))
def test_what_arrives_out_of_order_within_the_window_counts(order, first):
    window = ReplayWindow(WINDOW)

    assert all(window.add(first + i) for i in order)


@given(st.lists(st.integers(0, 3 * WINDOW), min_size=1, max_size=60))
def test_it_agrees_with_a_set_that_forgets_what_is_old(numbers):
    window, seen, highest = ReplayWindow(WINDOW), set(), -1
    for number in numbers:
        expected = number not in seen and number > highest - WINDOW
        highest = max(highest, number)
        seen.add(number)
        assert window.add(number) is expected


def test_what_is_older_than_the_window_does_not_count():
    window = ReplayWindow(WINDOW)
    window.add(WINDOW + 5)

    assert not window.add(5)
    assert window.add(6)


def test_senders_are_told_apart_and_bounded():
    guard = ReplayGuard(WINDOW, limit=2)

    assert guard.add(b"a", 1)
    assert guard.add(b"b", 1)
    assert not guard.add(b"a", 1)
    assert guard.add(b"c", 1)
    assert not guard.add(b"b", 1)
