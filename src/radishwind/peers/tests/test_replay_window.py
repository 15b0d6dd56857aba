"""Each sequence number of a sender is accepted once, in any order."""

from hypothesis import given
from hypothesis import strategies as st

from radishwind.peers.replay_window import ReplayGuard
from radishwind.peers.replay_window import ReplayWindow

WINDOW = 64


@given(st.lists(st.integers(0, 3 * WINDOW), max_size=60))
def test_no_number_is_accepted_twice(numbers):
    window = ReplayWindow(WINDOW)

    accepted = [number for number in numbers if window.add(number)]

    assert len(accepted) == len(set(accepted))


@given(st.permutations(range(40)), st.integers(0, 2**39))
def test_numbers_out_of_order_within_the_window_are_accepted(order, first):
    window = ReplayWindow(WINDOW)

    assert all(window.add(first + i) for i in order)


@given(st.lists(st.integers(0, 3 * WINDOW), min_size=1, max_size=60))
def test_window_matches_a_set_limited_to_recent_numbers(numbers):
    window, seen, highest = ReplayWindow(WINDOW), set(), -1
    for number in numbers:
        expected = number not in seen and number > highest - WINDOW
        highest = max(highest, number)
        seen.add(number)
        assert window.add(number) is expected


def test_number_below_the_window_is_not_accepted():
    window = ReplayWindow(WINDOW)
    window.add(WINDOW + 5)

    assert not window.add(5)
    assert window.add(6)


def test_senders_have_separate_windows_and_are_bounded():
    guard = ReplayGuard(WINDOW, limit=2)

    assert guard.add(b"a", 1)
    assert guard.add(b"b", 1)
    assert not guard.add(b"a", 1)
    assert guard.add(b"c", 1)
    assert not guard.add(b"b", 1)
