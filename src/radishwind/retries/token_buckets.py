"""Token buckets for each service; retries and hedges are paid from them."""

import msgspec

#: Tokens that a service has before it has earned any.
FIRST_SAVED = 3.0

#: Services whose budget is kept; the longest unused is forgotten.
MAX_SERVICES = 256


class _Bucket(msgspec.Struct):
    """Tokens earned by a share of events, at least by a floor over time.

    Attributes:
      tokens: saved now.
      earned: when the last were earned (monotonic s).
    """

    tokens: float
    earned: float

    def deposit(
        self, share: float, floor_per_s: float, most: float, now: float
    ) -> None:
        """Adds the tokens of one event.

        Args:
          share: tokens for each event.
          floor_per_s: tokens for each second, where that is more (1/s).
          most: tokens saved at most.
          now: monotonic time (s).
        """
        gained = max(share, (now - self.earned) * floor_per_s)
        self.tokens = min(most, self.tokens + gained)
        self.earned = now

    def try_spend(self) -> bool:
        """Takes a token; returns whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class TokenBucketTable:
    """A token bucket for each service used recently."""

    def __init__(self, floor_per_s: float, most: float) -> None:
        """Makes an empty table.

        Args:
          floor_per_s: tokens that a service earns at least (1/s); 0 for none.
          most: tokens that a service saves at most.
        """
        self._floor_per_s = floor_per_s
        self._most = most
        self._buckets: dict[str, _Bucket] = {}

    def deposit(self, service: str, share: float, now: float) -> None:
        """Adds the tokens of one first attempt of `service`."""
        bucket = self._buckets.pop(service, None) or _Bucket(FIRST_SAVED, now)
        self._buckets[service] = bucket
        if len(self._buckets) > MAX_SERVICES:
            del self._buckets[next(iter(self._buckets))]
        floor_per_s = self._floor_per_s if share > 0 else 0.0
        bucket.deposit(share, floor_per_s, self._most, now)

    def try_spend(self, service: str) -> bool:
        """Takes a token of `service`; returns whether there was one."""
        bucket = self._buckets.get(service)
        return bucket is not None and bucket.try_spend()
