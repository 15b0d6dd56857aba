"""Run times are learned by route and follow changes."""

import random

import pytest

from radishwind.target.run_time_estimator import MAX_ROUTES
from radishwind.target.run_time_estimator import MIN_RUNS
from radishwind.target.run_time_estimator import RunTimeEstimator
from radishwind.target.run_time_estimator import UNKNOWN_RUN_TIME


def test_no_estimate_before_enough_runs():
    estimator = RunTimeEstimator()
    for _ in range(MIN_RUNS - 1):
        estimator.record_run("r", 0.5)

    assert (
        estimator.estimate("r")
        == estimator.estimate("other")
        == UNKNOWN_RUN_TIME
    )
    estimator.record_run("r", 0.5)
    assert estimator.estimate("r").likely_s == pytest.approx(0.5)


def test_about_four_runs_of_five_end_within_the_likely_time():
    estimator = RunTimeEstimator()
    rng = random.Random(1)
    within = []
    for i in range(3000):
        run_s = (
            0.1 * (5 if rng.random() < 0.25 else 1) * rng.gammavariate(9, 1 / 9)
        )
        if i > 100:
            within.append(run_s <= estimator.estimate("r").likely_s)
        estimator.record_run("r", run_s)

    assert 0.7 <= sum(within) / len(within) <= 0.9


def test_estimate_follows_a_change_of_run_times():
    estimator = RunTimeEstimator()
    for _ in range(50):
        estimator.record_run("r", 0.2)
    for _ in range(50):
        estimator.record_run("r", 0.8)

    assert estimator.estimate("r").likely_s == pytest.approx(0.8, abs=0.05)


def test_number_of_routes_is_bounded():
    estimator = RunTimeEstimator()
    for i in range(MAX_ROUTES + 3):
        estimator.record_run(f"r{i}", 0.1)

    assert len(estimator._routes) == MAX_ROUTES
