"""Holds a key of the store by a lease, and fences what its holder does.

The clock alone cannot protect: a holder may be paused between looking at its
clock and its write. So each effect carries the epoch as a condition that the
store checks where the effect happens; the clock only saves useless calls.
"""

from collections.abc import Sequence
import dataclasses

import anyio

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.leases.lease_term import LeaseTerm
from radishwind.store.base import Compare
from radishwind.store.base import Operation
from radishwind.store.base import Put
from radishwind.store.base import Store
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.base import StoreError
from radishwind.store.base import TxnResult

#: A renewal that failed is tried again after this share of the time to live,
#: several times within the term.
_RETRY_SHARE = 0.1


class LeaseLostError(RadishwindError):
    """The lease is not held, or not surely any more."""

    code = ResultCode.LEASE_LOST


@dataclasses.dataclass(frozen=True, slots=True)
class _Tenure:
    """One time of holding the key.

    Attributes:
      lease_id: the store's ID of the lease.
      epoch: the revision at which the holder's key was created.
    """

    lease_id: int
    epoch: int


class LeaseHolder:
    """Holds one key of the store for one holder at a time.

    Args:
      store: the store.
      clock: its monotonic time bounds how long the lease is trusted.
      key: the key that stands for the lease.
      holder: what is written there; unique over holders and restarts.
      ttl_s: time to live of the lease (s).
    """

    def __init__(
        self, store: Store, clock: Clock, key: str, holder: str, ttl_s: int
    ) -> None:
        self._store = store
        self._clock = clock
        self._key = key
        self._holder = holder.encode()
        self._ttl_s = ttl_s
        self._tenure: _Tenure | None = None
        self._term = LeaseTerm(0.0, 0.0)

    @property
    def epoch(self) -> int | None:
        """The epoch while the lease is surely held, else `None`."""
        if self._tenure is None or not self._term.is_valid(
            self._clock.monotonic()
        ):
            return None
        return self._tenure.epoch

    def fence(self) -> Compare:
        """Returns the condition that holds only in this epoch.

        Raises:
          LeaseLostError: the lease is not surely held.
        """
        epoch = self.epoch
        if epoch is None:
            raise LeaseLostError(f"expected {self._key} to be held, it is not")
        return Compare(self._key, create_revision=epoch)

    async def transact(
        self, compares: Sequence[Compare], operations: Sequence[Operation]
    ) -> TxnResult:
        """Makes the changes only if the lease is still held at the store.

        Raises:
          LeaseLostError: the lease is not surely held; nothing was sent.
          StoreError: the store failed.
        """
        fence = self.fence()
        return await self._store.transact((fence, *compares), operations)

    async def acquire(self) -> bool:
        """Tries once to become the holder; returns whether it is.

        Raises:
          StoreError: the store failed and the lease is not surely held.
        """
        if self.epoch is not None:
            return True
        self._tenure = None
        requested_at = self._clock.monotonic()
        lease_id = await self._store.grant(self._ttl_s)
        epoch = await self._create(lease_id)
        if epoch is None:
            await self._revoke(lease_id)
            return False
        self._tenure = _Tenure(lease_id, epoch)
        self._term = LeaseTerm(requested_at, self._ttl_s)
        return self.epoch is not None

    async def renew(self) -> bool:
        """Renews the lease once; returns whether it is surely held.

        A failed call is no loss yet: the lease stays until its term ends.
        """
        if self._tenure is None:
            return False
        requested_at = self._clock.monotonic()
        try:
            ttl_s = await self._store.keep_alive(self._tenure.lease_id)
        except StoreError:
            return self.epoch is not None
        if ttl_s <= 0:
            self._tenure = None
            return False
        self._term = LeaseTerm(requested_at, min(ttl_s, self._ttl_s))
        return self.epoch is not None

    async def release(self) -> None:
        """Gives the lease back, so that another may hold it at once."""
        tenure, self._tenure = self._tenure, None
        if tenure is not None:
            await self._revoke(tenure.lease_id)

    async def renew_until_lost(self) -> None:
        """Keeps the lease, once acquired; returns when it is lost."""
        while self._tenure is not None:
            now = self._clock.monotonic()
            wait_s = self._term.renew_at - now
            if wait_s <= 0:
                wait_s = self._ttl_s * _RETRY_SHARE
            await anyio.sleep(wait_s)
            if not await self.renew():
                self._tenure = None

    async def _create(self, lease_id: int) -> int | None:
        """Returns the epoch, `None` where another holds the key."""
        try:
            result = await self._store.transact(
                (Compare(self._key, mod_revision=0),),
                (Put(self._key, self._holder, lease_id),),
            )
        except StoreAnswerLostError:
            entry = await self._store.get(self._key)
            ours = entry is not None and entry.lease_id == lease_id
            return entry.create_revision if entry and ours else None
        return result.revision if result.succeeded else None

    async def _revoke(self, lease_id: int) -> None:
        try:
            await self._store.revoke(lease_id)
        except StoreError:
            return  # It lapses by itself.
