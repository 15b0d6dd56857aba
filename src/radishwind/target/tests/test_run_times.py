"""What runs take is learned by route, and forgotten as it changes."""

import random

import pytest

from radishwind.target.run_times import LEAST_RUNS
from radishwind.target.run_times import MOST_ROUTES
from radishwind.target.run_times import RunTimes
from radishwind.target.run_times import UNKNOWN_RUN


def test_nothing_is_said_before_there_is_evidence():
    times = RunTimes()
    for _ in range(LEAST_RUNS - 1):
        times.took("r", 0.5)

    assert times.expected("r") == times.expected("other") == UNKNOWN_RUN
    times.took("r", 0.5)
    assert times.expected("r").likely_s == pytest.approx(0.5)


def test_four_runs_of_five_end_within_what_is_told():
    times = RunTimes()
    rng = random.Random(1)
    within = []
    for i in range(3000):
        run_s = (
            0.1 * (5 if rng.random() < 0.25 else 1) * rng.gammavariate(9, 1 / 9)
        )
        if i > 100:
            within.append(run_s <= times.expected("r").likely_s)
        times.took("r", run_s)

    assert 0.7 <= sum(within) / len(within) <= 0.9


def test_it_follows_a_load_that_changes():
    times = RunTimes()
    for _ in range(50):
        times.took("r", 0.2)
    for _ in range(50):
        times.took("r", 0.8)

    assert times.expected("r").likely_s == pytest.approx(0.8, abs=0.05)


def test_routes_are_forgotten_beyond_a_bound():
    times = RunTimes()
    for i in range(MOST_ROUTES + 3):
        times.took(f"r{i}", 0.1)

    assert len(times._taken) == MOST_ROUTES
