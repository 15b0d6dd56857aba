"""A node's budget of store calls, and pauses while the store fails.

The store's rates grow more slowly than the fleet, so each node bounds its own
calls; after a restart of all nodes at once the bound and the random pauses
keep their sum in reach of the store.
"""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import random

import msgspec

from radishwind.core.clock import Clock
from radishwind.store.base import Compare
from radishwind.store.base import Operation
from radishwind.store.base import Store
from radishwind.store.base import StoreBudgetError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreError
from radishwind.store.base import TxnResult
from radishwind.store.base import WatchEvent


class TokenBucket:
    """Tokens that come back at a rate up to a burst; time is passed in."""

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._at = now

    def try_spend(self, now: float) -> bool:
        """Takes one token; returns whether there was one."""
        gained = max(0.0, now - self._at) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._at = max(self._at, now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Backoff:
    """Pauses that double with each failure, chosen at random ("full jitter").

    Attributes:
      failures: failures in a row.
    """

    def __init__(
        self, rng: random.Random, initial_s: float, max_s: float
    ) -> None:
        self._rng = rng
        self._initial_s = initial_s
        self._max_s = max_s
        self.failures = 0

    def record_failure(self) -> float:
        """Counts a failure; returns how long to pause (s)."""
        doublings = min(self.failures, 30)
        self.failures += 1
        ceiling = min(self._max_s, self._initial_s * 2**doublings)
        return self._rng.uniform(self._initial_s / 2, ceiling)

    def record_success(self) -> None:
        """Ends the row of failures."""
        self.failures = 0


class StoreBudget(msgspec.Struct, frozen=True):
    """What one node may ask of the store.

    Attributes:
      calls_per_s: calls in the long run (1/s).
      burst: calls at once.
      pause_after_failures: failures in a row that start a pause, in which
        calls are refused unsent.
      initial_pause_s: the upper bound of the first pause (s); it doubles.
      max_pause_s: the longest pause (s).
    """

    calls_per_s: float = 20.0
    burst: int = 100
    pause_after_failures: int = 3
    initial_pause_s: float = 0.1
    max_pause_s: float = 5.0


class BudgetedStore(Store):
    """Passes calls on within the budget; counts them by kind.

    A call beyond the budget, or during a pause, raises `StoreBudgetError` at
    once: it had no effect, and nobody waits for a store that is away.

    Attributes:
      calls: calls sent, by kind; a watch counts as one.
      refused: calls not sent.
      failed: calls sent that failed.
    """

    def __init__(
        self,
        inner: Store,
        clock: Clock,
        rng: random.Random,
        budget: StoreBudget,
    ) -> None:
        self._inner = inner
        self._clock = clock
        self._budget = budget
        self._bucket = TokenBucket(
            budget.calls_per_s, budget.burst, clock.monotonic()
        )
        self._backoff = Backoff(rng, budget.initial_pause_s, budget.max_pause_s)
        self._paused_until = 0.0
        self.call_counts: dict[str, int] = {}
        self.refused_count = 0
        self.failed_count = 0

    async def get(
        self, key: str, *, allow_stale: bool = False
    ) -> StoreEntry | None:
        self._spend("get stale" if allow_stale else "get")
        with _Watched(self):
            return await self._inner.get(key, allow_stale=allow_stale)

    async def list(
        self, prefix: str, limit: int = 0, *, allow_stale: bool = False
    ) -> tuple[StoreEntry, ...]:
        self._spend("list stale" if allow_stale else "list")
        with _Watched(self):
            return await self._inner.list(
                prefix, limit, allow_stale=allow_stale
            )

    async def revision(self) -> int:
        self._spend("revision")
        with _Watched(self):
            return await self._inner.revision()

    async def transact(
        self, compares: Sequence[Compare], operations: Sequence[Operation]
    ) -> TxnResult:
        self._spend("transact")
        with _Watched(self):
            return await self._inner.transact(compares, operations)

    async def grant(self, ttl_s: int) -> int:
        self._spend("grant")
        with _Watched(self):
            return await self._inner.grant(ttl_s)

    async def keep_alive(self, lease_id: int) -> int:
        self._spend("keep_alive")
        with _Watched(self):
            return await self._inner.keep_alive(lease_id)

    async def revoke(self, lease_id: int) -> None:
        self._spend("revoke")
        with _Watched(self):
            await self._inner.revoke(lease_id)

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[WatchEvent]:
        self._spend("watch")
        with _Watched(self):
            async for event in self._inner.watch(prefix, from_revision):
                self._backoff.record_success()
                yield event

    async def close(self) -> None:
        await self._inner.close()

    def _spend(self, kind: str) -> None:
        now = self._clock.monotonic()
        if now < self._paused_until or not self._bucket.try_spend(now):
            self.refused_count += 1
            raise StoreBudgetError(f"{kind}: not sent, budget spent or paused")
        self.call_counts[kind] = self.call_counts.get(kind, 0) + 1

    def _settle(self, failed: bool) -> None:
        if not failed:
            self._backoff.record_success()
            return
        self.failed_count += 1
        pause_s = self._backoff.record_failure()
        if self._backoff.failures >= self._budget.pause_after_failures:
            self._paused_until = self._clock.monotonic() + pause_s


class _Watched:
    """Notes whether the call inside the `with` block failed."""

    def __init__(self, store: BudgetedStore) -> None:
        self._store = store

    def __enter__(self) -> None:
        return None

    def __exit__(self, kind: type[BaseException] | None, *_: object) -> None:
        failed = kind is not None and issubclass(kind, StoreError)
        if failed or kind is None:
            self._store._settle(failed)
