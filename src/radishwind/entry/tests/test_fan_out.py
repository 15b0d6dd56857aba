"""Calls of one fan-out share a random rank; other calls have none."""

import random

import pytest

from radishwind.entry.fan_out import FanOutDetector
from radishwind.entry.fan_out import MAX_ROUTES


@pytest.fixture
def detector():
    return FanOutDetector(random.Random(1))


def ranks_of_pairs(detector, count, gap_s=0.0005, every_s=0.2):
    """Returns the ranks of pairs of calls that arrive together."""
    ranks = []
    for i in range(count):
        now = i * every_s
        first = detector.group_rank("r", 425, now)
        ranks.append((first, detector.group_rank("r", 425, now + gap_s)))
    return ranks


def test_pairs_are_learned_and_share_one_rank_each(detector):
    ranks = ranks_of_pairs(detector, 60)

    assert ranks[0] == (0.0, 0.0)
    assert all(a == b != 0.0 for a, b in ranks[20:])
    assert len({a for a, _ in ranks[20:]}) == 40
    assert all(-0.5 <= a <= 0.5 for a, _ in ranks)


def test_independent_requests_have_no_rank(detector):
    rng = random.Random(2)
    now, ranks = 0.0, set()
    for _ in range(2000):
        now += rng.expovariate(20.0)
        ranks.add(detector.group_rank("r", 1000, now))

    assert ranks == {0.0}


def test_requests_with_different_times_left_are_not_one_fan_out(detector):
    for i in range(60):
        detector.group_rank("r", 425, i * 0.2)
        detector.group_rank("r", 300, i * 0.2 + 0.001)

    assert detector.group_rank("r", 425, 100.0) == 0.0


def test_ranks_end_after_the_fan_outs_of_a_route_end(detector):
    ranks_of_pairs(detector, 60)
    ranks = [detector.group_rank("r", 425, 100.0 + i * 0.2) for i in range(60)]

    assert set(ranks[30:]) == {0.0}


def test_number_of_routes_remembered_is_bounded(detector):
    for i in range(MAX_ROUTES + 5):
        detector.group_rank(f"r{i}", 1, 0.0)

    assert len(detector._groups) == MAX_ROUTES
