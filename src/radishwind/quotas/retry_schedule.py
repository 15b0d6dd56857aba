"""Spaces the retries of requests that were refused over their quota."""

import random

from radishwind.quotas.limits import QuotaLimit
from radishwind.quotas.token_lease import TokenLease

#: Shortest retry delay: a request for tokens that a refusal triggers needs a
#: round trip to the lender.
MIN_RETRY_S = 0.04

#: Retry delays are spread at random by up to this fraction either way.
_JITTER = 0.3


def schedule_retry_s(
    lease: TokenLease, limit: QuotaLimit, rng: random.Random, now: float
) -> float:
    """Returns after how long a refused request should be retried (s).

    Successive refusals get successive retry times, spaced by this node's share
    of the rate. If that time is more than a window ahead, a random time in the
    second half of the window is returned instead.

    Args:
      lease: this node's lease of the account; stores the last retry time.
      limit: limit of the account.
      rng: random source.
      now: monotonic time (s).
    """
    gap_s = lease.borrower_count / limit.rate_per_s
    retry_at = max(lease.last_retry_at + gap_s, now + MIN_RETRY_S)
    if retry_at - now > limit.window_s:
        return limit.window_s * rng.uniform(0.5, 1.0)
    lease.last_retry_at = retry_at
    return (retry_at - now) * rng.uniform(1 - _JITTER, 1 + _JITTER)
