"""What of the store's rate a node may take for claims."""

from collections.abc import Callable

#: Unused budget is kept for at most this long (s).
BURST_S = 10.0

#: How long to wait for a token while the rate is zero (s).
_NO_RATE_WAIT_S = 60.0


class StoreCallBudget:
    """A token bucket; one token is one call of the store.

    Args:
      rate: returns the calls per second allowed now, which shrinks as nodes
        join; a node alone may not take more than its share.
    """

    def __init__(self, rate: Callable[[], float]) -> None:
        self._rate = rate
        self._tokens = max(1.0, rate() * BURST_S)
        self._filled = 0.0

    def try_spend(self, now: float) -> bool:
        """Takes one token, if there is one at `now` (s)."""
        self._fill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def charge(self, now: float) -> None:
        """Takes one token for a call that must be made, even on credit."""
        self._fill(now)
        self._tokens -= 1

    def next_token_s(self, now: float) -> float:
        """Returns how long until there is a token (s)."""
        self._fill(now)
        rate = self._rate()
        missing = max(0.0, 1 - self._tokens)
        return missing / rate if rate > 0 else _NO_RATE_WAIT_S

    def _fill(self, now: float) -> None:
        rate = self._rate()
        earned = max(0.0, now - self._filled) * rate
        self._filled = now
        self._tokens = min(self._tokens + earned, max(1.0, rate * BURST_S))
