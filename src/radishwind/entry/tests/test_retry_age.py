"""Retries of callers are recognized by their shorter timeout."""

import random

import pytest

from radishwind.entry.retry_age import MAX_ROUTES
from radishwind.entry.retry_age import MIN_FIRST_FRACTION
from radishwind.entry.retry_age import RetryAgeEstimator
from radishwind.entry.retry_age import WINDOW_S


@pytest.fixture
def estimator():
    trained = RetryAgeEstimator()
    for i in range(100):
        trained.age_s("r", 1.2, i * 0.01)
    return trained


def test_first_request_has_no_age(estimator):
    assert estimator.age_s("r", 1.2, 1.0) == 0.0
    assert estimator.age_s("r", 1.19, 1.0) == 0.0


def test_age_of_a_retry_is_the_difference_of_the_timeouts(estimator):
    assert estimator.age_s("r", 0.9, 1.0) == pytest.approx(0.3)


def test_routes_are_independent(estimator):
    assert estimator.age_s("other", 0.9, 1.0) == 0.0


def test_callers_with_various_timeouts_do_not_count_as_retries():
    estimator = RetryAgeEstimator()
    rng = random.Random(1)
    ages = [
        estimator.age_s("r", rng.uniform(0.2, 2.0), i * 0.01)
        for i in range(600)
    ]

    assert set(ages[300:]) == {0.0}


def test_retries_are_recognized_if_they_are_nearly_half_of_the_requests():
    estimator = RetryAgeEstimator()
    rng = random.Random(1)
    timeouts_s = [1.2 if rng.random() < 0.6 else 0.8 for _ in range(2000)]
    ages = [estimator.age_s("r", t, i * 0.01) for i, t in enumerate(timeouts_s)]

    recognized = [
        a > 0 for a, t in zip(ages, timeouts_s, strict=True) if t == 0.8
    ]
    assert sum(recognized) >= 0.95 * len(recognized)
    assert MIN_FIRST_FRACTION < 0.6


def test_a_shorter_timeout_of_all_callers_is_learned(estimator):
    for i in range(200):
        estimator.age_s("r", 0.6, 2.0 + i * (2 * WINDOW_S / 199))

    assert estimator.age_s("r", 0.6, 3.0 + 2 * WINDOW_S) == 0.0
    assert estimator.age_s("r", 0.4, 3.0 + 2 * WINDOW_S) == pytest.approx(0.2)


def test_number_of_routes_remembered_is_bounded():
    estimator = RetryAgeEstimator()
    for i in range(MAX_ROUTES + 10):
        estimator.age_s(f"r{i}", 1.0, 0.0)

    assert len(estimator._timeouts) == MAX_ROUTES
