from hypothesis import given
from hypothesis import strategies as st
import pytest

from radishwind.config.model import ServiceRules
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun
from radishwind.outcomes import Unknown
from radishwind.retries import BudgetedRetryPolicy
from radishwind.retries.budget import BUDGET_CAPACITY
from radishwind.retries.budget import MAX_ATTEMPTS
from radishwind.retries.token_buckets import INITIAL_TOKENS

FULL = NotRun(ResultCode.OVERLOADED, "full", 1.0)
SHED = NotRun(ResultCode.SERVER_SHED, "shed", 1.0)
NO_CONNECTION = NotRun(ResultCode.CONNECT_FAILED, "refused")
BROKEN = Unknown(ResultCode.EXCHANGE_BROKEN, "broken")


def call_with(depth=0, idempotent=True, share=0.1, service="tags"):
    return Call(
        call_id="c",
        service=service,
        request=Request("GET", "/tags"),
        rules=ServiceRules(retry_share=share),
        idempotent=idempotent,
        deadline=1e9,
        expires_ms=0,
        caller="coach",
        depth=depth,
    )


def should_retry(call, outcome, attempts=1, now=0.0):
    """Returns the decision of a policy whose budget has a token."""
    policy = BudgetedRetryPolicy()
    policy.record_first_attempt(call, now)
    return policy.should_retry(call, outcome, attempts, now)


@pytest.mark.parametrize(
    ("outcome", "idempotent", "expected"),
    [
        (NO_CONNECTION, False, True),
        (FULL, False, True),
        (SHED, False, True),
        (BROKEN, False, False),
        (BROKEN, True, True),
        (Done(Response(503)), True, False),
        (NotRun(ResultCode.DEADLINE_PASSED, "late"), True, False),
        (NotRun(ResultCode.QUARANTINED, "suspect"), True, False),
    ],
)
def test_which_outcomes_are_retried(outcome, idempotent, expected):
    assert should_retry(call_with(idempotent=idempotent), outcome) is expected


@pytest.mark.parametrize("depth", [1, 25])
def test_possible_runs_are_retried_only_at_the_outermost_level(depth):
    assert not should_retry(call_with(depth), BROKEN)
    assert not should_retry(call_with(depth), SHED)
    assert should_retry(call_with(depth), FULL)
    assert should_retry(call_with(depth), NO_CONNECTION)


def test_limits_of_one_call():
    call = call_with()

    assert not should_retry(call, FULL, attempts=MAX_ATTEMPTS)
    assert not should_retry(call, FULL, now=call.deadline)
    assert not should_retry(call_with(share=0.0), FULL)


def test_refusals_of_half_the_targets_cause_no_retry_storm():
    policy = BudgetedRetryPolicy()
    call = call_with()
    calls, retries = 10_000, 0

    for number in range(calls):
        now = number * 0.003
        policy.record_first_attempt(call, now)
        attempts = 1
        # Every second target refuses: half of all attempts.
        while (number + attempts) % 2 and policy.should_retry(
            call, FULL, attempts, now
        ):
            attempts += 1
            retries += 1

    assert retries / calls <= 0.1 + BUDGET_CAPACITY / calls


def test_service_with_few_requests_may_retry():
    policy = BudgetedRetryPolicy()
    call = call_with()

    for number in range(10):
        now = number * 60.0
        policy.record_first_attempt(call, now)
        assert policy.should_retry(call, FULL, 1, now)


def test_services_have_separate_budgets():
    policy = BudgetedRetryPolicy()
    policy.record_first_attempt(call_with(service="a"), 0.0)
    spent = sum(
        policy.should_retry(call_with(service="a"), FULL, 1, 0.0)
        for _ in range(20)
    )
    assert spent < 20

    policy.record_first_attempt(call_with(service="b"), 0.0)

    assert policy.should_retry(call_with(service="b"), FULL, 1, 0.0)


@given(
    gaps_s=st.lists(st.floats(0.0, 0.4), min_size=1, max_size=200),
    share=st.floats(0.01, 0.5),
)
def test_retries_never_exceed_the_share_and_the_initial_tokens(gaps_s, share):
    # The gaps are so short that the minimum rate stays below the share.
    policy = BudgetedRetryPolicy()
    call = call_with(share=max(share, 0.1))
    now, retries = 0.0, 0
    for gap_s in gaps_s:
        now += gap_s
        policy.record_first_attempt(call, now)
        retries += sum(
            policy.should_retry(call, FULL, 1, now) for _ in range(3)
        )

    allowed = len(gaps_s) * call.rules.retry_share + INITIAL_TOKENS
    assert retries <= allowed + 1e-6
