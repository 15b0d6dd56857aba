"""Tests with simulated servers, some of which slow down beyond a knee."""

import random

import pytest

from radishwind.admission.concurrency_estimator import CompletedRun
from radishwind.admission.concurrency_estimator import ConcurrencyEstimator
from radishwind.admission.concurrency_estimator import Knee

SLOTS = 9
NORMAL_RUN_S = 0.1


class Server:
    """Runs take `slowdown` times as long beyond `knee` in progress."""

    def __init__(self, seed, knee=SLOTS, slowdown=1.0, spread=0.3):
        self.rng = random.Random(seed)
        self.knee = knee
        self.slowdown = slowdown
        self.spread = spread
        self.now = 0.0
        self.normal_run_s = NORMAL_RUN_S
        self.estimator = ConcurrencyEstimator()
        self.estimator.best_concurrency(SLOTS)

    def run(self, number):
        duration_s = self.normal_run_s * self.rng.lognormvariate(0, self.spread)
        if number > self.knee:
            duration_s *= self.slowdown
        self.now += duration_s / number
        self.estimator.record_run(
            CompletedRun(number, NORMAL_RUN_S, duration_s), self.now
        )

    def overload(self, length_s):
        """Runs as many requests as allowed; returns the numbers used."""
        until = self.now + length_s
        numbers = []
        while self.now < until:
            number = self.estimator.best_concurrency(SLOTS)
            number += self.estimator.is_probe_due(self.now)
            numbers.append(number)
            self.run(number)
        return numbers


def test_all_slots_are_used_until_first_run():
    server = Server(1)
    assert server.estimator.best_concurrency(SLOTS) == SLOTS

    server.now = 1.0
    server.run(SLOTS)

    assert server.estimator.best_concurrency(SLOTS) == 7


def fraction(numbers, wanted):
    """Returns the fraction of the runs with a wanted number in progress."""
    return sum(number in wanted for number in numbers) / len(numbers)


@pytest.mark.parametrize("seed", range(20))
def test_knee_is_found_within_seconds_of_overload(seed):
    server = Server(seed, knee=7, slowdown=1.7)

    server.overload(3.0)
    later = server.overload(20.0)

    assert fraction(later, (6, 7)) >= 0.8
    assert fraction(later, (8, 9)) <= 0.17


@pytest.mark.parametrize("seed", range(20))
def test_throughput_under_overload_exceeds_that_of_all_slots(seed):
    server = Server(seed, knee=7, slowdown=1.7)

    completed = len(server.overload(20.0))

    with_all_slots = 20.0 * SLOTS / (NORMAL_RUN_S * 1.7)
    assert completed > 1.15 * with_all_slots


@pytest.mark.parametrize("seed", range(20))
def test_server_without_knee_keeps_all_slots(seed):
    server = Server(seed)

    server.overload(2.0)
    later = server.overload(30.0)

    assert fraction(later, (SLOTS,)) >= 0.97


@pytest.mark.parametrize("seed", range(10))
def test_all_slots_are_used_again_after_knee_disappears(seed):
    server = Server(seed, knee=6, slowdown=2.0)
    server.overload(6.0)
    assert fraction(server.overload(4.0), (8, 9)) <= 0.2

    server.slowdown = 1.0
    server.overload(30.0)

    assert fraction(server.overload(10.0), (SLOTS,)) >= 0.9


@pytest.mark.parametrize("seed", range(10))
def test_random_changes_of_run_times_cost_one_ninth_at_most(seed):
    server = Server(seed, spread=0.6)
    for _ in range(20):
        server.overload(0.7)
        server.knee = 0
        server.slowdown = server.rng.choice((1.0, 3.0))

    server.slowdown = 1.0
    later = server.overload(20.0)

    assert sum(later) / len(later) >= 8 / 9 * SLOTS


@pytest.mark.parametrize("seed", range(10))
def test_longer_runs_during_overloads_are_not_a_knee(seed):
    """For example if a service that they call is overloaded as well."""
    server = Server(seed)
    numbers = []
    for _ in range(8):
        server.slowdown, server.knee = 1.0, SLOTS
        for _ in range(60):
            server.run(server.rng.randint(1, 5))
        server.slowdown, server.knee = 2.0, 0
        numbers += server.overload(4.0)

    assert sum(numbers) / len(numbers) >= 8 / 9 * SLOTS


@pytest.mark.parametrize("seed", range(10))
def test_knee_is_found_during_warmup(seed):
    server = Server(seed, knee=7, slowdown=1.7)
    for step in range(30):
        server.normal_run_s = NORMAL_RUN_S * (2 - step / 30)
        server.overload(0.1)

    assert fraction(server.overload(2.0), (8, 9)) <= 0.25


def test_reset_discards_knee_of_previous_server():
    server = Server(1, knee=6, slowdown=2.0)
    server.overload(10.0)

    server.estimator.reset()
    server.slowdown = 1.0
    server.overload(2.0)

    assert fraction(server.overload(4.0), (SLOTS,)) >= 0.9


@pytest.mark.parametrize("seed", range(5))
def test_prior_holds_while_no_run_contradicts_it(seed):
    server = Server(seed, knee=7, slowdown=1.7)
    server.now = 1_000_000.0
    server.estimator.set_prior(Knee(7 / 9, 1.7))

    numbers = server.overload(3.0)

    assert fraction(numbers, (7, 8)) == 1.0
    assert fraction(numbers, (8,)) <= 0.06


def test_runs_without_expected_time_are_ignored():
    estimator = ConcurrencyEstimator()
    before = estimator.best_concurrency(SLOTS)

    for i in range(100):
        estimator.record_run(CompletedRun(9, 0.0, 0.1), i * 0.1)

    assert estimator.best_concurrency(SLOTS) == before
