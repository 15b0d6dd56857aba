"""The retries of all nodes together stay within the budget of the fleet."""

import random

import pytest
from tests.support.calls import make_call

from radishwind.core.codes import ResultCode
from radishwind.outcomes.model import NotRun
from radishwind.retries import fleet
from radishwind.retries.fleet import FleetRetryBudget
from radishwind.retries.fleet import FleetRetryPolicy

SHARE, SLACK, WINDOW_S = 0.2, 58.0, 10.0


def max_per_window(times):
    times = sorted(times)
    return max(sum(1 for t in times if at <= t < at + WINDOW_S) for at in times)


def test_all_nodes_together_keep_the_bound_if_each_retries_all_it_may():
    rng = random.Random(4)
    nodes = 11
    budgets = [
        FleetRetryBudget(SHARE, SLACK, WINDOW_S, lambda: nodes)
        for _ in range(nodes)
    ]
    requests, retries = [], []
    at = 0.0
    while at < 40.0:
        at += rng.expovariate(80.0)
        budget = rng.choice(budgets)
        budget.record_request("library", at)
        requests.append(at)
        while budget.try_spend("library", at):
            retries.append(at)

    allowed = SHARE * 80 * WINDOW_S + SLACK
    assert 0 < max_per_window(retries) <= allowed


def test_bound_holds_across_a_restart_of_all_nodes():
    rng = random.Random(5)
    nodes = 11
    retries = []
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
                retries.append(at)

    assert max_per_window(retries) <= SHARE * 80 * WINDOW_S + SLACK


def test_node_that_knows_no_other_uses_a_small_part_of_the_slack():
    budget = FleetRetryBudget(SHARE, SLACK, WINDOW_S, lambda: 1)
    retries = 0
    while budget.try_spend("library", 0.0):
        retries += 1

    assert retries * 11 <= SLACK


def simulate_shedding(nested_share, seed=3):
    """Simulates a server that sheds half of the attempts.

    Of 100 requests per second the fraction `nested_share` are nested calls; the
    request that sent a nested call fails with it. External callers retry once
    by themselves.

    Returns:
      The fraction of the nested calls that fail, and of the external calls.
    """
    rng = random.Random(seed)
    # A larger slack: nested calls do not add to the allowed retries.
    budget = FleetRetryBudget(SHARE, 3 * SLACK, WINDOW_S, lambda: 8)
    policy = FleetRetryPolicy(budget)
    shed = NotRun(ResultCode.SERVER_SHED, "shed")
    nested_failed = nested_calls = external_failed = external_calls = 0
    at = 0.0
    while at < 20.0:
        at += rng.expovariate(100.0)
        nested = rng.random() < nested_share
        call = make_call(depth=int(nested), idempotent=False)
        served = False
        for _ in range(1 if nested else 2):
            policy.record_first_attempt(call, at)
            attempts = 1
            served = rng.random() > 0.5
            while not served and policy.should_retry(call, shed, attempts, at):
                attempts += 1
                served = rng.random() > 0.5
            if served:
                break
        nested_calls += nested
        nested_failed += nested and not served
        external_calls += not nested
        external_failed += not nested and not served
    return (
        nested_failed / max(1, nested_calls),
        external_failed / max(1, external_calls),
    )


@pytest.mark.parametrize("seed", range(4))
def test_retries_go_to_nested_calls_first_if_a_server_sheds(seed, monkeypatch):
    nested, external = simulate_shedding(0.5, seed)
    monkeypatch.setattr(fleet, "NESTED_FRACTION", 0.0)
    nested_unreserved, external_unreserved = simulate_shedding(0.5, seed)

    assert nested < 0.9 * nested_unreserved
    # A failed nested call fails another request; an external caller may retry.
    assert external - external_unreserved < nested_unreserved - nested


def test_external_calls_get_all_retries_without_nested_calls(monkeypatch):
    with_reserve = simulate_shedding(0.0)
    monkeypatch.setattr(fleet, "NESTED_FRACTION", 0.0)

    assert with_reserve == simulate_shedding(0.0)
    assert with_reserve[1] < 0.25


