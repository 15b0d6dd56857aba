"""Lease on a key of the store that fences the writes of its holder.

The clock alone is not sufficient: a holder may be paused between reading its
clock and its write. Each write therefore carries the epoch as a condition that
the store checks in the same transaction. The clock only avoids useless calls.
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

#: A failed renewal is retried after this fraction of the time to live, which
#: allows several attempts within the term.
_RETRY_FRACTION = 0.1


class LeaseLostError(RadishwindError):
    """The lease is not held, or no longer certain to be held."""

    code = ResultCode.LEASE_LOST


@dataclasses.dataclass(frozen=True, slots=True)
class _HeldLease:
    """One uninterrupted period of holding the lease.

    Attributes:
      lease_id: ID of the lease in the store.
      epoch: store revision at which the key of the lease was created.
    """

    lease_id: int
    epoch: int


class LeaseHolder:
    """Acquires and renews a lease that at most one holder has at a time.

    Args:
      store: the store.
      clock: its monotonic time limits how long the lease is considered held.
      key: store key that represents the lease.
      holder: value of the key; unique across holders and restarts.
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
        self._held: _HeldLease | None = None
        self._term = LeaseTerm(0.0, 0.0)

    @property
    def epoch(self) -> int | None:
        """The epoch; `None` if the lease is not certain to be held."""
        if self._held is None or not self._term.is_valid(
            self._clock.monotonic()
        ):
            return None
        return self._held.epoch

    def fence(self) -> Compare:
        """Returns a condition that is true only in this epoch.

        Raises:
          LeaseLostError: the lease is not certain to be held.
        """
        epoch = self.epoch
        if epoch is None:
            raise LeaseLostError(
                f"expected {self._key} to be held, but it is not"
            )
        return Compare(self._key, create_revision=epoch)

    async def transact(
        self, compares: Sequence[Compare], operations: Sequence[Operation]
    ) -> TxnResult:
        """Runs a transaction on condition that the lease is still held.

        Raises:
          LeaseLostError: the lease is not certain to be held; nothing was sent.
          StoreError: the store failed.
        """
        fence = self.fence()
        return await self._store.transact((fence, *compares), operations)

    async def acquire(self) -> bool:
        """Tries once to acquire the lease; returns whether it is held.

        Raises:
          StoreError: the store failed and the lease is not certain to be held.
        """
        if self.epoch is not None:
            return True
        self._held = None
        requested_at = self._clock.monotonic()
        lease_id = await self._store.grant(self._ttl_s)
        epoch = await self._create_key(lease_id)
        if epoch is None:
            await self._revoke(lease_id)
            return False
        self._held = _HeldLease(lease_id, epoch)
        self._term = LeaseTerm(requested_at, self._ttl_s)
        return self.epoch is not None

    async def renew(self) -> bool:
        """Renews the lease once; returns whether it is certain to be held.

        After a failed call the lease is still held until its term ends.
        """
        if self._held is None:
            return False
        requested_at = self._clock.monotonic()
        try:
            ttl_s = await self._store.keep_alive(self._held.lease_id)
        except StoreError:
            return self.epoch is not None
        if ttl_s <= 0:
            self._held = None
            return False
        self._term = LeaseTerm(requested_at, min(ttl_s, self._ttl_s))
        return self.epoch is not None

    async def release(self) -> None:
        """Revokes the lease, so that another holder can acquire it at once."""
        held, self._held = self._held, None
        if held is not None:
            await self._revoke(held.lease_id)

    async def renew_until_lost(self) -> None:
        """Renews an acquired lease periodically; returns once it is lost."""
        while self._held is not None:
            now = self._clock.monotonic()
            wait_s = self._term.renew_at - now
            if wait_s <= 0:
                wait_s = self._ttl_s * _RETRY_FRACTION
            await anyio.sleep(wait_s)
            if not await self.renew():
                self._held = None

    async def _create_key(self, lease_id: int) -> int | None:
        """Creates the key; returns the epoch, `None` if another holds it."""
        try:
            result = await self._store.transact(
                (Compare(self._key, mod_revision=0),),
                (Put(self._key, self._holder, lease_id),),
            )
        except StoreAnswerLostError:
            entry = await self._store.get(self._key)
            is_own = entry is not None and entry.lease_id == lease_id
            return entry.create_revision if entry and is_own else None
        return result.revision if result.succeeded else None

    async def _revoke(self, lease_id: int) -> None:
        try:
            await self._store.revoke(lease_id)
        except StoreError:
            return  # The lease expires on its own.
