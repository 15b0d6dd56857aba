import random

import pytest

from radishwind.claims.budget import BURST_S
from radishwind.claims.budget import StoreCallBudget
from radishwind.claims.gate import StoreGate
from radishwind.claims.memory import ClaimMemory
from radishwind.claims.record import ClaimRecord
from radishwind.claims.record import RecordedAnswer
from radishwind.claims.record import Sending


def test_memory_keeps_what_was_used_last_within_its_bytes():
    memory = ClaimMemory(10_000)
    sendings = [Sending("s", f"k{n}", "f", "") for n in range(20)]
    for sending in sendings:
        answer = RecordedAnswer(200, (("A", "b"),), b"x" * 1000)
        record = ClaimRecord(sending.key, "n", "a", "f", 0, answer=answer)
        memory.put(sending, record, until=10.0)
        assert memory.get(sendings[0], 1.0) is not None
        assert memory.held_bytes <= 10_000

    known = [s.key for s in sendings if memory.get(s, 1.0) is not None]
    assert known[0] == "k0"
    assert known[1:] == [s.key for s in sendings[-len(known) + 1 :]]
    assert memory.get(sendings[0], 10.0) is None


def test_budget_shrinks_as_nodes_join():
    nodes = 1
    budget = StoreCallBudget(lambda: 10 / nodes)
    assert sum(budget.take(0.0) for _ in range(1000)) == 10 * BURST_S

    nodes = 10
    assert sum(budget.take(1000.0) for _ in range(1000)) == BURST_S
    assert budget.wait_s(1000.0) == pytest.approx(1.0)
    budget.charge(1000.0)
    assert budget.wait_s(1000.0) == pytest.approx(2.0)


def test_one_call_tries_a_store_that_failed():
    gate = StoreGate(random.Random(1))
    for _ in range(50):
        assert gate.enter(0.0)
    for _ in range(50):
        gate.failed(0.0)  # Together they count once.

    assert not gate.enter(0.01)
    assert [gate.enter(0.3) for _ in range(5)] == [True] + [False] * 4
    gate.succeeded()
    assert all(gate.enter(0.3) for _ in range(5))
