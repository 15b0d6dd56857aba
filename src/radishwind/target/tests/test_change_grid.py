"""The moments at which the pace of an instance may change are learned."""

import random

import pytest

from radishwind.target.change_grid import ChangeGrid

PERIOD_S = 0.15


def play(clock, seed, look_s, until_s, period_s=PERIOD_S, phase_s=0.04):
    """Looks every `look_s` at a pace drawn anew at each moment of a grid."""
    rng = random.Random(seed)
    paces = {}
    before, at = None, 0.0
    while at < until_s:
        moment = int((at - phase_s) // period_s)
        pace = paces.setdefault(moment, rng.random() < 0.35)
        if before is not None and pace != before[1]:
            clock.record_change(before[0], at)
        before = (at, pace)
        at += look_s * (0.5 + rng.random())
    return at


@pytest.mark.parametrize("seed", range(20))
def test_a_grid_is_learned_to_the_millisecond(seed):
    clock = ChangeGrid()

    now = play(clock, seed, 0.01, 12.0)

    assert clock.interval_s == pytest.approx(PERIOD_S, abs=0.0008)
    off_s = (clock.last_change_point(now) - 0.04) % PERIOD_S
    assert min(off_s, PERIOD_S - off_s) < 0.006


@pytest.mark.parametrize("seed", range(20))
def test_coarse_looks_keep_a_learned_grid(seed):
    clock = ChangeGrid()
    play(clock, seed, 0.01, 4.0)
    learned_s = clock.interval_s

    now = play(clock, seed, 0.04, 30.0)

    assert learned_s
    assert clock.interval_s == pytest.approx(PERIOD_S, abs=0.0008)
    off_s = (clock.last_change_point(now) - 0.04) % PERIOD_S
    assert min(off_s, PERIOD_S - off_s) < 0.012


@pytest.mark.parametrize("seed", range(10))
def test_a_period_that_is_no_whole_one_is_learned_too(seed):
    clock = ChangeGrid()

    play(clock, seed, 0.01, 20.0, period_s=0.1427)

    assert clock.interval_s == pytest.approx(0.1427, abs=0.0008)


@pytest.mark.parametrize("seed", range(10))
def test_changes_at_random_are_no_grid(seed):
    rng = random.Random(seed)
    clock = ChangeGrid()
    at = 0.0
    known = 0
    for _ in range(200):
        at += 0.05 + rng.expovariate(1 / 0.15)
        clock.record_change(at - 0.005, at + 0.005)
        known += bool(clock.interval_s)

    assert known < 100
