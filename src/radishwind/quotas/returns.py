"""When a request that was refused over its quota may come back."""

import random

from radishwind.quotas.limits import QuotaLimit
from radishwind.quotas.loan import Loan

#: Nobody is told to come back sooner (s): what is asked for at a refusal
#: arrives after a round trip.
LEAST_S = 0.04

#: A time to come back is made longer or shorter by this part.
_SPREAD = 0.3


def return_in_s(
    loan: Loan, limit: QuotaLimit, rng: random.Random, now: float
) -> float:
    """Returns after how long there will be room (s).

    Each that is refused here gets a place behind the one before, as far apart
    as this node's part of the rate allows; where that is further than a window
    away, any time in the later half of it.

    Args:
      loan: what this node holds of the account; keeps the last place.
      limit: of the account.
      rng: the random source.
      now: monotonic time (s).
    """
    gap_s = loan.askers / limit.rate_per_s
    first = max(loan.return_at + gap_s, now + LEAST_S)
    if first - now > limit.window_s:
        return limit.window_s * rng.uniform(0.5, 1.0)
    loan.return_at = first
    return (first - now) * rng.uniform(1 - _SPREAD, 1 + _SPREAD)
