"""Tests of admission by soft deadline, and newest first under congestion."""

import math
import random

import pytest

from radishwind.admission.admission import AdmissionLimits
from radishwind.admission.admission import Ticket
from radishwind.admission.deadline_admission import DeadlineAdmission
from radishwind.admission.deadline_admission import StartGate
from radishwind.core.codes import ResultCode

ONE_SLOT = AdmissionLimits(
    slots=1, connections=9, max_queued=99, max_queue_wait_s=math.inf
)


def ticket(
    name, aim=1.0, deadline=2.0, normal_run_s=0.01, priority=0, offered_at=0.0
):
    return Ticket(
        name,
        deadline,
        offered_at,
        lambda: None,
        aim=aim,
        priority=priority,
        normal_run_s=normal_run_s,
    )


class SwitchableGate(StartGate):
    """Delays all requests while it is closed."""

    def __init__(self):
        self.is_closed = True

    def should_delay(self, ticket, now):
        return self.is_closed

    def queue_slowdown(self):
        return 1.0


@pytest.fixture
def admission():
    return DeadlineAdmission(ONE_SLOT)


def start_order(admission, *tickets):
    """Queues `tickets` behind a running one; returns the order of starts."""
    running = ticket("running")
    admission.offer(running, 0.0)
    for one in tickets:
        admission.offer(one, 0.0)
    names = []
    waiting = list(tickets)
    while running is not None:
        admission.release(running, 0.0, 0.01)
        running = next((t for t in waiting if t.is_admitted), None)
        if running is not None:
            waiting.remove(running)
            names.append(running.caller)
    return names


def test_earliest_aim_starts_first(admission):
    far, near = ticket("far", aim=0.9), ticket("near", aim=0.3)

    assert start_order(admission, far, near) == ["near", "far"]


def test_higher_priority_overtakes_by_bounded_lead(admission):
    low = ticket("low", aim=0.30, priority=2)
    high = ticket("high", aim=0.45, priority=0)
    soon = ticket("soon", aim=0.20, priority=2)

    assert start_order(admission, low, high, soon) == ["soon", "high", "low"]


def test_request_past_its_aim_starts_last(admission):
    late = ticket("late", aim=0.005)
    fresh = ticket("fresh", aim=1.5)

    assert start_order(admission, late, fresh) == ["fresh", "late"]


def test_newest_starts_first_under_congestion(admission):
    old = [ticket(f"old{i}", normal_run_s=0.2, aim=0.9) for i in range(2)]
    new = ticket("new", normal_run_s=0.2, aim=1.5, offered_at=0.1)

    assert start_order(admission, *old, new)[0] == "new"


def test_requests_that_would_start_too_late_are_refused_early(admission):
    admission.offer(ticket("running"), 0.0)
    tickets = [
        ticket(f"w{i}", normal_run_s=0.2, aim=0.9, deadline=1.0)
        for i in range(9)
    ]

    for one in tickets:
        admission.offer(one, 0.0)
    admission.expire(0.0)

    refused = [t for t in tickets if t.refusal]
    assert refused
    assert {t.refusal.code for t in refused} == {ResultCode.OVERLOADED}
    assert len(tickets) - len(refused) == admission.queued


def test_delayed_ticket_starts_once_gate_opens():
    gate = SwitchableGate()
    admission = DeadlineAdmission(ONE_SLOT, gate)
    held = ticket("held")

    admission.offer(held, 0.0)
    assert not held.is_admitted
    gate.is_closed = False
    admission.expire(0.1)

    assert held.is_admitted


def test_likely_run_time_decides_latest_start():
    """Runs take 0.5 s, including the nested calls that they wait for."""
    admission = DeadlineAdmission(ONE_SLOT)
    admission.offer(ticket("running", normal_run_s=0.1), 0.0)
    short, long = (
        ticket(name, normal_run_s=0.1, aim=0.4, deadline=1.0)
        for name in ("s", "l")
    )
    long.likely_s = 0.5
    admission.offer(short, 0.0)
    admission.offer(long, 0.0)

    admission.expire(0.55)

    assert not short.refusal
    assert long.refusal.code is ResultCode.OVERLOADED


def test_calls_of_one_fan_out_start_alike_at_different_servers():
    """Pairs of calls are queued at two congested servers that run half."""
    rng = random.Random(5)
    started = ([], [])
    group_ranks = [rng.random() - 0.5 for _ in range(20)]
    for names in started:
        admission = DeadlineAdmission(ONE_SLOT)
        running = ticket("running", normal_run_s=0.1)
        admission.offer(running, 0.0)
        waiting = []
        for i in rng.sample(range(20), 20):
            offered_at = rng.random() * 0.05
            one = ticket(
                f"p{i}",
                normal_run_s=0.05,
                aim=9.0,
                deadline=10.0,
                offered_at=offered_at,
            )
            one.group_rank = group_ranks[i]
            waiting.append(one)
            admission.offer(one, offered_at)
        for _ in range(10):
            admission.release(running, 0.1, 0.05)
            running = next(t for t in waiting if t.is_admitted)
            waiting.remove(running)
            names.append(running.caller)

    assert len(set(started[0]) & set(started[1])) >= 9


def test_nested_call_precedes_request_of_same_priority(
    admission,
):
    caller = ticket("caller", aim=0.30, priority=1)
    call = ticket("call", aim=0.35, deadline=0.40, priority=1)
    call.is_nested = True

    assert start_order(admission, caller, call) == ["call", "caller"]


def test_nested_call_past_its_aim_is_not_late(admission):
    caller = ticket("caller", aim=0.9, priority=1)
    call = ticket("call", aim=0.005, deadline=0.8, priority=1)
    call.is_nested = True

    assert start_order(admission, caller, call) == ["call", "caller"]


def test_request_with_much_earlier_aim_precedes_nested_call(admission):
    caller = ticket("caller", aim=0.1, priority=1)
    call = ticket("call", aim=0.5, deadline=0.9, priority=1)
    call.is_nested = True

    assert start_order(admission, call, caller) == ["caller", "call"]
