"""A cold server never gets more than it stands, whoever asks."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest
from tests.support.calls import make_call

from radishwind.core import ManualClock
from radishwind.core.codes import ResultCode
from radishwind.target.warmup_limiter import MAX_TRACKED
from radishwind.target.warmup_limiter import WarmupLimit
from radishwind.target.warmup_limiter import WarmupLimiter
from radishwind.target.warmup_limiter import WINDOW_S
from radishwind.telemetry import logs

LAW = WarmupLimit(
    rate_per_s=7.0, burst_factor=1.5, burst_allowance=8.0, warmup_s=3.0
)


def call(rank=0):
    return make_call(priority=rank)


def gate(clock, law=LAW, running_s=WINDOW_S):
    made = WarmupLimiter(clock, running_s)
    made.configure(law)
    return made


def densest(times, for_s=1.0):
    return max(
        (sum(at <= other < at + for_s for other in times) for at in times),
        default=0,
    )


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10_000),
    per_s=st.floats(0.0, 50.0),
    over=st.floats(1.0, 3.0),
    slack=st.floats(0.0, 20.0),
)
def test_no_second_brings_more_than_the_bound(seed, per_s, over, slack):
    rng = random.Random(seed)
    clock = ManualClock()
    law = WarmupLimit(per_s, over, slack, 3.0)
    made = gate(clock, law)
    made.record_start(60.0)
    sent = []
    for _ in range(400):
        clock.advance(rng.expovariate(120.0))
        one = call(rng.randrange(3))
        if made.refusal(one, 0) is None and made.try_send(one) is None:
            sent.append(clock.monotonic())

    assert densest(sent) <= max(1 if per_s else 0, per_s * over + slack)


def test_the_bound_slides_and_is_not_one_of_calendar_seconds():
    clock = ManualClock()
    made = gate(clock)
    made.record_start(3.0)
    clock.advance(0.9)
    first = [made.try_send(call()) for _ in range(LAW.max_per_window)]
    clock.advance(0.2)

    assert first == [None] * LAW.max_per_window
    assert made.try_send(call()).code is ResultCode.SERVER_COLD
    clock.advance(WINDOW_S - 0.2)
    assert made.try_send(call()) is None


def test_what_was_sent_while_warm_counts_when_it_turns_cold():
    clock = ManualClock()
    made = gate(clock)
    made.record_start(0.0)
    for _ in range(100):
        assert made.try_send(call()) is None

    made.record_heartbeat(3.0)

    assert made.try_send(call()) is not None


def test_a_warm_server_is_not_bounded_and_one_without_a_law_never_is():
    clock = ManualClock()
    made = gate(clock)
    made.record_start(0.0)
    assert made.remaining() is None
    assert [made.refusal(call(), 500), made.try_send(call())] == [None, None]

    unbound = gate(clock, None)
    assert unbound.remaining() is None
    for _ in range(100):
        assert unbound.try_send(call()) is None


def test_unknown_counts_as_cold_until_the_server_tells():
    clock = ManualClock()
    made = gate(clock)
    assert made.is_cold

    made.record_check(0.0, clock.monotonic())

    assert not made.is_cold


def test_an_answer_asked_for_before_says_nothing_of_what_came_after():
    clock = ManualClock()
    made = gate(clock)
    made.record_check(0.0, clock.monotonic())
    asked = clock.monotonic()
    clock.advance(0.1)
    made.mark_unknown(clock.monotonic())

    made.record_check(0.0, asked)
    assert made.is_cold
    made.record_check(0.0, clock.monotonic())
    assert not made.is_cold


def test_a_late_heartbeat_warms_nothing():
    clock = ManualClock()
    made = gate(clock)
    made.record_start(3.0)
    clock.advance(1.0)

    made.record_heartbeat(0.0)

    assert made.is_cold
    clock.advance(2.0)
    assert not made.is_cold


def test_it_may_turn_cold_again_at_any_moment():
    clock = ManualClock()
    made = gate(clock)
    made.record_check(0.0, clock.monotonic())
    clock.advance(60.0)

    made.record_check(2.5, clock.monotonic())

    assert made.is_cold
    clock.advance(2.5)
    assert not made.is_cold


def test_a_server_of_which_nobody_tells_is_cold_no_longer_than_one_can_be():
    clock = ManualClock()
    made = gate(clock)
    clock.advance(LAW.warmup_s)

    assert not made.is_cold


def test_what_the_process_before_sent_counts_for_a_window():
    clock = ManualClock()
    made = gate(clock, running_s=0.0)
    assert made.remaining() == 0
    assert made.try_send(call()) is not None

    clock.advance(WINDOW_S)

    assert made.remaining() == LAW.max_per_window


def test_a_server_younger_than_the_node_was_sent_nothing_before():
    clock = ManualClock()
    made = gate(clock, running_s=0.0)
    clock.advance(0.5)
    made.record_start(LAW.warmup_s - 0.2)

    assert made.remaining() == LAW.max_per_window


def test_a_rate_of_zero_lets_nothing_through_while_cold():
    clock = ManualClock()
    made = gate(clock, WarmupLimit(0.0, 1.5, 8.0, 3.0))
    made.record_start(3.0)

    assert made.try_send(call()).code is ResultCode.SERVER_COLD
    clock.advance(3.0)
    assert made.try_send(call()) is None


def test_what_waits_already_has_its_place_in_the_bound():
    clock = ManualClock()
    made = gate(clock)
    made.record_start(3.0)

    assert made.refusal(call(), LAW.max_per_window - 1) is None
    assert made.refusal(call(), LAW.max_per_window) is not None


@pytest.mark.parametrize("others_per_s", [30, 120, 400])
def test_the_highest_rank_is_served_first_however_much_else_comes(
    others_per_s,
):
    """A fleet's calls ask for twice what cold servers of a service stand."""
    clock = ManualClock()
    made = gate(clock)
    made.record_start(30.0)
    rng = random.Random(1)
    served = {0: 0, 1: 0}
    offered = {0: 0, 1: 0}
    for _ in range(3000):
        clock.advance(rng.expovariate(others_per_s + 5.0))
        rank = 0 if rng.random() < 5.0 / (others_per_s + 5.0) else 1
        one = call(rank)
        offered[rank] += 1
        if made.refusal(one, 0) is None and made.try_send(one) is None:
            served[rank] += 1

    assert served[0] >= 0.9 * offered[0]


