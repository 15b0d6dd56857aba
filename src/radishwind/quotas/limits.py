"""Derived limits of an account, and how the tolerance is divided.

In any window all nodes together admit at most `rate * window + burst` requests
plus a tolerance. The tolerance covers what the nodes cannot know about each
other in time. It is divided among the causes listed below, whose shares add up
to at most the whole.
"""

from typing import Self

import msgspec

from radishwind.accounts import Account

#: Shares of the tolerance: bucket depth beyond the burst; requests that nodes
#: admit without a leased token; and requests that are refunded late. The rest
#: covers two lenders of one account at the same time.
_DEPTH_SHARE = 0.4
_UNLEASED_SHARE = 0.3
_REFUND_SHARE = 0.1

#: A request that did not run is refunded only within this time.
MAX_REFUND_DELAY_S = 1.0


class QuotaBounds(msgspec.Struct, frozen=True):
    """How precisely the quotas of all accounts are enforced.

    Attributes:
      window_s: window over which requests are counted (s).
      tolerance_ratio: tolerance as a fraction of what the quota allows in a
        window.
      tolerance_requests: further tolerance for each account and window
        (requests).
    """

    window_s: float = 5.0
    tolerance_ratio: float = 0.1
    tolerance_requests: float = 20.0


class QuotaLimit(msgspec.Struct, frozen=True):
    """Limits of one account, derived from its quota and the bounds.

    Attributes:
      rate_per_s: refill rate over all nodes (requests/s).
      depth: tokens that the bucket holds at most.
      max_unleased: number of nodes that may each admit one request without a
        leased token.
      refund_within_s: how long after its admission a request that did not run
        can be refunded (s).
      window_s: window of the bound (s).
      max_per_window: the bound (requests per window).
    """

    rate_per_s: float
    depth: float
    max_unleased: float
    refund_within_s: float
    window_s: float
    max_per_window: float

    @classmethod
    def for_account(cls, account: Account, bounds: QuotaBounds) -> Self | None:
        """Returns the limit of `account`; `None` if it has no quota."""
        if not account.is_limited:
            return None
        rate, burst = account.rate_per_s, account.burst
        quota = rate * bounds.window_s + burst
        tolerance = bounds.tolerance_ratio * quota + bounds.tolerance_requests
        return cls(
            rate_per_s=rate,
            depth=max(1.0, burst + _DEPTH_SHARE * tolerance),
            max_unleased=_UNLEASED_SHARE * tolerance,
            refund_within_s=min(
                MAX_REFUND_DELAY_S, _REFUND_SHARE * tolerance / rate
            ),
            window_s=bounds.window_s,
            max_per_window=quota + tolerance,
        )
