"""Repeats of all nodes together stay within what is allowed."""

import random

import pytest
from tests.support.calls import make_call

from radishwind.core.codes import ResultCode
from radishwind.outcomes.model import NotRun
from radishwind.retries import fleet
from radishwind.retries.fleet import FleetRetryBudget
from radishwind.retries.fleet import FleetRetryPolicy

SHARE, SLACK, WINDOW_S = 0.2, 58.0, 10.0


def most_in_a_window(times):
    times = sorted(times)
    return max(sum(1 for t in times if at <= t < at + WINDOW_S) for at in times)


def test_all_nodes_together_keep_the_bound_whatever_they_want():
    rng = random.Random(4)
    nodes = 11
    budgets = [
        FleetRetryBudget(SHARE, SLACK, WINDOW_S, lambda: nodes)
        for _ in range(nodes)
    ]
    requests, repeats = [], []
    at = 0.0
    while at < 40.0:
        at += rng.expovariate(80.0)
        budget = rng.choice(budgets)
        budget.record_request("library", at)
        requests.append(at)
        while budget.try_spend("library", at):
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
            FleetRetryBudget(SHARE, SLACK, WINDOW_S, lambda: nodes)
            for _ in range(nodes)
        ]
        until = at + 8.0
        while at < until:
            at += rng.expovariate(80.0)
            budget = rng.choice(budgets)
            budget.record_request("library", at)
            while budget.try_spend("library", at):
                repeats.append(at)

    assert most_in_a_window(repeats) <= SHARE * 80 * WINDOW_S + SLACK


def test_a_node_that_knows_nobody_yet_takes_a_small_part_of_the_slack():
    budget = FleetRetryBudget(SHARE, SLACK, WINDOW_S, lambda: 1)
    taken = 0
    while budget.try_spend("library", 0.0):
        taken += 1

    assert taken * 11 <= SLACK


def lost(nested_share, seed=3):
    """Returns runs lost and callers turned away by a server that sheds half.

    Of 100 requests a second some are calls of runs, which are lost with them;
    callers come back once by themselves.
    """
    rng = random.Random(seed)
    # As many repeats as when calls still added to them.
    budget = FleetRetryBudget(SHARE, 3 * SLACK, WINDOW_S, lambda: 8)
    retries = FleetRetryPolicy(budget)
    shed = NotRun(ResultCode.SERVER_SHED, "shed")
    runs = calls = turned_away = callers = 0
    at = 0.0
    while at < 20.0:
        at += rng.expovariate(100.0)
        nested = rng.random() < nested_share
        call = make_call(depth=int(nested), idempotent=False)
        served = False
        for _ in range(1 if nested else 2):
            retries.record_first_attempt(call, at)
            attempts = 1
            served = rng.random() > 0.5
            while not served and retries.should_retry(call, shed, attempts, at):
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
def test_repeats_go_to_calls_first_while_a_server_sheds(seed, monkeypatch):
    runs, callers = lost(0.5, seed)
    monkeypatch.setattr(fleet, "NESTED_PART", 0.0)
    runs_alike, callers_alike = lost(0.5, seed)

    assert runs < 0.9 * runs_alike
    # A call that is lost costs a run; who is turned away may come again.
    assert callers - callers_alike < runs_alike - runs


def test_where_nobody_calls_callers_have_all_repeats(monkeypatch):
    with_part = lost(0.0)
    monkeypatch.setattr(fleet, "NESTED_PART", 0.0)

    assert with_part == lost(0.0)
    assert with_part[1] < 0.25


def arrivals_beyond_first(told, seed=6, nodes=11, runs_s=80.0):
    """Returns when repeats come to a service that gets mostly calls.

    Runs elsewhere call it twice each; a tenth of them are repeats, whose calls
    count as repeats too. Beside them callers ask for it. All are shed, and all
    nodes repeat as much as they may.
    """
    rng = random.Random(seed)
    budgets = [
        FleetRetryBudget(SHARE, SLACK, WINDOW_S, lambda: nodes)
        for _ in range(nodes)
    ]
    repeats = []
    at = 0.0
    while at < 30.0:
        at += rng.expovariate(runs_s)
        budget = rng.choice(budgets)
        nested = rng.random() < 0.9
        repeated = nested and rng.random() < 0.1
        for _ in range(2 if nested else 1):
            if nested and told:
                budget.record_nested("library", at, 0.1)
            else:
                budget.record_request("library", at)
            if repeated:
                repeats.append(at)
            while budget.try_spend("library", at, nested=nested):
                repeats.append(at)
    return most_in_a_window(repeats), SHARE * 0.1 * runs_s * WINDOW_S + SLACK


