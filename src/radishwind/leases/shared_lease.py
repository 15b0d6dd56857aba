"""Store leases that are shared by all keys written within a time bucket.

A lease per key would double the writes to the store, and a lease that is
renewed would never let a key expire. Therefore a new lease is granted for each
time bucket and never renewed. It lasts for the keys' time to live plus the
length of the bucket.
"""

import dataclasses
import math

import anyio

from radishwind.core.clock import Clock
from radishwind.store.base import Store


@dataclasses.dataclass(frozen=True, slots=True)
class _Bucket:
    """A lease, and the time until which keys are attached to it.

    Attributes:
      lease_id: ID of the lease in the store.
      until: end of the bucket (monotonic s).
    """

    lease_id: int
    until: float


class SharedLease:
    """Grants one lease for each time to live and time bucket.

    Args:
      store: the store.
      clock: its monotonic time delimits the buckets.
      bucket_s: length of a bucket (s).
    """

    def __init__(self, store: Store, clock: Clock, bucket_s: float) -> None:
        self._store = store
        self._clock = clock
        self._bucket_s = bucket_s
        self._buckets: dict[int, _Bucket] = {}
        self._grant_lock = anyio.Lock()

    def has_valid_lease(self, ttl_s: int) -> bool:
        """Returns whether `get_lease_id` needs no call to the store now."""
        bucket = self._buckets.get(ttl_s)
        return bucket is not None and self._clock.monotonic() < bucket.until

    async def get_lease_id(self, ttl_s: int) -> int:
        """Returns the ID of a lease that lasts at least `ttl_s` (s) from now.

        Raises:
          StoreError: a new lease was needed and the store failed.
        """
        async with self._grant_lock:
            if not self.has_valid_lease(ttl_s):
                until = self._clock.monotonic() + self._bucket_s
                lease_id = await self._store.grant(
                    math.ceil(ttl_s + self._bucket_s)
                )
                self._buckets[ttl_s] = _Bucket(lease_id, until)
            return self._buckets[ttl_s].lease_id

    def clear(self) -> None:
        """Drops all known leases, since the store may have lost them."""
        self._buckets.clear()
