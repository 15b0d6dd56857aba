"""Writes claims to the store, in batches under load."""

import abc
import dataclasses

import anyio

from radishwind.store.base import Compare
from radishwind.store.base import Put
from radishwind.store.base import Store
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.base import StoreError
from radishwind.store.base import TxnResult
from radishwind.supervision import Duty
from radishwind.supervision import run_together
from radishwind.supervision import TaskPool

#: Maximum number of claims per transaction. Stores allow about 128 operations
#: per transaction.
MAX_BATCH_LENGTH = 32

#: Maximum number of concurrent transactions. It is more than one, so that a
#: transaction that hangs does not block the others.
MAX_IN_FLIGHT = 4


class ClaimWriter(abc.ABC):
    """Writes claims by compare-and-swap."""

    @abc.abstractmethod
    async def write(self, compare: Compare, put: Put) -> TxnResult:
        """Writes a claim if the condition holds.

        Args:
          compare: the condition: the key must not exist, or be unchanged.
          put: the claim.

        Raises:
          StoreError: the store failed.
        """

    @abc.abstractmethod
    def duties(self) -> tuple[Duty, ...]:
        """Returns the duties of the writer."""


@dataclasses.dataclass(slots=True, eq=False)
class _PendingWrite:
    """A claim that waits to be written in a batch.

    Attributes:
      compare: the condition of the write.
      put: the claim.
      completed: set once `result` or `error` is.
      result: result of the transaction.
      error: why the transaction failed.
    """

    compare: Compare
    put: Put
    completed: anyio.Event
    result: TxnResult | None = None
    error: StoreError | None = None

    def complete(self, result: TxnResult | StoreError) -> None:
        """Sets the result of the write and wakes the task that waits for it."""
        if isinstance(result, TxnResult):
            self.result = result
        else:
            self.error = result
        self.completed.set()


class BatchClaimWriter(ClaimWriter):
    """Writes the claims that wait at the same time in one transaction.

    While fewer than `max_in_flight` transactions are in flight, a claim is
    written at once in a transaction of its own. Claims that arrive meanwhile
    are batched. A batch in which one claim exists already fails as a whole; it
    is then halved recursively, and batches are kept smaller until they succeed
    again.

    Args:
      store: the store.
      max_in_flight: maximum number of concurrent transactions.
    """

    def __init__(
        self, store: Store, max_in_flight: int = MAX_IN_FLIGHT
    ) -> None:
        self._store = store
        self._max_in_flight = max_in_flight
        self._pending: list[_PendingWrite] = []
        self._in_flight = 0
        self._batch_length = MAX_BATCH_LENGTH
        self._wake = anyio.Event()
        self._batches = TaskPool("claims.batches")

    async def write(self, compare: Compare, put: Put) -> TxnResult:
        if self._in_flight < self._max_in_flight and not self._pending:
            return await self._write_single(compare, put)
        pending = _PendingWrite(compare, put, anyio.Event())
        self._pending.append(pending)
        try:
            await pending.completed.wait()
        finally:
            # A write that is cancelled before its batch is sent is withdrawn.
            if pending in self._pending:
                self._pending.remove(pending)
        if pending.error is not None:
            raise pending.error
        assert pending.result is not None
        return pending.result

    def duties(self) -> tuple[Duty, ...]:
        return (
            self._batches.duty,
            Duty("claims.writes", self._start_batches),
        )

    async def run(self) -> None:
        """Runs the duties without supervision until cancelled."""
        await run_together(self.duties())

    async def _start_batches(self) -> None:
        while True:
            while (
                self._batches.is_running
                and self._pending
                and self._in_flight < self._max_in_flight
            ):
                batch = self._next_batch()
                self._in_flight += 1
                self._batches.start_soon(self._write_batch, batch)
            await self._wake.wait()
            self._wake = anyio.Event()

    async def _write_single(self, compare: Compare, put: Put) -> TxnResult:
        self._in_flight += 1
        try:
            return await self._store.transact((compare,), (put,))
        finally:
            self._transaction_ended()

    async def _write_batch(self, batch: list[_PendingWrite]) -> None:
        try:
            await self._write_or_split(batch)
        except StoreError as exc:
            _complete(batch, exc)
        finally:
            self._transaction_ended()
            # Only after a cancellation are writes left without a result. They
            # may have taken effect.
            _complete(batch, StoreAnswerLostError("the node is stopping"))

    async def _write_or_split(self, batch: list[_PendingWrite]) -> None:
        if await self._try_write(batch):
            self._batch_length = min(self._batch_length + 1, MAX_BATCH_LENGTH)
            return
        self._batch_length = max(1, self._batch_length // 4)
        await self._write_halves(batch)

    async def _write_halves(self, batch: list[_PendingWrite]) -> None:
        middle = len(batch) // 2
        for half in (batch[:middle], batch[middle:]):
            if not await self._try_write(half):
                await self._write_halves(half)

    async def _try_write(self, batch: list[_PendingWrite]) -> bool:
        """Writes a batch in one transaction.

        Returns:
          Whether the writes are completed. Otherwise the condition of at least
          one of several claims did not hold and none was written.
        """
        result = await self._store.transact(
            [w.compare for w in batch], [w.put for w in batch]
        )
        if not result.succeeded and len(batch) > 1:
            return False
        _complete(batch, result)
        return True

    def _next_batch(self) -> list[_PendingWrite]:
        """Removes the next batch from the queue and returns it.

        It ends before a key that it already contains, since a transaction may
        change a key only once.
        """
        batch: dict[str, _PendingWrite] = {}
        for pending in self._pending:
            if len(batch) == self._batch_length or pending.put.key in batch:
                break
            batch[pending.put.key] = pending
        del self._pending[: len(batch)]
        return list(batch.values())

    def _transaction_ended(self) -> None:
        self._in_flight -= 1
        self._wake.set()


def _complete(
    batch: list[_PendingWrite], result: TxnResult | StoreError
) -> None:
    for pending in batch:
        if not pending.completed.is_set():
            pending.complete(result)
