"""Writes claims to the store, several in one transaction where they wait."""

import abc
import dataclasses

import anyio

from radishwind.store.base import Compare
from radishwind.store.base import Put
from radishwind.store.base import Store
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.base import StoreError
from radishwind.store.base import TxnResult

#: Claims in one transaction; stores allow some 128 operations in each.
MAX_BATCH_LENGTH = 32

#: Transactions under way at a time, so that one that hangs stops no others.
MAX_IN_FLIGHT = 4


class ClaimWriter(abc.ABC):
    """Writes claims that must not exist yet, or must be unchanged."""

    @abc.abstractmethod
    async def write(self, compare: Compare, put: Put) -> TxnResult:
        """Makes the change if the condition holds.

        Raises:
          StoreError: the store failed.
        """

    @abc.abstractmethod
    async def run(self) -> None:
        """Does what is to be done between calls, for ever."""


@dataclasses.dataclass(slots=True, eq=False)
class _Waiting:
    """A claim that waits for the transaction under way to end."""

    compare: Compare
    put: Put
    ended: anyio.Event
    result: TxnResult | None = None
    error: StoreError | None = None

    def end(self, result: TxnResult | StoreError) -> None:
        """Tells whoever waits what became of the claim."""
        if isinstance(result, TxnResult):
            self.result = result
        else:
            self.error = result
        self.ended.set()


class BatchClaimWriter(ClaimWriter):
    """Sends what waits at the same moment in one transaction.

    A claim goes at once, by itself, while few transactions are under way;
    those that come meanwhile go together. A transaction with one claim that
    exists already fails whole; its halves are then tried, and groups are made
    smaller until they succeed again.

    Args:
      store: the store.
      max_in_flight: the most transactions under way at a time.
    """

    def __init__(
        self, store: Store, max_in_flight: int = MAX_IN_FLIGHT
    ) -> None:
        self._store = store
        self._max_in_flight = max_in_flight
        self._waiting: list[_Waiting] = []
        self._in_flight = 0
        self._most = MAX_BATCH_LENGTH
        self._wake = anyio.Event()

    async def write(self, compare: Compare, put: Put) -> TxnResult:
        if self._in_flight < self._max_in_flight and not self._waiting:
            return await self._write_alone(compare, put)
        waiting = _Waiting(compare, put, anyio.Event())
        self._waiting.append(waiting)
        try:
            await waiting.ended.wait()
        finally:
            # Whoever gives up before the group leaves is not sent.
            if waiting in self._waiting:
                self._waiting.remove(waiting)
        if waiting.error is not None:
            raise waiting.error
        assert waiting.result is not None
        return waiting.result

    async def run(self) -> None:
        """Sends the groups, for ever."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                while self._waiting and self._in_flight < self._max_in_flight:
                    self._in_flight += 1
                    tasks.start_soon(self._write_waiting, self._next_group())

    async def _write_alone(self, compare: Compare, put: Put) -> TxnResult:
        self._in_flight += 1
        try:
            return await self._store.transact((compare,), (put,))
        finally:
            self._end_one()

    async def _write_waiting(self, group: list[_Waiting]) -> None:
        try:
            await self._write_group(group)
        except StoreError as exc:
            _end(group, exc)
        finally:
            self._end_one()
            # Cancelled: nobody knows what became of them.
            _end(group, StoreAnswerLostError("the node is stopping"))

    async def _write_group(self, group: list[_Waiting]) -> None:
        if await self._write_whole(group):
            self._most = min(self._most + 1, MAX_BATCH_LENGTH)
            return
        self._most = max(1, self._most // 4)
        await self._write_halves(group)

    async def _write_halves(self, group: list[_Waiting]) -> None:
        half = len(group) // 2
        for part in (group[:half], group[half:]):
            if not await self._write_whole(part):
                await self._write_halves(part)

    async def _write_whole(self, group: list[_Waiting]) -> bool:
        """Returns whether each claim of the group has its result."""
        result = await self._store.transact(
            [w.compare for w in group], [w.put for w in group]
        )
        if not result.succeeded and len(group) > 1:
            return False
        _end(group, result)
        return True

    def _next_group(self) -> list[_Waiting]:
        """Takes the first that wait; a transaction may name a key once."""
        group: dict[str, _Waiting] = {}
        for waiting in self._waiting:
            if len(group) == self._most or waiting.put.key in group:
                break
            group[waiting.put.key] = waiting
        del self._waiting[: len(group)]
        return list(group.values())

    def _end_one(self) -> None:
        self._in_flight -= 1
        self._wake.set()


def _end(group: list[_Waiting], result: TxnResult | StoreError) -> None:
    for waiting in group:
        if not waiting.ended.is_set():
            waiting.end(result)
