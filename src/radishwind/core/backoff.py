"""Pauses between attempts that fail."""

import random


class Backoff:
    """Exponential back-off with random jitter.

    Each pause is drawn uniformly between half of `initial_s` and an upper
    bound that doubles with each consecutive failure.

    Args:
      rng: source of the jitter.
      initial_s: upper bound of the first pause (s).
      max_s: longest pause (s).

    Attributes:
      failures: number of consecutive failures.
    """

    def __init__(
        self, rng: random.Random, initial_s: float, max_s: float
    ) -> None:
        self._rng = rng
        self._initial_s = initial_s
        self._max_s = max_s
        self.failures = 0

    def record_failure(self) -> float:
        """Counts a failure; returns the duration of the next pause (s)."""
        doublings = min(self.failures, 30)
        self.failures += 1
        bound_s = min(self._max_s, self._initial_s * 2**doublings)
        return self._rng.uniform(self._initial_s / 2, bound_s)

    def record_success(self) -> None:
        """Resets the number of consecutive failures."""
        self.failures = 0
