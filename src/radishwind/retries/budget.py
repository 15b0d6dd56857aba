"""Retries from a budget that is a share of first attempts."""

from typing import TYPE_CHECKING

from radishwind.core.codes import ResultCode
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.retries.policy import is_safe_to_retry
from radishwind.retries.policy import RetryPolicy
from radishwind.retries.token_buckets import TokenBucketTable

if TYPE_CHECKING:
    from radishwind.entry.call import Call

#: Attempts of one call at most, whatever the budget.
MAX_ATTEMPTS = 4

#: Retries that a service with few requests may make (per s); it is a floor,
#: not added to the share.
FLOOR_PER_S = 0.2

#: Retries saved up at most, for a burst of refusals.
MAX_SAVED = 10.0

#: Refusals by the target's node or by the connection: nothing of the request
#: ran, so another attempt multiplies no work at the levels below.
_NOTHING_RAN = frozenset(
    {
        ResultCode.NO_TARGET,
        ResultCode.OVERLOADED,
        ResultCode.LEAVING,
        ResultCode.CONNECT_FAILED,
        ResultCode.SERVER_UNANNOUNCED,
        ResultCode.TARGET_UNLISTED,
    }
)

#: Refusals that hold at any target.
_FINAL = frozenset(
    {
        ResultCode.DEADLINE_PASSED,
        ResultCode.QUARANTINED,
        ResultCode.CLAIM_UNAVAILABLE,
    }
)


class BudgetedRetryPolicy(RetryPolicy):
    """Repeats what may be repeated, within the share that the rules give."""

    def __init__(self) -> None:
        self._buckets = TokenBucketTable(FLOOR_PER_S, MAX_SAVED)

    def record_first_attempt(self, call: "Call", now: float) -> None:
        self._buckets.deposit(call.service, call.rules.retry_share, now)

    def should_retry(
        self, call: "Call", outcome: Outcome, attempts: int, now: float
    ) -> bool:
        if attempts >= MAX_ATTEMPTS or now >= call.deadline:
            return False
        if not is_safe_to_retry(call, outcome):
            return False
        if not _at_this_level(call, outcome):
            return False
        return call.rules.retry_share > 0 and self._buckets.try_spend(
            call.service
        )


def _at_this_level(call: "Call", outcome: Outcome) -> bool:
    """Returns whether this level of a nested call may repeat the attempt.

    Work that ran, or may have, has made calls of its own: only the outermost
    level repeats it, else each level would multiply the levels below.
    """
    if isinstance(outcome, NotRun):
        if outcome.code in _FINAL:
            return False
        if outcome.code in _NOTHING_RAN:
            return True
    return call.depth == 0
