"""Rate limit and back-off of a node's calls to the store.

The rates that the store sustains grow more slowly than the fleet, so each node
limits its own calls. When all nodes restart at once, the limit and the
randomized pauses keep the total load within what the store can handle.
"""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import random

import msgspec

from radishwind.core.backoff import Backoff
from radishwind.core.clock import Clock
from radishwind.store.base import Compare
from radishwind.store.base import Operation
from radishwind.store.base import Store
from radishwind.store.base import StoreBudgetError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreError
from radishwind.store.base import TxnResult
from radishwind.store.base import WatchEvent
from radishwind.store.position import StorePosition


class TokenBucket:
    """Token bucket; the caller passes in the time.

    Args:
      rate_per_s: refill rate (1/s).
      burst: capacity in tokens; the bucket starts full.
      now: current monotonic time (s).
    """

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def try_spend(self, now: float) -> bool:
        """Spends one token; returns false if none is left at `now` (s)."""
        refill = max(0.0, now - self._refilled_at) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = max(self._refilled_at, now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class StoreBudget(msgspec.Struct, frozen=True):
    """Limits on one node's calls to the store.

    Attributes:
      calls_per_s: sustained rate of calls (1/s).
      burst: number of calls that may be sent at once.
      pause_after_failures: number of consecutive failures from which on each
        failure starts a pause. Calls are refused without being sent during a
        pause.
      initial_pause_s: upper bound of the pause after the first failure (s);
        it doubles with each further failure.
      max_pause_s: longest pause (s).
    """

    calls_per_s: float = 20.0
    burst: int = 100
    pause_after_failures: int = 3
    initial_pause_s: float = 0.1
    max_pause_s: float = 5.0


class BudgetedStore(Store):
    """Forwards calls to another store within a budget; counts them by kind.

    A call that exceeds the budget or falls into a pause raises
    `StoreBudgetError` at once. It certainly had no effect, and the caller does
    not wait for a store that is unavailable.

    Attributes:
      call_counts: number of calls sent, by kind; a watch counts as one call,
        and so does a list of several pages.
      refused_count: number of calls not sent.
      failed_count: number of calls sent that failed.
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
        self._admit("get stale" if allow_stale else "get")
        with _RecordResult(self):
            return await self._inner.get(key, allow_stale=allow_stale)

    async def list(
        self, prefix: str, limit: int = 0, *, allow_stale: bool = False
    ) -> tuple[StoreEntry, ...]:
        self._admit("list stale" if allow_stale else "list")
        with _RecordResult(self):
            return await self._inner.list(
                prefix, limit, allow_stale=allow_stale
            )

    async def position(self) -> StorePosition:
        self._admit("revision")
        with _RecordResult(self):
            return await self._inner.position()

    async def transact(
        self, compares: Sequence[Compare], operations: Sequence[Operation]
    ) -> TxnResult:
        self._admit("transact")
        with _RecordResult(self):
            return await self._inner.transact(compares, operations)

    async def grant(self, ttl_s: int) -> int:
        self._admit("grant")
        with _RecordResult(self):
            return await self._inner.grant(ttl_s)

    async def keep_alive(self, lease_id: int) -> int:
        self._admit("keep_alive")
        with _RecordResult(self):
            return await self._inner.keep_alive(lease_id)

    async def revoke(self, lease_id: int) -> None:
        self._admit("revoke")
        with _RecordResult(self):
            await self._inner.revoke(lease_id)

    async def watch(
        self, prefix: str, start: StorePosition
    ) -> AsyncIterator[WatchEvent]:
        self._admit("watch")
        with _RecordResult(self):
            async for event in self._inner.watch(prefix, start):
                self._backoff.record_success()
                yield event

    async def close(self) -> None:
        await self._inner.close()

    def _admit(self, kind: str) -> None:
        """Counts a call of `kind` that is about to be sent.

        Raises:
          StoreBudgetError: the budget is spent or calls are paused.
        """
        now = self._clock.monotonic()
        if now < self._paused_until or not self._bucket.try_spend(now):
            self.refused_count += 1
            raise StoreBudgetError(
                f"{kind}: not sent; the budget of store calls is spent, or "
                "calls are paused after failures"
            )
        self.call_counts[kind] = self.call_counts.get(kind, 0) + 1

    def _record_result(self, is_failure: bool) -> None:
        if not is_failure:
            self._backoff.record_success()
            return
        self.failed_count += 1
        pause_s = self._backoff.record_failure()
        if self._backoff.failures >= self._budget.pause_after_failures:
            self._paused_until = self._clock.monotonic() + pause_s


class _RecordResult:
    """Records whether the call inside the `with` block failed.

    Other exceptions than a `StoreError`, such as a cancellation, count neither
    as a success nor as a failure.
    """

    def __init__(self, store: BudgetedStore) -> None:
        self._store = store

    def __enter__(self) -> None:
        return None

    def __exit__(self, kind: type[BaseException] | None, *_: object) -> None:
        is_failure = kind is not None and issubclass(kind, StoreError)
        if is_failure or kind is None:
            self._store._record_result(is_failure)
