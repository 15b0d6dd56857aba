"""Computes the Retry-After time of refusals."""

import math
import random

import msgspec

from radishwind.outcomes import NotRun

#: Retry time of a refusal that states none (s).
DEFAULT_RETRY_S = 1.0


class RetryAfter(msgspec.Struct, frozen=True):
    """Bounds the retry time and adds jitter, so that not all retry at once.

    Attributes:
      default_s: retry time of a refusal that states none (s).
      max_s: the longest retry time (s); if requests live for a second or less,
        a later retry is of no use.
      spread: maximum random change, as a fraction of the retry time.
      rng: the random source; `None` for no jitter.
    """

    default_s: float = DEFAULT_RETRY_S
    max_s: float = math.inf
    spread: float = 0.0
    rng: random.Random | None = None

    def for_refusal(self, refusal: NotRun) -> float:
        """Returns the time after which to retry after `refusal` (s)."""
        stated_s = refusal.retry_after_s
        wait_s = min(
            self.default_s if stated_s is None else stated_s, self.max_s
        )
        if self.rng is None:
            return wait_s
        return wait_s * self.rng.uniform(1 - self.spread, 1 + self.spread)
