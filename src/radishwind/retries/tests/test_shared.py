"""Repeats of all nodes together stay within what is allowed."""

import random

from radishwind.retries.shared import SharedBudget

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
