"""Retries from a budget that is a share of first attempts."""

import dataclasses
from typing import TYPE_CHECKING

from radishwind.core.codes import ResultCode
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.retries.policy import may_repeat
from radishwind.retries.policy import RetryPolicy

if TYPE_CHECKING:
    from radishwind.entry.call import Call

#: Attempts of one call at most, whatever the budget.
MAX_ATTEMPTS = 4

#: Retries that a service with few requests may make (per s); it is a floor,
#: not added to the share.
FLOOR_PER_S = 0.2

#: Retries saved up at most, for a burst of refusals.
MAX_SAVED = 10.0

#: Retries that a service may make before it has earned any.
FIRST_SAVED = 3.0

#: Services whose budget is kept; the longest unused is forgotten.
MAX_SERVICES = 256

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


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Tokens earned by a share of events, at least by a floor over time.

    Attributes:
      tokens: saved now.
      earned: when the last were earned (monotonic s).
    """

    tokens: float
    earned: float

    def earn(
        self, share: float, floor_per_s: float, most: float, now: float
    ) -> None:
        """Adds the tokens of one event.

        Args:
          share: tokens for each event.
          floor_per_s: tokens for each second, where that is more (1/s).
          most: tokens saved at most.
          now: monotonic time (s).
        """
        gained = max(share, (now - self.earned) * floor_per_s)
        self.tokens = min(most, self.tokens + gained)
        self.earned = now

    def spend(self) -> bool:
        """Takes a token; returns whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class BucketTable:
    """A token bucket for each service used recently."""

    def __init__(self, floor_per_s: float, most: float) -> None:
        """Makes an empty table.

        Args:
          floor_per_s: tokens that a service earns at least (1/s); 0 for none.
          most: tokens that a service saves at most.
        """
        self._floor_per_s = floor_per_s
        self._most = most
        self._buckets: dict[str, TokenBucket] = {}

    def earn(self, service: str, share: float, now: float) -> None:
        """Adds the tokens of one first attempt of `service`."""
        bucket = self._buckets.pop(service, None) or TokenBucket(
            FIRST_SAVED, now
        )
        self._buckets[service] = bucket
        if len(self._buckets) > MAX_SERVICES:
            del self._buckets[next(iter(self._buckets))]
        floor_per_s = self._floor_per_s if share > 0 else 0.0
        bucket.earn(share, floor_per_s, self._most, now)

    def spend(self, service: str) -> bool:
        """Takes a token of `service`; returns whether there was one."""
        bucket = self._buckets.get(service)
        return bucket is not None and bucket.spend()


class RetryBudget(RetryPolicy):
    """Repeats what may be repeated, within the share that the rules give."""

    def __init__(self) -> None:
        self._buckets = BucketTable(FLOOR_PER_S, MAX_SAVED)

    def first(self, call: "Call", now: float) -> None:
        self._buckets.earn(call.service, call.rules.retry_share, now)

    def again(
        self, call: "Call", outcome: Outcome, attempts: int, now: float
    ) -> bool:
        if attempts >= MAX_ATTEMPTS or now >= call.deadline:
            return False
        if not may_repeat(call, outcome):
            return False
        if not _at_this_level(call, outcome):
            return False
        return call.rules.retry_share > 0 and self._buckets.spend(call.service)


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
