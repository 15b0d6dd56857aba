"""Retries within a budget that is a share of the first attempts."""

from typing import TYPE_CHECKING

from radishwind.core.codes import ResultCode
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.retries.policy import is_safe_to_retry
from radishwind.retries.policy import RetryPolicy
from radishwind.retries.token_buckets import TokenBucketTable

if TYPE_CHECKING:
    from radishwind.entry.call import Call

#: Maximum number of attempts of one call, whatever the budget.
MAX_ATTEMPTS = 4

#: Minimum rate of retries of a service with few requests (1/s); it is not added
#: to the share.
MIN_RETRIES_PER_S = 0.2

#: Capacity of the budget of a service (retries), for a burst of refusals.
BUDGET_CAPACITY = 10.0

#: Refusals by the node of the target or by the connection: the request did not
#: run, so that a retry multiplies no work at the levels below.
_NOT_STARTED = frozenset(
    {
        ResultCode.NO_TARGET,
        ResultCode.OVERLOADED,
        ResultCode.LEAVING,
        ResultCode.CONNECT_FAILED,
        ResultCode.SERVER_UNANNOUNCED,
        ResultCode.TARGET_UNLISTED,
    }
)

#: Refusals that any other target would repeat.
_FINAL = frozenset(
    {
        ResultCode.DEADLINE_PASSED,
        ResultCode.QUARANTINED,
        ResultCode.CLAIM_UNAVAILABLE,
    }
)


class BudgetedRetryPolicy(RetryPolicy):
    """Retries calls that are safe to retry, within the share of the rules."""

    def __init__(self) -> None:
        self._buckets = TokenBucketTable(MIN_RETRIES_PER_S, BUDGET_CAPACITY)

    def record_first_attempt(self, call: "Call", now: float) -> None:
        self._buckets.deposit(call.service, call.rules.retry_share, now)

    def should_retry(
        self, call: "Call", outcome: Outcome, attempts: int, now: float
    ) -> bool:
        if attempts >= MAX_ATTEMPTS or now >= call.deadline:
            return False
        if not is_safe_to_retry(call, outcome):
            return False
        if not _may_retry_at_depth(call, outcome):
            return False
        return call.rules.retry_share > 0 and self._buckets.try_spend(
            call.service
        )


def _may_retry_at_depth(call: "Call", outcome: Outcome) -> bool:
    """Returns whether this level of a nested call may retry the attempt.

    A request that ran, or may have, has sent calls of its own. Only the
    outermost level retries it; otherwise the attempts would multiply from level
    to level.
    """
    if isinstance(outcome, NotRun):
        if outcome.code in _FINAL:
            return False
        if outcome.code in _NOT_STARTED:
            return True
    return call.depth == 0
