"""Callers that come back are known by the time that they have left."""

import random

import pytest

from radishwind.entry.retry_age import LEAST_FRESH
from radishwind.entry.retry_age import MOST_ROUTES
from radishwind.entry.retry_age import RetryAgeEstimator
from radishwind.entry.retry_age import SPAN_S


@pytest.fixture
def returns():
    made = RetryAgeEstimator()
    for i in range(100):
        made.age_s("r", 1.2, i * 0.01)
    return made


def test_one_that_was_not_sent_before_has_no_age(returns):
    assert returns.age_s("r", 1.2, 1.0) == 0.0
    assert returns.age_s("r", 1.19, 1.0) == 0.0


def test_one_that_returns_is_as_old_as_its_time_is_short(returns):
    assert returns.age_s("r", 0.9, 1.0) == pytest.approx(0.3)


def test_another_route_tells_nothing(returns):
    assert returns.age_s("other", 0.9, 1.0) == 0.0


def test_callers_that_wait_for_different_times_are_not_taken_for_returns():
    made = RetryAgeEstimator()
    rng = random.Random(1)
    ages = [
        made.age_s("r", rng.uniform(0.2, 2.0), i * 0.01) for i in range(600)
    ]

    assert set(ages[300:]) == {0.0}


def test_in_an_overload_in_which_half_return_they_are_still_known():
    made = RetryAgeEstimator()
    rng = random.Random(1)
    told = [1.2 if rng.random() < 0.6 else 0.8 for _ in range(2000)]
    ages = [made.age_s("r", t, i * 0.01) for i, t in enumerate(told)]

    known = [a > 0 for a, t in zip(ages, told, strict=True) if t == 0.8]
    assert sum(known) >= 0.95 * len(known)
    assert LEAST_FRESH < 0.6


def test_a_shorter_wait_of_all_is_learned_anew(returns):
    for i in range(200):
        returns.age_s("r", 0.6, 2.0 + i * (2 * SPAN_S / 199))

    assert returns.age_s("r", 0.6, 3.0 + 2 * SPAN_S) == 0.0
    assert returns.age_s("r", 0.4, 3.0 + 2 * SPAN_S) == pytest.approx(0.2)


def test_routes_are_forgotten_beyond_a_bound():
    made = RetryAgeEstimator()
    for i in range(MOST_ROUTES + 10):
        made.age_s(f"r{i}", 1.0, 0.0)

    assert len(made._waits) == MOST_ROUTES