def simulate_nested_load(detected, seed=6, nodes=11, requests_per_s=80.0):
    """Simulates the retries at a service that receives mostly nested calls.

    Requests at another service send two nested calls each; a tenth of these
    requests are retries, whose nested calls count as retries, too. The service
    also receives external calls. All are shed, and all nodes retry as much as
    they may.

    Args:
      detected: whether the nodes recognize nested calls.
      seed: seed of the simulation.
      nodes: number of nodes.
      requests_per_s: rate of the requests (1/s).

    Returns:
      The maximum number of retries in a window, and the allowed number.
    """
    rng = random.Random(seed)
    budgets = [
        FleetRetryBudget(SHARE, SLACK, WINDOW_S, lambda: nodes)
        for _ in range(nodes)
    ]
    retries = []
    at = 0.0
    while at < 30.0:
        at += rng.expovariate(requests_per_s)
        budget = rng.choice(budgets)
        nested = rng.random() < 0.9
        of_retry = nested and rng.random() < 0.1
        for _ in range(2 if nested else 1):
            if nested and detected:
                budget.record_nested("library", at, 0.1)
            else:
                budget.record_request("library", at)
            if of_retry:
                retries.append(at)
            while budget.try_spend("library", at, nested=nested):
                retries.append(at)
    return (
        max_per_window(retries),
        SHARE * 0.1 * requests_per_s * WINDOW_S + SLACK,
    )


@pytest.mark.parametrize("seed", range(3))
def test_nested_calls_do_not_add_to_the_allowed_retries(seed):
    most, allowed = simulate_nested_load(detected=False, seed=seed)
    assert most > allowed

    # The nested calls of retries alone exceed that number; none is added.
    unavoidable = 0.1 * 0.9 * 80.0 * 2 * WINDOW_S
    most, allowed = simulate_nested_load(detected=True, seed=seed)
    assert most <= max(allowed, 1.3 * unavoidable)


def test_nested_calls_of_retries_count_as_retries():
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
def test_a_retry_counts_for_the_whole_window(began):
    budget = FleetRetryBudget(0.0, 160.0, WINDOW_S, lambda: 10)
    while budget.try_spend("s", began):
        pass

    assert not budget.try_spend("s", began + 0.999 * WINDOW_S)
    assert budget.try_spend("s", began + 1.1 * WINDOW_S)


def simulate_shedding_on_two_levels(detected, seed, nodes, slack, load_share):
    """Simulates two services that shed, one of which calls the other.

    Args:
      detected: whether the nodes recognize nested calls.
      seed: seed of the simulation.
      nodes: number of nodes.
      slack: slack of the budget.
      load_share: load as a share of the usual one.

    Returns:
      The maximum number of retries in a window at the called service, and the
      allowed number.
    """
    rng = random.Random(seed)
    policies = [
        FleetRetryPolicy(
            FleetRetryBudget(SHARE, slack, WINDOW_S, lambda: nodes)
        )
        for _ in range(nodes)
    ]
    budgets = [policy._budget for policy in policies]
    caller_per_s, called_per_s = 198.0 * load_share, 78.0 * load_share
    retries, at = [], 0.0
    while at < 30.0:
        at += rng.expovariate(caller_per_s + called_per_s)
        number = rng.randrange(nodes)
        if rng.random() < called_per_s / (caller_per_s + called_per_s):
            policies[number].record_first_attempt(
                make_call(service="called"), at
            )
            while budgets[number].try_spend("called", at):
                retries.append(at)
            continue
        policies[number].record_first_attempt(make_call(service="caller"), at)
        runs = [0.0]
        while budgets[number].try_spend("caller", at):
            runs.append(1.0)
        for retry_probability in runs:
            if rng.random() > 0.6:
                continue
            local = rng.randrange(nodes)
            call = make_call(service="called", is_external=False)
            if detected:
                budgets[local].record_nested("called", at, retry_probability)
            else:
                policies[local].record_first_attempt(call, at)
            retries += [at] * int(retry_probability)
            while budgets[local].try_spend("called", at, nested=detected):
                retries.append(at)
    return max_per_window(retries), SHARE * called_per_s * WINDOW_S + slack


@pytest.mark.parametrize("detected", [True, False])
@pytest.mark.parametrize(
    ("nodes", "slack", "load_share"), [(62, 164.0, 1.0), (21, 164.0, 0.33)]
)
def test_called_service_keeps_its_bound_if_both_services_shed(
    detected, nodes, slack, load_share
):
    """The load is a peak in which every server of both services sheds."""
    most, allowed = simulate_shedding_on_two_levels(
        detected, 1, nodes, slack, load_share
    )

    assert 0 < most <= allowed
