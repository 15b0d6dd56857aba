"""Repeats of all nodes together stay within what is allowed."""

import random

import pytest
from tests.support.calls import make_call

from radishwind.core.codes import ResultCode
from radishwind.outcomes.model import NotRun
from radishwind.retries.shared import SharedBudget
from radishwind.retries.shared import SharedRetries

SHARE, SLACK, WINDOW_S = 0.2, 58.0, 10.0


def most_in_a_window(times):
    times = sorted(times)
    return max(sum(1 for t in times if at <= t < at + WINDOW_S) for at in times)


def test_all_nodes_together_keep_the_bound_whatever_they_want():
    rng = random.Random(4)
    nodes = 11
    budgets = [
        SharedBudget(SHARE, SLACK, WINDOW_S, lambda: nodes)
        for _ in range(nodes)
    ]
    requests, repeats = [], []
    at = 0.0
    while at < 40.0:
        at += rng.expovariate(80.0)
        budget = rng.choice(budgets)
        budget.first("library", at)
        requests.append(at)
        while budget.spend("library", at):
            repeats.append(at)

    allowed = SHARE * 80 * WINDOW_S + SLACK
    assert 0 < most_in_a_window(repeats) <= allowed


def test_nodes_that_begin_anew_keep_the_bound_too():
    rng = random.Random(5)
    nodes = 11
    repeats = []
    at = 0.0
    for _ in range(2):
        budgets = [
            SharedBudget(SHARE, SLACK, WINDOW_S, lambda: nodes)
            for _ in range(nodes)
        ]
        until = at + 8.0
        while at < until:
            at += rng.expovariate(80.0)
            budget = rng.choice(budgets)
            budget.first("library", at)
            while budget.spend("library", at):
                repeats.append(at)

    assert most_in_a_window(repeats) <= SHARE * 80 * WINDOW_S + SLACK


def test_a_node_that_knows_nobody_yet_takes_a_small_part_of_the_slack():
    budget = SharedBudget(SHARE, SLACK, WINDOW_S, lambda: 1)
    taken = 0
    while budget.spend("library", 0.0):
        taken += 1

    assert taken * 11 <= SLACK


def lost(nested_share, seed=3, told=True):
    """Returns runs lost and callers turned away by a server that sheds half.

    Of 100 requests a second some are calls of runs, which are lost with them;
    callers come back once by themselves. Where it isn't `told` which are calls
    all are taken for callers' requests.
    """
    rng = random.Random(seed)
    retries = SharedRetries(SharedBudget(SHARE, SLACK, WINDOW_S, lambda: 8))
    shed = NotRun(ResultCode.SERVER_SHED, "shed")
    runs = calls = turned_away = callers = 0
    at = 0.0
    while at < 20.0:
        at += rng.expovariate(100.0)
        nested = rng.random() < nested_share
        depth = int(nested and told)
        call = make_call(depth=depth, idempotent=False)
        served = False
        for _ in range(1 if nested else 2):
            retries.first(call, at)
            attempts = 1
            served = rng.random() > 0.5
            while not served and retries.again(call, shed, attempts, at):
                attempts += 1
                served = rng.random() > 0.5
            if served:
                break
        calls += nested
        runs += nested and not served
        callers += not nested
        turned_away += not nested and not served
    return runs / max(1, calls), turned_away / max(1, callers)


@pytest.mark.parametrize("seed", range(4))
def test_repeats_go_to_calls_first_while_a_server_sheds(seed):
    runs, callers = lost(0.5, seed)
    runs_alike, callers_alike = lost(0.5, seed, told=False)

    assert runs < 0.9 * runs_alike
    # A call that is lost costs a run; who is turned away may come again.
    assert callers - callers_alike < runs_alike - runs


def test_where_nobody_calls_callers_have_all_repeats():
    assert lost(0.0) == lost(0.0, told=False)
    assert lost(0.0)[1] < 0.25


def test_calls_and_callers_together_keep_the_bound():
    rng = random.Random(6)
    budgets = [
        SharedBudget(SHARE, SLACK, WINDOW_S, lambda: 11) for _ in range(11)
    ]
    repeats = []
    at = 0.0
    while at < 30.0:
        at += rng.expovariate(80.0)
        budget = rng.choice(budgets)
        nested = rng.random() < 0.5
        budget.first("library", at, nested=nested)
        while budget.spend("library", at, nested=nested):
            repeats.append(at)

    assert most_in_a_window(repeats) <= SHARE * 80 * WINDOW_S + SLACK
