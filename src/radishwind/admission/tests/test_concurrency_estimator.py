"""How many at once: servers with and without a number beyond which all slow."""

import random

import pytest

from radishwind.admission.concurrency_estimator import CompletedRun
from radishwind.admission.concurrency_estimator import ConcurrencyEstimator
from radishwind.admission.concurrency_estimator import Knee

SLOTS = 9
USUAL_S = 0.1


class Server:
    """Runs beyond `knee` at once take `slower` times as long."""

    def __init__(self, seed, knee=SLOTS, slower=1.0, spread=0.3):
        self.rng = random.Random(seed)
        self.knee = knee
        self.slower = slower
        self.spread = spread
        self.now = 0.0
        self.usual_s = USUAL_S
        self.learner = ConcurrencyEstimator()
        self.learner.best_concurrency(SLOTS)

    def run(self, number):
        took_s = self.usual_s * self.rng.lognormvariate(0, self.spread)
        if number > self.knee:
            took_s *= self.slower
        self.now += took_s / number
        self.learner.record_run(CompletedRun(number, USUAL_S, took_s), self.now)

    def overload(self, for_s):
        """Fills whatever is allowed; returns the numbers in use."""
        until = self.now + for_s
        numbers = []
        while self.now < until:
            number = self.learner.best_concurrency(SLOTS)
            number += self.learner.is_probe_due(self.now)
            numbers.append(number)
            self.run(number)
        return numbers


def test_it_begins_with_every_slot_and_tries_fewer_from_the_first_run_on():
    server = Server(1)
    assert server.learner.best_concurrency(SLOTS) == SLOTS

    server.now = 1.0
    server.run(SLOTS)

    assert server.learner.best_concurrency(SLOTS) == 7


def part(numbers, wanted):
    """Returns the part of the runs that began with a wanted number."""
    return sum(number in wanted for number in numbers) / len(numbers)


@pytest.mark.parametrize("seed", range(20))
def test_a_knee_is_found_within_seconds_of_an_overload(seed):
    server = Server(seed, knee=7, slower=1.7)

    server.overload(3.0)
    later = server.overload(20.0)

    assert part(later, (6, 7)) >= 0.8
    assert part(later, (8, 9)) <= 0.17


@pytest.mark.parametrize("seed", range(20))
def test_an_overload_ends_more_requests_than_with_every_slot_in_use(seed):
    server = Server(seed, knee=7, slower=1.7)

    ended = len(server.overload(20.0))

    every_slot = 20.0 * SLOTS / (USUAL_S * 1.7)
    assert ended > 1.15 * every_slot


@pytest.mark.parametrize("seed", range(20))
def test_a_server_without_a_knee_keeps_all_its_slots(seed):
    server = Server(seed)

    server.overload(2.0)
    later = server.overload(30.0)

    assert part(later, (SLOTS,)) >= 0.97


@pytest.mark.parametrize("seed", range(10))
def test_a_server_that_got_rid_of_its_knee_gets_its_slots_back(seed):
    server = Server(seed, knee=6, slower=2.0)
    server.overload(6.0)
    assert part(server.overload(4.0), (8, 9)) <= 0.2

    server.slower = 1.0
    server.overload(30.0)

    assert part(server.overload(10.0), (SLOTS,)) >= 0.9


@pytest.mark.parametrize("seed", range(10))
def test_run_times_that_change_by_themselves_cost_a_ninth_at_most(seed):
    server = Server(seed, spread=0.6)
    for _ in range(20):
        server.overload(0.7)
        server.knee = 0
        server.slower = server.rng.choice((1.0, 3.0))

    server.slower = 1.0
    later = server.overload(20.0)

    assert sum(later) / len(later) >= 8 / 9 * SLOTS


@pytest.mark.parametrize("seed", range(10))
def test_runs_that_take_longer_whenever_much_comes_are_no_knee(seed):
    """As where a service that is called has its overload at the same time."""
    server = Server(seed)
    numbers = []
    for _ in range(8):
        server.slower, server.knee = 1.0, SLOTS
        for _ in range(60):
            server.run(server.rng.randint(1, 5))
        server.slower, server.knee = 2.0, 0
        numbers += server.overload(4.0)

    assert sum(numbers) / len(numbers) >= 8 / 9 * SLOTS


@pytest.mark.parametrize("seed", range(10))
def test_a_knee_is_found_while_a_server_grows_warm(seed):
    server = Server(seed, knee=7, slower=1.7)
    for step in range(30):
        server.usual_s = USUAL_S * (2 - step / 30)
        server.overload(0.1)

    assert part(server.overload(2.0), (8, 9)) <= 0.25


def test_a_new_server_is_not_what_the_one_before_was():
    server = Server(1, knee=6, slower=2.0)
    server.overload(10.0)

    server.learner.reset()
    server.slower = 1.0
    server.overload(2.0)

    assert part(server.overload(4.0), (SLOTS,)) >= 0.9


@pytest.mark.parametrize("seed", range(5))
def test_the_word_of_others_holds_while_no_run_speaks_against_it(seed):
    server = Server(seed, knee=7, slower=1.7)
    server.now = 1_000_000.0
    server.learner.set_prior(Knee(7 / 9, 1.7))

    numbers = server.overload(3.0)

    assert part(numbers, (7, 8)) == 1.0
    assert part(numbers, (8,)) <= 0.06


def test_runs_that_say_nothing_are_left_out():
    learner = ConcurrencyEstimator()
    before = learner.best_concurrency(SLOTS)

    for i in range(100):
        learner.record_run(CompletedRun(9, 0.0, 0.1), i * 0.1)

    assert learner.best_concurrency(SLOTS) == before
