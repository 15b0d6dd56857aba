"""What an account may use, and how the tolerance of its bound is shared out.

In any window all nodes together let in at most `rate x window + burst`, and a
tolerance beside it. The tolerance pays for what nodes can't know of each other
in time: of each part below the sum is at most the whole.
"""

from typing import Self

import msgspec

from radishwind.accounts import Account

#: Parts of the tolerance: what may be held beyond the burst; what one who
#: begins to lend has at once, without knowing what another lent; what nodes
#: let in without having been lent it. The rest is for two who lend at once and
#: for requests that are taken back late.
_HELD = 0.4
_OPENING = 0.2
_UNASKED = 0.3

#: Requests that did not run are taken back within this time (s).
MOST_TAKEN_BACK_S = 1.0


class QuotaBounds(msgspec.Struct, frozen=True):
    """How exactly the quotas of all accounts are kept.

    Attributes:
      window_s: the window in which requests are counted (s).
      over: the tolerance, as a part of what the quota allows in a window.
      slack: requests of tolerance beside that, an account and window.
    """

    window_s: float = 5.0
    over: float = 0.1
    slack: float = 20.0


class QuotaLimit(msgspec.Struct, frozen=True):
    """What one account may use, worked out.

    Attributes:
      rate_per_s: requests a second over all nodes.
      depth: requests that may be held at once over all nodes.
      opening: what one who begins to lend has at once (requests).
      unasked: nodes that may each let in one request without a lender.
      taken_back_s: a request that did not run is taken back so long after it
        was let in (s).
      window_s: the window of the bound (s).
      max_per_window: the bound (requests a window).
    """

    rate_per_s: float
    depth: float
    opening: float
    unasked: float
    taken_back_s: float
    window_s: float
    max_per_window: float

    @classmethod
    def for_account(cls, account: Account, bounds: QuotaBounds) -> Self | None:
        """Returns the limit of `account`; `None` if it has no quota."""
        if not account.is_limited:
            return None
        rate, burst = account.rate_per_s, account.burst
        quota = rate * bounds.window_s + burst
        tolerance = bounds.over * quota + bounds.slack
        spare = (1 - _HELD - _OPENING - _UNASKED) * tolerance
        return cls(
            rate_per_s=rate,
            depth=max(1.0, burst + _HELD * tolerance),
            opening=_OPENING * tolerance,
            unasked=_UNASKED * tolerance,
            taken_back_s=min(MOST_TAKEN_BACK_S, spare / rate),
            window_s=bounds.window_s,
            max_per_window=quota + tolerance,
        )
