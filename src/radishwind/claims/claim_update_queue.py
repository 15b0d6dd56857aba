"""Writes what became of claims, behind the callers' backs and in groups.

Each change is conditional on the claim's own last revision, so making it again
after a lost answer does nothing the second time. While one group is written
the next gathers; nothing waits for a group to fill.
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

#: Changes in one transaction; stores allow some 128 operations in each.
MAX_BATCH_LENGTH = 32

#: Bytes of values in one transaction; stores take about 1 MB.
_GROUP_BYTES = 256 * 1024

#: How long a claim whose writing was lost may still appear in the store (s).
LATE_WRITE_S = 60.0

#: How often the store is asked for claims that may yet appear (s).
_LOST_POLL_S = 5.0

#: Lost claims looked for; the oldest go first, and stay "unknown".
_LOST_LENGTH = 1_000

#: Nonces remembered as never dispatched.
_UNDISPATCHED_LENGTH = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUpdate:
    """A change of a claim this node holds.

    Attributes:
      store_key: where the claim is written.
      mod_revision: its last revision.
      value: its new value, `None` to release it.
      lease_id: the lease it hangs on.
    """

    store_key: str
    mod_revision: int
    value: bytes | None
    lease_id: int

    def size_bytes(self) -> int:
        """Returns the length of the new value (bytes)."""
        return len(self.value or b"")

    def compare(self) -> Compare:
        """Returns the condition of the change."""
        return Compare(self.store_key, mod_revision=self.mod_revision)

    def operation(self) -> Operation:
        """Returns the change."""
        if self.value is None:
            return Delete(self.store_key)
        return Put(self.store_key, self.value, self.lease_id)


@dataclasses.dataclass(frozen=True, slots=True)
class UnconfirmedClaim:
    """A claim whose writing could not be settled; it was never dispatched.

    Attributes:
      store_key: where it may be written.
      nonce: its nonce.
      until: monotonic time (s) after which it cannot appear any more.
    """

    store_key: str
    nonce: str
    until: float


class ClaimUpdateQueue:
    """Writes results, releases claims that did not run, removes lost ones.

    Args:
      store: the store.
      clock: the clock.
      gate: shared with the claiming side.
      budget: shared with the claiming side; settling goes on credit.
      max_bytes: the most that may wait (bytes); the oldest go first, and
        their claims stay "unknown" in the store until they lapse.
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
        self._waiting: collections.deque[ClaimUpdate] = collections.deque()
        self._waiting_bytes = 0
        self._lost: collections.deque[UnconfirmedClaim] = collections.deque(
            maxlen=_LOST_LENGTH
        )
        self._undispatched: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._wake = anyio.Event()
        self._written = anyio.Event()
        self.dropped_count = 0

    @property
    def pending_count(self) -> int:
        """How many changes wait to be written."""
        return len(self._waiting) + len(self._lost)

    def enqueue(self, settlement: ClaimUpdate) -> None:
        """Queues a change."""
        self._waiting.append(settlement)
        self._waiting_bytes += settlement.size_bytes()
        while self._waiting_bytes > self._max_bytes:
            self._waiting_bytes -= self._waiting.popleft().size_bytes()
            self.dropped_count += 1
        self._wake.set()

    def remove_unconfirmed(self, store_key: str, nonce: str) -> None:
        """Queues the removal of a claim that may have been written."""
        until = self._clock.monotonic() + LATE_WRITE_S
        self._lost.append(UnconfirmedClaim(store_key, nonce, until))
        self._wake.set()

    def mark_undispatched(self, nonce: str) -> None:
        """Remembers that nothing ran, or will run, under `nonce`."""
        self._undispatched[nonce] = None
        if len(self._undispatched) > _UNDISPATCHED_LENGTH:
            self._undispatched.popitem(last=False)

    def is_undispatched(self, nonce: str) -> bool:
        """Returns whether nothing ran, or will run, under `nonce`."""
        return nonce in self._undispatched

    async def wait_drained(self) -> None:
        """Returns once no change waits; needs `run`."""
        while self._waiting:
            await self._written.wait()

    async def run(self) -> None:
        """Writes what is queued, for ever."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self.pending_count:
                written = await self.flush()
                await anyio.sleep(self._pause_s(written))

    def _pause_s(self, written: bool) -> float:
        now = self._clock.monotonic()
        if not written:
            return self._breaker.retry_after_s(now)
        if not self._waiting and self._lost:
            return _LOST_POLL_S
        # While the budget is spent, the next group gathers.
        return self._write_budget.next_token_s(now)

    async def flush(self) -> bool:
        """Writes one group; returns whether the store answered."""
        now = self._clock.monotonic()
        if not self._breaker.try_acquire(now):
            return False
        try:
            await self._write_group()
            await self._remove_lost()
        except StoreError:
            self._breaker.record_failure(self._clock.monotonic())
            return False
        except BaseException:
            self._breaker.record_failure(self._clock.monotonic())
            raise
        self._breaker.record_success()
        return True

    async def _write_group(self) -> None:
        group = self._next_group()
        if not group or await self._write(group):
            self._done(group)
            return
        if len(group) == 1:
            # Taken over, lapsed, or written by a call whose answer was lost.
            self._done(group)
            return
        for settlement in group:
            await self._write([settlement])
            self._done([settlement])

    async def _write(self, group: list[ClaimUpdate]) -> bool:
        self._write_budget.charge(self._clock.monotonic())
        result = await self._store.transact(
            [s.compare() for s in group], [s.operation() for s in group]
        )
        return result.succeeded

    def _next_group(self) -> list[ClaimUpdate]:
        group: list[ClaimUpdate] = []
        size = 0
        keys: set[str] = set()
        for settlement in self._waiting:
            size += settlement.size_bytes()
            full = len(group) == MAX_BATCH_LENGTH or size > _GROUP_BYTES
            if group and (full or settlement.store_key in keys):
                break
            group.append(settlement)
            keys.add(settlement.store_key)
        return group

    def _done(self, group: list[ClaimUpdate]) -> None:
        for settlement in group:
            if self._waiting and self._waiting[0] is settlement:
                self._waiting.popleft()
                self._waiting_bytes -= settlement.size_bytes()
        if not self._waiting:
            self._written.set()
            self._written = anyio.Event()

    async def _remove_lost(self) -> None:
        """Removes what can be found; keeps what may yet appear."""
        for _ in range(len(self._lost)):
            lost = self._lost[0]
            found = await self._remove(lost)
            self._lost.popleft()
            if not found and self._clock.monotonic() < lost.until:
                self._lost.append(lost)

    async def _remove(self, lost: UnconfirmedClaim) -> bool:
        entry = await self._store.get(lost.store_key)
        if entry is None or lost.nonce.encode() not in entry.value:
            return False
        release = ClaimUpdate(lost.store_key, entry.mod_revision, None, 0)
        await self._write([release])
        return True
