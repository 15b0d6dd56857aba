"""Learning the change points of the pace of an instance."""

import random

import pytest

from radishwind.target.change_grid import ChangeGrid

INTERVAL_S = 0.15


def simulate(grid, seed, check_s, until_s, interval_s=INTERVAL_S, phase_s=0.04):
    """Checks, about every `check_s`, a pace drawn at each change point."""
    rng = random.Random(seed)
    paces = {}
    before, at = None, 0.0
    while at < until_s:
        index = int((at - phase_s) // interval_s)
        pace = paces.setdefault(index, rng.random() < 0.35)
        if before is not None and pace != before[1]:
            grid.record_change(before[0], at)
        before = (at, pace)
        at += check_s * (0.5 + rng.random())
    return at


@pytest.mark.parametrize("seed", range(20))
def test_grid_is_learned_to_the_millisecond(seed):
    grid = ChangeGrid()

    now = simulate(grid, seed, 0.01, 12.0)

    assert grid.interval_s == pytest.approx(INTERVAL_S, abs=0.0008)
    off_s = (grid.last_change_point(now) - 0.04) % INTERVAL_S
    assert min(off_s, INTERVAL_S - off_s) < 0.006


@pytest.mark.parametrize("seed", range(20))
def test_coarse_checks_keep_a_learned_grid(seed):
    grid = ChangeGrid()
    simulate(grid, seed, 0.01, 4.0)
    learned_s = grid.interval_s

    now = simulate(grid, seed, 0.04, 30.0)

    assert learned_s
    assert grid.interval_s == pytest.approx(INTERVAL_S, abs=0.0008)
    off_s = (grid.last_change_point(now) - 0.04) % INTERVAL_S
    assert min(off_s, INTERVAL_S - off_s) < 0.012


@pytest.mark.parametrize("seed", range(10))
def test_interval_off_the_scheduler_step_is_learned(seed):
    grid = ChangeGrid()

    simulate(grid, seed, 0.01, 20.0, interval_s=0.1427)

    assert grid.interval_s == pytest.approx(0.1427, abs=0.0008)


@pytest.mark.parametrize("seed", range(10))
def test_random_changes_are_rarely_taken_for_a_grid(seed):
    rng = random.Random(seed)
    grid = ChangeGrid()
    at = 0.0
    known = 0
    for _ in range(200):
        at += 0.05 + rng.expovariate(1 / 0.15)
        grid.record_change(at - 0.005, at + 0.005)
        known += bool(grid.interval_s)

    assert known < 100
