import dataclasses
import random

import pytest

from radishwind.config.model import ServiceRules
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.hedging import QuantileHedgePolicy
from radishwind.hedging.quantile import BUDGET_CAPACITY
from radishwind.hedging.quantile import FIRST_WINDOW_SIZE
from radishwind.hedging.quantile import MAX_SERVICES
from radishwind.hedging.quantile import TARGET_SHARE_FRACTION
from radishwind.hedging.quantile import WINDOW_SIZE
from radishwind.http.types import BodyStream
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun
from radishwind.routing import LoadReport

OK = Done(Response(200))
FULL = LoadReport(9, 9, 3, 10.0)


class Stream(BodyStream):
    def __aiter__(self):
        raise NotImplementedError

    def abort(self):
        raise NotImplementedError


CALL = Call(
    call_id="c",
    service="tags",
    request=Request("GET", "/tags"),
    rules=ServiceRules(hedge_share=0.05),
    idempotent=True,
    deadline=10.0,
    expires_ms=0,
    caller="coach",
)


def trained_policy(windows=2, load=None):
    policy = QuantileHedgePolicy()
    rng = random.Random(1)
    for _ in range(windows * WINDOW_SIZE):
        policy.delay_s(CALL, 0.0)
        policy.finished(CALL, 0.0, rng.expovariate(100.0), OK, load)
    return policy


def test_no_hedge_before_the_first_window():
    assert QuantileHedgePolicy().delay_s(CALL, 0.0) is None


def test_delay_is_the_quantile_of_the_share():
    delay_s = trained_policy(20).delay_s(CALL, 0.0)

    rng = random.Random(2)
    times = [rng.expovariate(100.0) for _ in range(10_000)]
    later = sum(t > delay_s for t in times) / len(times)
    assert later == pytest.approx(TARGET_SHARE_FRACTION * 0.05, abs=0.015)


def test_service_with_few_calls_gets_a_delay_early():
    policy = QuantileHedgePolicy()

    for _ in range(FIRST_WINDOW_SIZE):
        assert policy.delay_s(CALL, 0.0) is None
        policy.finished(CALL, 0.0, 0.01, OK, None)

    assert policy.delay_s(CALL, 0.0) == pytest.approx(0.01, rel=0.02)


def test_delay_follows_a_change_of_response_times():
    policy = trained_policy()
    before_s = policy.delay_s(CALL, 0.0)

    for _ in range(4 * WINDOW_SIZE):
        policy.finished(CALL, 0.0, 0.5, OK, None)

    assert policy.delay_s(CALL, 0.0) > 5 * before_s


@pytest.mark.parametrize(
    "change",
    [
        {"idempotent": False},
        {"rules": ServiceRules(hedge_share=0.0)},
        {"request": Request("GET", "/tags", (), Stream(), None)},
        {"deadline": 0.001},
    ],
)
def test_calls_that_are_not_hedged(change):
    call = dataclasses.replace(CALL, **change)

    assert trained_policy().delay_s(call, 0.0) is None


def test_budget_enforces_the_share_whatever_the_delay():
    policy = trained_policy()
    calls = 2_000

    hedges = 0
    for _ in range(calls):
        policy.delay_s(CALL, 0.0)
        hedges += policy.try_spend(CALL, 0.0)

    assert 0 < hedges <= 0.05 * calls + BUDGET_CAPACITY


def test_no_hedges_while_most_targets_are_full():
    policy = trained_policy(load=FULL)
    assert policy.delay_s(CALL, 0.0) is None
    assert not policy.try_spend(CALL, 0.0)

    for _ in range(100):
        policy.finished(CALL, 0.0, 0.01, OK, LoadReport(9, 3, 0, 10.0))

    assert policy.delay_s(CALL, 0.0) is not None


def test_refusals_indicate_overload():
    policy = trained_policy()
    refused = NotRun(ResultCode.SERVER_SHED, "shed", 1.0)

    for _ in range(100):
        policy.finished(CALL, 0.0, 0.001, refused, None)

    assert policy.delay_s(CALL, 0.0) is None


def test_one_full_target_of_three_does_not_stop_hedges():
    policy = trained_policy()

    for number in range(300):
        load = FULL if number % 3 == 0 else None
        policy.finished(CALL, 0.0, 0.01, OK, load)

    assert policy.delay_s(CALL, 0.0) is not None


def test_number_of_services_kept_is_bounded():
    policy = QuantileHedgePolicy()

    for number in range(MAX_SERVICES + 5):
        call = dataclasses.replace(CALL, service=f"s{number}")
        policy.finished(call, 0.0, 0.01, OK, None)

    assert len(policy._services) == MAX_SERVICES
