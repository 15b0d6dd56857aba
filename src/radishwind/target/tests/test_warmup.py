"""A cold server never gets more requests than it sustains."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest
from tests.support.calls import make_call

from radishwind.core import ManualClock
from radishwind.core.codes import ResultCode
from radishwind.target.send_limiter import MAX_TRACKED
from radishwind.target.send_limiter import WindowLimiter
from radishwind.target.warmup import Warmup
from radishwind.target.warmup import WarmupLimit
from radishwind.target.warmup import WINDOW_S
from radishwind.telemetry import part_logger

LIMIT = WarmupLimit(
    rate_per_s=7.0, burst_factor=1.5, burst_allowance=8.0, warmup_s=3.0
)


def call(priority=0):
    return make_call(priority=priority)


class WarmupLimiter(WindowLimiter):
    """A limiter whose only cause is the warm-up, whose methods it has too."""

    def __init__(self, clock, running_s):
        self.warmup = Warmup(clock, running_s)
        super().__init__(clock, (self.warmup,))

    def __getattr__(self, name):
        return getattr(self.warmup, name)


def make_limiter(clock, limit=LIMIT, running_s=WINDOW_S):
    limiter = WarmupLimiter(clock, running_s)
    limiter.configure(limit)
    return limiter


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
def test_no_second_exceeds_the_limit(seed, per_s, over, slack):
    rng = random.Random(seed)
    clock = ManualClock()
    limit = WarmupLimit(per_s, over, slack, 3.0)
    limiter = make_limiter(clock, limit)
    limiter.record_start(60.0)
    sent = []
    for _ in range(400):
        clock.advance(rng.expovariate(120.0))
        one = call(rng.randrange(3))
        if limiter.refusal(one, 0) is None and limiter.try_send(one) is None:
            sent.append(clock.monotonic())

    assert densest(sent) <= max(1 if per_s else 0, per_s * over + slack)


def test_window_slides_and_is_not_aligned_to_seconds():
    clock = ManualClock()
    limiter = make_limiter(clock)
    limiter.record_start(3.0)
    clock.advance(0.9)
    first = [limiter.try_send(call()) for _ in range(LIMIT.max_per_window)]
    clock.advance(0.2)

    assert first == [None] * LIMIT.max_per_window
    assert limiter.try_send(call()).code is ResultCode.SERVER_COLD
    clock.advance(WINDOW_S - 0.2)
    assert limiter.try_send(call()) is None


def test_requests_sent_while_warm_count_once_it_is_cold():
    clock = ManualClock()
    limiter = make_limiter(clock)
    limiter.record_start(0.0)
    for _ in range(100):
        assert limiter.try_send(call()) is None

    limiter.record_heartbeat(3.0)

    assert limiter.try_send(call()) is not None


def test_warm_server_and_one_without_a_limit_are_not_limited():
    clock = ManualClock()
    limiter = make_limiter(clock)
    limiter.record_start(0.0)
    assert limiter.remaining() is None
    assert [limiter.refusal(call(), 500), limiter.try_send(call())] == [
        None,
        None,
    ]

    unbound = make_limiter(clock, None)
    assert unbound.remaining() is None
    for _ in range(100):
        assert unbound.try_send(call()) is None


def test_unknown_server_counts_as_cold_until_a_health_check():
    clock = ManualClock()
    limiter = make_limiter(clock)
    assert limiter.is_cold

    limiter.record_check(0.0, clock.monotonic())

    assert not limiter.is_cold


def test_health_check_sent_before_mark_unknown_is_ignored():
    clock = ManualClock()
    limiter = make_limiter(clock)
    limiter.record_check(0.0, clock.monotonic())
    asked = clock.monotonic()
    clock.advance(0.1)
    limiter.mark_unknown(clock.monotonic())

    limiter.record_check(0.0, asked)
    assert limiter.is_cold
    limiter.record_check(0.0, clock.monotonic())
    assert not limiter.is_cold


def test_heartbeat_does_not_shorten_the_warm_up():
    clock = ManualClock()
    limiter = make_limiter(clock)
    limiter.record_start(3.0)
    clock.advance(1.0)

    limiter.record_heartbeat(0.0)

    assert limiter.is_cold
    clock.advance(2.0)
    assert not limiter.is_cold


def test_server_may_become_cold_again():
    clock = ManualClock()
    limiter = make_limiter(clock)
    limiter.record_check(0.0, clock.monotonic())
    clock.advance(60.0)

    limiter.record_check(2.5, clock.monotonic())

    assert limiter.is_cold
    clock.advance(2.5)
    assert not limiter.is_cold


def test_unknown_server_is_cold_for_the_warm_up_time_at_most():
    clock = ManualClock()
    limiter = make_limiter(clock)
    clock.advance(LIMIT.warmup_s)

    assert not limiter.is_cold


def test_requests_of_the_previous_process_count_for_one_window():
    clock = ManualClock()
    limiter = make_limiter(clock, running_s=0.0)
    assert limiter.remaining() == 0
    assert limiter.try_send(call()) is not None

    clock.advance(WINDOW_S)

    assert limiter.remaining() == LIMIT.max_per_window


def test_server_younger_than_the_node_has_its_whole_limit():
    clock = ManualClock()
    limiter = make_limiter(clock, running_s=0.0)
    clock.advance(0.5)
    limiter.record_start(LIMIT.warmup_s - 0.2)

    assert limiter.remaining() == LIMIT.max_per_window


def test_rate_of_zero_allows_nothing_while_cold():
    clock = ManualClock()
    limiter = make_limiter(clock, WarmupLimit(0.0, 1.5, 8.0, 3.0))
    limiter.record_start(3.0)

    assert limiter.try_send(call()).code is ResultCode.SERVER_COLD
    clock.advance(3.0)
    assert limiter.try_send(call()) is None


def test_waiting_requests_count_towards_the_limit():
    clock = ManualClock()
    limiter = make_limiter(clock)
    limiter.record_start(3.0)

    assert limiter.refusal(call(), LIMIT.max_per_window - 1) is None
    assert limiter.refusal(call(), LIMIT.max_per_window) is not None


@pytest.mark.parametrize("others_per_s", [30, 120, 400])
def test_highest_priority_is_served_first_at_any_load(
    others_per_s,
):
    """Calls of a fleet exceed what the cold servers of a service sustain."""
    clock = ManualClock()
    limiter = make_limiter(clock)
    limiter.record_start(30.0)
    rng = random.Random(1)
    served = {0: 0, 1: 0}
    offered = {0: 0, 1: 0}
    for _ in range(3000):
        clock.advance(rng.expovariate(others_per_s + 5.0))
        priority = 0 if rng.random() < 5.0 / (others_per_s + 5.0) else 1
        one = call(priority)
        offered[priority] += 1
        if limiter.refusal(one, 0) is None and limiter.try_send(one) is None:
            served[priority] += 1

    assert served[0] >= 0.9 * offered[0]


def test_refusal_states_when_to_retry():
    clock = ManualClock()
    limiter = make_limiter(clock)
    limiter.record_start(3.0)
    for _ in range(LIMIT.max_per_window):
        limiter.try_send(call())
    clock.advance(0.5)

    refused = limiter.try_send(call())

    assert refused.retry_after_s == pytest.approx(WINDOW_S - 0.5)


@pytest.mark.parametrize("asked_per_s", [20, 40, 80])
def test_calls_of_one_group_are_served_or_refused_together(asked_per_s):
    """Pairs of calls go to two cold servers that cannot serve all of them."""
    clock = ManualClock()
    limiters = [make_limiter(clock), make_limiter(clock)]
    for limiter in limiters:
        limiter.record_start(30.0)
    rng = random.Random(3)
    both = one = 0
    for i in range(1200):
        clock.advance(rng.expovariate(asked_per_s))
        group_rank = rng.random() - 0.5
        served = []
        for limiter in limiters:
            call = make_call(
                call_id=f"{i}.1", priority=1, group_rank=group_rank
            )
            refused = limiter.refusal(call, 0) or limiter.try_send(call)
            served.append(refused is None)
        both += all(served)
        one += any(served) and not all(served)

    assert one <= 0.1 * (both + one)
    assert both >= 0.7 * (LIMIT.max_per_window / 1.5 / WINDOW_S) * (
        1200 / asked_per_s
    )


@pytest.mark.parametrize("limit", [LIMIT, None])
def test_warm_up_is_logged_once_however_often_it_is_reported(
    monkeypatch, limit
):
    lines = []
    monkeypatch.setattr(part_logger, "_sinks", [lines.append])
    clock = ManualClock()
    limiter = make_limiter(clock, limit)
    limiter.record_start(0.0)
    for i in range(20):
        clock.advance(0.1)
        limiter.record_check(3.0 - 0.1 * i, clock.monotonic())
        limiter.record_heartbeat(3.0 - 0.1 * i)

    assert [line["text"] for line in lines] == ["target: The server is cold."]


def test_tracked_requests_are_bounded():
    clock = ManualClock()
    limiter = make_limiter(clock)
    limiter.record_start(60.0)
    for i in range(3000):
        clock.advance(0.0001)
        one = make_call(call_id=f"{i}.1", group_rank=0.1)
        limiter.refusal(one, 0)
        limiter.try_send(one)

    assert len(limiter._highest_offers) <= MAX_TRACKED
    assert len(limiter._sent) <= MAX_TRACKED
