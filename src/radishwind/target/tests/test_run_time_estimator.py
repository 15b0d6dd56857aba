"""What runs take is learned by route, and forgotten as it changes."""

import random

import pytest

from radishwind.target.run_time_estimator import MAX_ROUTES
from radishwind.target.run_time_estimator import MIN_RUNS
from radishwind.target.run_time_estimator import RunTimeEstimator
from radishwind.target.run_time_estimator import UNKNOWN_RUN_TIME


def test_nothing_is_said_before_there_is_evidence():
    times = RunTimeEstimator()
    for _ in range(MIN_RUNS - 1):
        times.record_run("r", 0.5)

    assert times.estimate("r") == times.estimate("other") == UNKNOWN_RUN_TIME
    times.record_run("r", 0.5)
    assert times.estimate("r").likely_s == pytest.approx(0.5)


def test_four_runs_of_five_end_within_what_is_told():
    times = RunTimeEstimator()
    rng = random.Random(1)
    within = []
    for i in range(3000):
        run_s = (
            0.1 * (5 if rng.random() < 0.25 else 1) * rng.gammavariate(9, 1 / 9)
        )
        if i > 100:
            within.append(run_s <= times.estimate("r").likely_s)
        times.record_run("r", run_s)

    assert 0.7 <= sum(within) / len(within) <= 0.9


def test_it_follows_a_load_that_changes():
    times = RunTimeEstimator()
    for _ in range(50):
        times.record_run("r", 0.2)
    for _ in range(50):
        times.record_run("r", 0.8)

    assert times.estimate("r").likely_s == pytest.approx(0.8, abs=0.05)


def test_routes_are_forgotten_beyond_a_bound():
    times = RunTimeEstimator()
    for i in range(MAX_ROUTES + 3):
        times.record_run(f"r{i}", 0.1)

    assert len(times._routes) == MAX_ROUTES
