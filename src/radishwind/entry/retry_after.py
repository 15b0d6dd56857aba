"""When a refused caller is told to come back."""

import math
import random

import msgspec

from radishwind.outcomes import NotRun

#: When to come back after a refusal that does not say (s).
DEFAULT_RETRY_S = 1.0


class RetryAfter(msgspec.Struct, frozen=True):
    """Bounds the time and spreads it, so that not all come back at once.

    Attributes:
      default_s: for a refusal that does not say (s).
      most_s: the longest told (s); where requests live for a second or less,
        a later return is of no use.
      spread: part by which the time is made longer or shorter at random.
      rng: the random source; `None` for no spread.
    """

    default_s: float = DEFAULT_RETRY_S
    most_s: float = math.inf
    spread: float = 0.0
    rng: random.Random | None = None

    def for_refusal(self, refusal: NotRun) -> float:
        """Returns when to come back after `refusal` (s)."""
        told_s = refusal.retry_after_s
        wait_s = min(self.default_s if told_s is None else told_s, self.most_s)
        if self.rng is None:
            return wait_s
        return wait_s * self.rng.uniform(1 - self.spread, 1 + self.spread)
