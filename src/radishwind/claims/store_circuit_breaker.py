"""Keeps calls from a store that failed, and tries it again by one call."""

import random

from radishwind.store.budgeted_store import Backoff

#: How long at most the store is left alone after the first failure, and after
#: any number of them (s).
_FIRST_S = 0.25
_MOST_S = 5.0

#: The least time callers are told to wait before they come back (s).
_LEAST_RETRY_S = 0.5


class StoreCircuitBreaker:
    """Closed after a failure, for a while that doubles up to a limit.

    After that while one call may try; the others stay refused until it is
    back, so that a hanging store holds up one caller and not all.

    Args:
      rng: spreads the nodes' tries.
    """

    def __init__(self, rng: random.Random) -> None:
        self._backoff = Backoff(rng, _FIRST_S, _MOST_S)
        self._closed_until = 0.0
        self._trying = False

    def try_acquire(self, now: float) -> bool:
        """Returns whether the store may be called at `now` (s).

        Each call that may must be followed by `succeeded` or `failed`.
        """
        if not self._backoff.failures:
            return True
        if self._trying or now < self._closed_until:
            return False
        self._trying = True
        return True

    def record_success(self) -> None:
        """Notes that the store answered."""
        self._backoff.record_success()
        self._trying = False

    def record_failure(self, now: float) -> None:
        """Notes that the store failed."""
        self._trying = False
        if now < self._closed_until:
            return  # Calls made together fail together, and count once.
        self._closed_until = now + self._backoff.record_failure()

    def retry_after_s(self, now: float) -> float:
        """Returns when to come back (s)."""
        return max(_LEAST_RETRY_S, self._closed_until - now)
