"""Token buckets by service, which limit retries and hedges."""

import msgspec

#: Initial tokens of a service.
INITIAL_TOKENS = 3.0

#: Services whose bucket is kept; the least recently used is evicted.
MAX_SERVICES = 256


class _Bucket(msgspec.Struct):
    """A token bucket, filled by events and at a minimum rate.

    Attributes:
      tokens: current number of tokens.
      deposited_at: time of the latest deposit (monotonic s).
    """

    tokens: float
    deposited_at: float

    def deposit(
        self, share: float, min_rate_per_s: float, capacity: float, now: float
    ) -> None:
        """Adds the tokens for one event.

        Args:
          share: tokens per event.
          min_rate_per_s: minimum rate (1/s), applied to the time since the
            latest deposit.
          capacity: maximum number of tokens.
          now: monotonic time (s).
        """
        gained = max(share, (now - self.deposited_at) * min_rate_per_s)
        self.tokens = min(capacity, self.tokens + gained)
        self.deposited_at = now

    def try_spend(self) -> bool:
        """Takes a token; returns `False` if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class TokenBucketTable:
    """A token bucket for each service used recently."""

    def __init__(self, min_rate_per_s: float, capacity: float) -> None:
        """Creates an empty table.

        Args:
          min_rate_per_s: minimum rate of a service (1/s); 0 for none.
          capacity: maximum number of tokens of a service.
        """
        self._min_rate_per_s = min_rate_per_s
        self._capacity = capacity
        self._buckets: dict[str, _Bucket] = {}

    def deposit(self, service: str, share: float, now: float) -> None:
        """Adds the tokens for one first attempt of `service`."""
        bucket = self._buckets.pop(service, None) or _Bucket(
            INITIAL_TOKENS, now
        )
        self._buckets[service] = bucket
        if len(self._buckets) > MAX_SERVICES:
            del self._buckets[next(iter(self._buckets))]
        min_rate_per_s = self._min_rate_per_s if share > 0 else 0.0
        bucket.deposit(share, min_rate_per_s, self._capacity, now)

    def try_spend(self, service: str) -> bool:
        """Takes a token of `service`; returns `False` if there is none."""
        bucket = self._buckets.get(service)
        return bucket is not None and bucket.try_spend()
