"""Calls that belong together draw one lot; others draw none."""

import random

import pytest

from radishwind.entry.fan_out import FanOutDetector
from radishwind.entry.fan_out import MOST_ROUTES


@pytest.fixture
def siblings():
    return FanOutDetector(random.Random(1))


def pairs(siblings, count, gap_s=0.0005, every_s=0.2):
    """Returns the lots of pairs that come together."""
    lots = []
    for i in range(count):
        now = i * every_s
        first = siblings.group_rank("r", 425, now)
        lots.append((first, siblings.group_rank("r", 425, now + gap_s)))
    return lots


def test_pairs_are_learned_and_draw_one_lot_each(siblings):
    lots = pairs(siblings, 60)

    assert lots[0] == (0.0, 0.0)
    assert all(a == b != 0.0 for a, b in lots[20:])
    assert len({a for a, _ in lots[20:]}) == 40
    assert all(-0.5 <= a <= 0.5 for a, _ in lots)


def test_requests_that_come_by_chance_draw_none(siblings):
    rng = random.Random(2)
    now, lots = 0.0, set()
    for _ in range(2000):
        now += rng.expovariate(20.0)
        lots.add(siblings.group_rank("r", 1000, now))

    assert lots == {0.0}


def test_other_time_left_means_others_made_them(siblings):
    for i in range(60):
        siblings.group_rank("r", 425, i * 0.2)
        siblings.group_rank("r", 300, i * 0.2 + 0.001)

    assert siblings.group_rank("r", 425, 100.0) == 0.0


def test_callers_that_stop_making_pairs_draw_none_after_a_while(siblings):
    pairs(siblings, 60)
    lots = [siblings.group_rank("r", 425, 100.0 + i * 0.2) for i in range(60)]

    assert set(lots[30:]) == {0.0}


def test_routes_are_forgotten_beyond_a_bound(siblings):
    for i in range(MOST_ROUTES + 5):
        siblings.group_rank(f"r{i}", 1, 0.0)

    assert len(siblings._groups) == MOST_ROUTES