@pytest.mark.parametrize("seed", range(3))
def test_calls_add_nothing_to_what_is_allowed(seed):
    most, allowed = arrivals_beyond_first(told=False, seed=seed)
    assert most > allowed

    # Calls of repeated runs alone are more than that here; none is added.
    unavoidable = 0.1 * 0.9 * 80.0 * 2 * WINDOW_S
    most, allowed = arrivals_beyond_first(told=True, seed=seed)
    assert most <= max(allowed, 1.3 * unavoidable)


def test_calls_of_repeated_runs_are_repeats():
    budget = FleetRetryBudget(0.0, 160.0, WINDOW_S, lambda: 10)
    before = 0
    while budget.try_spend("s", 0.0, nested=True):
        before += 1
    for _ in range(10):
        budget.record_nested("s", 20.0, 0.5)
    after = 0
    while budget.try_spend("s", 20.0, nested=True):
        after += 1

    assert (before, after) == (8, 3)


@pytest.mark.parametrize("began", [0.05, 0.5, 0.95])
def test_a_repeat_counts_for_the_whole_window(began):
    budget = FleetRetryBudget(0.0, 160.0, WINDOW_S, lambda: 10)
    while budget.try_spend("s", began):
        pass

    assert not budget.try_spend("s", began + 0.999 * WINDOW_S)
    assert budget.try_spend("s", began + 1.1 * WINDOW_S)


def shed_by_both(known, seed, nodes, slack, share_of_all):
    """Returns repeats at a called service that sheds, as its caller does.

    Args:
      known: whether nodes tell calls from callers' requests.
      seed: of the draws.
      nodes: how many there are.
      slack: of the budget.
      share_of_all: of the usual load.
    """
    rng = random.Random(seed)
    policies = [
        FleetRetryPolicy(
            FleetRetryBudget(SHARE, slack, WINDOW_S, lambda: nodes)
        )
        for _ in range(nodes)
    ]
    budgets = [policy._budget for policy in policies]
    caller_s, called_s = 198.0 * share_of_all, 78.0 * share_of_all
    repeats, at = [], 0.0
    while at < 30.0:
        at += rng.expovariate(caller_s + called_s)
        number = rng.randrange(nodes)
        if rng.random() < called_s / (caller_s + called_s):
            policies[number].record_first_attempt(
                make_call(service="called"), at
            )
            while budgets[number].try_spend("called", at):
                repeats.append(at)
            continue
        policies[number].record_first_attempt(make_call(service="caller"), at)
        runs = [0.0]
        while budgets[number].try_spend("caller", at):
            runs.append(1.0)
        for repeated in runs:
            if rng.random() > 0.6:
                continue
            beside = rng.randrange(nodes)
            call = make_call(service="called", is_external=False)
            if known:
                budgets[beside].record_nested("called", at, repeated)
            else:
                policies[beside].record_first_attempt(call, at)
            repeats += [at] * int(repeated)
            while budgets[beside].try_spend("called", at, nested=known):
                repeats.append(at)
    return most_in_a_window(repeats), SHARE * called_s * WINDOW_S + slack


@pytest.mark.parametrize("known", [True, False])
@pytest.mark.parametrize(
    ("nodes", "slack", "share_of_all"), [(62, 164.0, 1.0), (21, 164.0, 0.33)]
)
def test_a_called_service_keeps_its_bound_where_both_shed(
    known, nodes, slack, share_of_all
):
    """Load: a crest that every server of two services sheds."""
    most, allowed = shed_by_both(known, 1, nodes, slack, share_of_all)

    assert 0 < most <= allowed
