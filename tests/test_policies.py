"""Bounds on latency, errors and attempts under faults, on simulated queues.

A seed fixes arrivals and service times and no clock is read, so that each run
gives the same figures.
"""

from bench.policies import HEDGED
from bench.policies import REFUSING
from bench.policies import ROUTING
from bench.policies import run
from radishwind.routing import RoutingPolicy

LENGTH_S = 1.0
STRAGGLER, FAILING = ROUTING[1], ROUTING[4]


def p99_latency_s(tally):
    return sorted(tally.answers_s)[int(0.99 * len(tally.answers_s))]


def test_one_straggler_costs_half_the_p99_of_fewest_own_at_most():
    balanced = run(STRAGGLER, RoutingPolicy.BALANCED, 1, LENGTH_S)
    baseline = run(STRAGGLER, RoutingPolicy.FEWEST_OWN, 1, LENGTH_S)

    assert p99_latency_s(balanced) <= 0.5 * p99_latency_s(baseline)


def test_target_failing_fast_gets_few_calls():
    tally = run(FAILING, RoutingPolicy.BALANCED, 1, LENGTH_S)

    assert tally.errors / len(tally.answers_s) < 0.01


def test_half_the_targets_refusing_causes_no_storm():
    tally = run(REFUSING, RoutingPolicy.BALANCED, 1, LENGTH_S)

    assert tally.attempts / len(tally.answers_s) <= 1.1
    assert not tally.errors


def test_hedges_stay_within_their_share():
    tally = run(HEDGED[0], RoutingPolicy.BALANCED, 1, LENGTH_S, hedged=True)

    assert 1.0 < tally.attempts / len(tally.answers_s) <= 1.05
