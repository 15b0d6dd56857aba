"""Keeps calls from a store that failed, and tries it again by one call."""

import random

_FIRST_S = 0.25
_MOST_S = 5.0


class StoreGate:
    """Closed after a failure, for a while that doubles up to a limit.

    After that while one call may try; the others stay refused until it is
    back, so that a hanging store holds up one caller and not all.

    Args:
      rng: spreads the nodes' tries.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._closed_until = 0.0
        self._trying = False

    def enter(self, now: float) -> bool:
        """Returns whether the store may be called at `now` (s).

        Each call that may must be followed by `succeeded` or `failed`.
        """
        if not self._failures:
            return True
        if self._trying or now < self._closed_until:
            return False
        self._trying = True
        return True

    def succeeded(self) -> None:
        """Notes that the store answered."""
        self._failures = 0
        self._trying = False

    def failed(self, now: float) -> None:
        """Notes that the store failed."""
        self._trying = False
        if now < self._closed_until:
            return  # Calls made together fail together, and count once.
        wait_s = min(_FIRST_S * 2 ** min(self._failures, 10), _MOST_S)
        self._failures += 1
        self._closed_until = now + wait_s * self._rng.uniform(0.5, 1.0)

    def wait_s(self, now: float) -> float:
        """Returns when to come back (s)."""
        return max(0.5, self._closed_until - now)
