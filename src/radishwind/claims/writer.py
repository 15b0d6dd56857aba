"""Writes claims to the store, singly or several in one transaction."""

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
GROUP_LENGTH = 32


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


class SingleWriter(ClaimWriter):
    """One transaction for each claim; the baseline."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def write(self, compare: Compare, put: Put) -> TxnResult:
        return await self._store.transact((compare,), (put,))

    async def run(self) -> None:
        """Has nothing to do."""


@dataclasses.dataclass(slots=True, eq=False)
class _Waiting:
    """A claim that waits for the transaction under way to end."""

    compare: Compare
    put: Put
    ended: anyio.Event
    result: TxnResult | None = None
    error: StoreError | None = None

    def end(self, result: TxnResult | StoreError) -> None:
        if isinstance(result, TxnResult):
            self.result = result
        else:
            self.error = result
        self.ended.set()


class GroupWriter(ClaimWriter):
    """Sends what waits at the same moment in one transaction.

    A claim that finds none under way goes at once, by itself; those that come
    meanwhile go together after it. A transaction with one claim that exists
    already fails whole, and its claims then go singly.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._waiting: list[_Waiting] = []
        self._busy = False
        self._wake = anyio.Event()

    async def write(self, compare: Compare, put: Put) -> TxnResult:
        if not self._busy:
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
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self._waiting and not self._busy:
                await self._write_waiting()

    async def _write_alone(self, compare: Compare, put: Put) -> TxnResult:
        self._busy = True
        try:
            return await self._store.transact((compare,), (put,))
        finally:
            self._busy = False
            self._wake.set()

    async def _write_waiting(self) -> None:
        group = self._next_group()
        self._busy = True
        try:
            await self._write_group(group)
        except StoreError as exc:
            self._end(group, exc)
        finally:
            self._busy = False
            # Cancelled: nobody knows what became of them.
            self._end(group, StoreAnswerLostError("the node is stopping"))

    async def _write_group(self, group: list[_Waiting]) -> None:
        result = await self._store.transact(
            [w.compare for w in group], [w.put for w in group]
        )
        if result.succeeded or len(group) == 1:
            self._end(group, result)
            return
        for waiting in group:
            waiting.end(
                await self._store.transact((waiting.compare,), (waiting.put,))
            )

    def _next_group(self) -> list[_Waiting]:
        """Takes the first that wait; a transaction may name a key once."""
        group: dict[str, _Waiting] = {}
        for waiting in self._waiting:
            if len(group) == GROUP_LENGTH or waiting.put.key in group:
                break
            group[waiting.put.key] = waiting
        del self._waiting[: len(group)]
        return list(group.values())

    def _end(
        self, group: list[_Waiting], result: TxnResult | StoreError
    ) -> None:
        for waiting in group:
            if not waiting.ended.is_set():
                waiting.end(result)