def test_a_refusal_says_when_the_next_may_come():
    clock = ManualClock()
    made = gate(clock)
    made.record_start(3.0)
    for _ in range(LAW.max_per_window):
        made.try_send(call())
    clock.advance(0.5)

    refused = made.try_send(call())

    assert refused.retry_after_s == pytest.approx(WINDOW_S - 0.5)


@pytest.mark.parametrize("asked_per_s", [20, 40, 80])
def test_calls_that_belong_together_are_served_or_refused_alike(asked_per_s):
    """Pairs go to two cold servers that can't serve all of them."""
    clock = ManualClock()
    gates = [gate(clock), gate(clock)]
    for made in gates:
        made.record_start(30.0)
    rng = random.Random(3)
    both = one = 0
    for i in range(1200):
        clock.advance(rng.expovariate(asked_per_s))
        lot = rng.random() - 0.5
        served = []
        for made in gates:
            call = make_call(call_id=f"{i}.1", priority=1, group_rank=lot)
            refused = made.refusal(call, 0) or made.try_send(call)
            served.append(refused is None)
        both += all(served)
        one += any(served) and not all(served)

    assert one <= 0.1 * (both + one)
    assert both >= 0.7 * (LAW.max_per_window / 1.5 / WINDOW_S) * (
        1200 / asked_per_s
    )


@pytest.mark.parametrize("law", [LAW, None])
def test_a_cold_time_has_one_line_however_often_it_is_told(monkeypatch, law):
    lines = []
    monkeypatch.setattr(logs, "_takers", [lines.append])
    clock = ManualClock()
    made = gate(clock, law)
    made.record_start(0.0)
    for i in range(20):
        clock.advance(0.1)
        made.record_check(3.0 - 0.1 * i, clock.monotonic())
        made.record_heartbeat(3.0 - 0.1 * i)

    assert [line["text"] for line in lines] == ["target: The server is cold."]


def test_what_is_remembered_is_bounded():
    clock = ManualClock()
    made = gate(clock)
    made.record_start(60.0)
    for i in range(3000):
        clock.advance(0.0001)
        one = make_call(call_id=f"{i}.1", group_rank=0.1)
        made.refusal(one, 0)
        made.try_send(one)

    assert len(made._highest_offers) <= MAX_TRACKED
    assert len(made._sent) <= MAX_TRACKED
