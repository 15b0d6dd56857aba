"""Rate limit of a node's calls to the store for claims."""

from collections.abc import Callable

#: Capacity of the bucket, as the time in which it refills from empty.
BURST_S = 10.0

#: Reported time until the next token while the rate is zero.
_ZERO_RATE_WAIT_S = 60.0


class StoreCallBudget:
    """Token bucket in which one token is one call to the store.

    Args:
      rate_per_s: returns the current refill rate (1/s). It is the node's share
        of the rate of the whole fleet, and thus falls as nodes join.
    """

    def __init__(self, rate_per_s: Callable[[], float]) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = max(1.0, rate_per_s() * BURST_S)
        self._refilled_at = 0.0

    def try_spend(self, now: float) -> bool:
        """Spends one token; returns false if none is left at `now` (s)."""
        self._refill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def charge(self, now: float) -> None:
        """Spends one token unconditionally; the balance may become negative.

        This is for calls that must be made even if the budget is spent.
        """
        self._refill(now)
        self._tokens -= 1

    def next_token_s(self, now: float) -> float:
        """Returns the time until a token is available (s)."""
        self._refill(now)
        rate_per_s = self._rate_per_s()
        missing = max(0.0, 1 - self._tokens)
        return missing / rate_per_s if rate_per_s > 0 else _ZERO_RATE_WAIT_S

    def _refill(self, now: float) -> None:
        rate_per_s = self._rate_per_s()
        refill = max(0.0, now - self._refilled_at) * rate_per_s
        self._refilled_at = now
        self._tokens = min(
            self._tokens + refill, max(1.0, rate_per_s * BURST_S)
        )
