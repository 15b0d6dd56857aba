"""Updates claims in the store in the background, in batches.

Each update is conditional on the last revision of its claim, so that repeating
it after a lost response has no further effect. Updates that arrive while a
batch is written form the next one; none waits until a batch is full.
"""

import collections
import dataclasses

import anyio

from radishwind.claims.store_call_budget import StoreCallBudget
from radishwind.claims.store_circuit_breaker import StoreCircuitBreaker
from radishwind.core.clock import Clock
from radishwind.store.base import Compare
from radishwind.store.base import Delete
from radishwind.store.base import Operation
from radishwind.store.base import Put
from radishwind.store.base import Store
from radishwind.store.base import StoreError

#: Maximum number of updates per transaction. Stores allow about 128 operations
#: per transaction.
MAX_BATCH_LENGTH = 32

#: Maximum size of the values in a transaction. Stores accept about 1 MB.
_MAX_BATCH_BYTES = 256 * 1024

#: How long a write without a response may still take effect in the store.
LATE_WRITE_S = 60.0

#: Interval at which unconfirmed claims are looked up in the store.
_UNCONFIRMED_POLL_S = 5.0

#: Maximum number of unconfirmed claims. The oldest are dropped; calls with
#: their keys get the outcome "unknown" until the claims expire.
_MAX_UNCONFIRMED = 1_000

#: Maximum number of nonces remembered as never dispatched.
_MAX_UNDISPATCHED = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUpdate:
    """An update of a claim that this node owns.

    Attributes:
      store_key: the key of the claim in the store.
      mod_revision: the revision of its last change.
      value: the new value, `None` to release the claim.
      lease_id: ID of the lease the key is attached to.
    """

    store_key: str
    mod_revision: int
    value: bytes | None
    lease_id: int

    def size_bytes(self) -> int:
        """Returns the size of the new value (bytes)."""
        return len(self.value or b"")

    def compare(self) -> Compare:
        """Returns the condition of the update."""
        return Compare(self.store_key, mod_revision=self.mod_revision)

    def operation(self) -> Operation:
        """Returns the change made by the update."""
        if self.value is None:
            return Delete(self.store_key)
        return Put(self.store_key, self.value, self.lease_id)


@dataclasses.dataclass(frozen=True, slots=True)
class UnconfirmedClaim:
    """A claim that may or may not be written; it was never dispatched.

    Attributes:
      store_key: the key of the claim in the store.
      nonce: the nonce of the claim.
      expires_at: monotonic time after which the write cannot take effect any
        more (s).
    """

    store_key: str
    nonce: str
    expires_at: float


