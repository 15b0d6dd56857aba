"""One lease of the store shared by the many keys written in a while.

A grant per key would double the store's writes; a lease that is renewed would
keep every key for ever. So a new lease is granted per bucket of time, lives
for the keys' time to live and the bucket's length, and is never renewed.
"""

import dataclasses
import math

import anyio

from radishwind.core.clock import Clock
from radishwind.store.base import Store


@dataclasses.dataclass(frozen=True, slots=True)
class _Bucket:
    """A lease, and until when (monotonic s) keys are put on it."""

    lease_id: int
    until: float


class SharedLease:
    """Grants a lease per time to live and bucket of time.

    Args:
      store: the store.
      clock: its monotonic time ends the buckets.
      bucket_s: how long keys are put on the same lease (s).
    """

    def __init__(self, store: Store, clock: Clock, bucket_s: float) -> None:
        self._store = store
        self._clock = clock
        self._bucket_s = bucket_s
        self._buckets: dict[int, _Bucket] = {}
        self._granting = anyio.Lock()

    def has_valid_lease(self, ttl_s: int) -> bool:
        """Returns whether `lease_id` needs no call of the store now."""
        bucket = self._buckets.get(ttl_s)
        return bucket is not None and self._clock.monotonic() < bucket.until

    async def get_lease_id(self, ttl_s: int) -> int:
        """Returns a lease that lasts at least `ttl_s` (s) from now.

        Raises:
          StoreError: a new one was needed and the store failed.
        """
        async with self._granting:
            if not self.has_valid_lease(ttl_s):
                until = self._clock.monotonic() + self._bucket_s
                lease_id = await self._store.grant(
                    math.ceil(ttl_s + self._bucket_s)
                )
                self._buckets[ttl_s] = _Bucket(lease_id, until)
            return self._buckets[ttl_s].lease_id

    def clear(self) -> None:
        """Drops the leases known; for when the store may have lost them."""
        self._buckets.clear()