class ClaimUpdateQueue:
    """Queue of updates to claims.

    It records responses, releases claims whose call did not run and removes
    unconfirmed claims.

    Args:
      store: the store.
      clock: the clock.
      breaker: circuit breaker for the store, shared with `ClaimRegistry`.
      write_budget: rate limit of writes to the store, shared with
        `ClaimRegistry`. Updates are charged to it even if it is spent.
      max_bytes: maximum size of the values in the queue. The oldest updates
        are dropped; calls with their keys get the outcome "unknown" until the
        claims expire.

    Attributes:
      dropped_count: number of updates dropped.
    """

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        breaker: StoreCircuitBreaker,
        write_budget: StoreCallBudget,
        max_bytes: int,
    ) -> None:
        self._store = store
        self._clock = clock
        self._breaker = breaker
        self._write_budget = write_budget
        self._max_bytes = max_bytes
        self._pending: collections.deque[ClaimUpdate] = collections.deque()
        self._pending_bytes = 0
        self._unconfirmed: collections.deque[UnconfirmedClaim] = (
            collections.deque(maxlen=_MAX_UNCONFIRMED)
        )
        self._undispatched: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._wake = anyio.Event()
        self._drained = anyio.Event()
        self.dropped_count = 0

    @property
    def pending_count(self) -> int:
        """Number of updates and removals that wait to be written."""
        return len(self._pending) + len(self._unconfirmed)

    def enqueue(self, update: ClaimUpdate) -> None:
        """Queues an update."""
        self._pending.append(update)
        self._pending_bytes += update.size_bytes()
        while self._pending_bytes > self._max_bytes:
            self._pending_bytes -= self._pending.popleft().size_bytes()
            self.dropped_count += 1
        self._wake.set()

    def enqueue_removal(self, store_key: str, nonce: str) -> None:
        """Queues the removal of a claim that may have been written."""
        expires_at = self._clock.monotonic() + LATE_WRITE_S
        self._unconfirmed.append(UnconfirmedClaim(store_key, nonce, expires_at))
        self._wake.set()

    def mark_undispatched(self, nonce: str) -> None:
        """Records that nothing ran, or will run, under `nonce`."""
        self._undispatched[nonce] = None
        if len(self._undispatched) > _MAX_UNDISPATCHED:
            self._undispatched.popitem(last=False)

    def is_undispatched(self, nonce: str) -> bool:
        """Returns whether nothing ran, or will run, under `nonce`."""
        return nonce in self._undispatched

    async def wait_drained(self) -> None:
        """Waits until all updates are written; `run` must be running.

        Unconfirmed claims are not waited for.
        """
        while self._pending:
            await self._drained.wait()

    async def run(self) -> None:
        """Writes the queued updates until cancelled."""
        while True:
            while self.pending_count:
                has_responded = await self.flush()
                await anyio.sleep(self._pause_s(has_responded))
            await self._wake.wait()
            self._wake = anyio.Event()

    def _pause_s(self, has_responded: bool) -> float:
        """Returns the pause before the next flush (s).

        Args:
          has_responded: whether the store responded to the last flush.
        """
        now = self._clock.monotonic()
        if not has_responded:
            return self._breaker.retry_after_s(now)
        if not self._pending and self._unconfirmed:
            return _UNCONFIRMED_POLL_S
        # While the budget is spent, updates accumulate for the next batch.
        return self._write_budget.next_token_s(now)

    async def flush(self) -> bool:
        """Writes one batch and looks up the unconfirmed claims once.

        Returns:
          Whether the store responded.
        """
        now = self._clock.monotonic()
        if not self._breaker.try_acquire(now):
            return False
        try:
            await self._write_batch()
            await self._remove_unconfirmed()
        except StoreError:
            self._breaker.record_failure(self._clock.monotonic())
            return False
        except BaseException:
            self._breaker.record_failure(self._clock.monotonic())
            raise
        self._breaker.record_success()
        return True

    async def _write_batch(self) -> None:
        """Writes the next batch, one by one if one of its updates fails."""
        batch = self._next_batch()
        if not batch or await self._write(batch):
            self._dequeue(batch)
            return
        if len(batch) == 1:
            # The claim was taken over or has expired, or an earlier write of
            # this update took effect although its response was lost.
            self._dequeue(batch)
            return
        for update in batch:
            await self._write([update])
            self._dequeue([update])

    async def _write(self, batch: list[ClaimUpdate]) -> bool:
        """Writes updates in one transaction; returns whether it succeeded."""
        self._write_budget.charge(self._clock.monotonic())
        result = await self._store.transact(
            [u.compare() for u in batch], [u.operation() for u in batch]
        )
        return result.succeeded

    def _next_batch(self) -> list[ClaimUpdate]:
        """Returns the updates at the head of the queue that fit in a batch.

        A batch ends before a key that it already contains, since a transaction
        may change a key only once.
        """
        batch: list[ClaimUpdate] = []
        size_bytes = 0
        keys: set[str] = set()
        for update in self._pending:
            size_bytes += update.size_bytes()
            is_full = (
                len(batch) == MAX_BATCH_LENGTH or size_bytes > _MAX_BATCH_BYTES
            )
            if batch and (is_full or update.store_key in keys):
                break
            batch.append(update)
            keys.add(update.store_key)
        return batch

    def _dequeue(self, batch: list[ClaimUpdate]) -> None:
        """Removes updates that were written or have failed for good.

        An update that was dropped meanwhile is not at the head any more.
        """
        for update in batch:
            if self._pending and self._pending[0] is update:
                self._pending.popleft()
                self._pending_bytes -= update.size_bytes()
        if not self._pending:
            self._drained.set()
            self._drained = anyio.Event()

    async def _remove_unconfirmed(self) -> None:
        """Looks up each unconfirmed claim; removes it if it was written.

        A claim that is not found stays queued while it may still be written.
        """
        for _ in range(len(self._unconfirmed)):
            claim = self._unconfirmed[0]
            is_removed = await self._remove_if_written(claim)
            self._unconfirmed.popleft()
            if not is_removed and self._clock.monotonic() < claim.expires_at:
                self._unconfirmed.append(claim)

    async def _remove_if_written(self, claim: UnconfirmedClaim) -> bool:
        entry = await self._store.get(claim.store_key)
        if entry is None or claim.nonce.encode() not in entry.value:
            return False
        release = ClaimUpdate(claim.store_key, entry.mod_revision, None, 0)
        await self._write([release])
        return True
