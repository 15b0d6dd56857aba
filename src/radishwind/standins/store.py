"""A stand-in for the platform's store, in memory.

It speaks the part of etcd's v3 JSON gateway that the product uses, counts each
call, and can be told at run time to fail in the ways the platform's does.
"""

import base64
from collections.abc import AsyncIterator
from typing import Any
from typing import NoReturn

import anyio
import msgspec

from radishwind.core.clock import Clock
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.types import BodyStream
from radishwind.http.types import read_body
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.standins.store_state import CallError
from radishwind.standins.store_state import StoreState

FAULTS_PATH = "/standin/faults"
COUNTERS_PATH = "/standin/counters"

#: The kind under which each path is counted.
_KINDS = {
    "/v3/kv/range": "range",
    "/v3/kv/txn": "txn",
    "/v3/lease/grant": "grant",
    "/v3/lease/keepalive": "keepalive",
    "/v3/lease/revoke": "revoke",
    "/v3/watch": "watch",
}

#: How often it looks for leases whose time is over (s).
_LAPSE_STEP_S = 0.1


class StoreFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What goes wrong, until told otherwise.

    Attributes:
      down: empty, `refuse` (connections are cut and calls not carried out) or
        `hang` (calls get no answer and are not carried out).
      delay_ms: how long each call waits before it is carried out (ms).
      lose_answers: how many of the next calls of `lose_kind` are carried out
        and get no answer.
      lose_kind: the kind of call meant, `txn` if not given.
      lose_prefix: only transactions that name a key below it lose theirs.
      lapse_leases: leases that end now, by ID; `[-1]` for all.
    """

    down: str = ""
    delay_ms: float = 0.0
    lose_answers: int = 0
    lose_kind: str = "txn"
    lose_prefix: str = ""
    lapse_leases: tuple[int, ...] = ()


class StoreStandin:
    """Receives calls; its state is in `StoreState`.

    Attributes:
      state: keys, revisions and leases.
      calls: calls received, by kind; a waiting watch counts as one.
      open_watches: watches that are open now.
    """

    def __init__(self, clock: Clock) -> None:
        self.state = StoreState(clock)
        self.calls: dict[str, int] = {}
        self.open_watches = 0
        self._faults = StoreFaults()
        self._lose_answers = 0
        self._faults_changed = anyio.Event()

    async def run(self) -> None:
        """Lets leases lapse in time; runs until cancelled."""
        while True:
            self.state.lapse()
            await anyio.sleep(_LAPSE_STEP_S)

    def set_faults(self, faults: StoreFaults) -> None:
        """Replaces the faults in force."""
        self._faults = faults
        self._lose_answers = faults.lose_answers
        for lease_id in faults.lapse_leases:
            if lease_id == -1:
                self.state.end_all_leases()
            self.state.end_lease(lease_id)
        self._faults_changed.set()
        self._faults_changed = anyio.Event()

    async def handle(self, request: Request) -> Response:
        """Answers one call."""
        if request.path == COUNTERS_PATH:
            return _json(200, self._counters())
        if request.path == FAULTS_PATH:
            return await self._handle_faults(request)
        kind = _KINDS.get(request.path)
        if kind is None:
            return _error(404, 5, "not found")
        self.calls[kind] = self.calls.get(kind, 0) + 1
        body = await read_body(request.body)
        if not await self._reachable():
            return Response(200, (), _CutBody())
        self.state.lapse()
        try:
            call = msgspec.json.decode(body)
            response = self._answer(kind, call)
        except CallError as exc:
            return _error(exc.status, exc.code, str(exc))
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            return _error(400, 3, repr(exc))
        if self._loses_answer(kind, call):
            return Response(200, (), _CutBody())
        return response

    def _loses_answer(self, kind: str, call: dict[str, Any]) -> bool:
        """Returns whether the answer is to be lost, and counts it."""
        if kind != self._faults.lose_kind or self._lose_answers <= 0:
            return False
        prefix = self._faults.lose_prefix
        if prefix and not any(key.startswith(prefix) for key in _keys(call)):
            return False
        self._lose_answers -= 1
        return True

    def _answer(self, kind: str, body: dict[str, Any]) -> Response:
        if kind != "watch":
            return _json(200, self.state.handlers[kind](body))
        create = body["create_request"]
        key = base64.b64decode(create["key"])
        end = base64.b64decode(create["range_end"])
        start = int(create.get("start_revision", 0))
        stream = _WatchBody(self, key, end, start or self.state.revision + 1)
        return Response(200, (("Content-Type", "application/json"),), stream)

    async def _reachable(self) -> bool:
        """Waits as told; returns whether the call is to be carried out."""
        if self._faults.delay_ms:
            await anyio.sleep(self._faults.delay_ms / 1000)
        if self._faults.down == "hang":
            while self._faults.down == "hang":
                await self._faults_changed.wait()
            return False
        return not self._faults.down

    async def _handle_faults(self, request: Request) -> Response:
        body = await read_body(request.body)
        try:
            faults = msgspec.json.decode(body, type=StoreFaults)
        except msgspec.MsgspecError as exc:
            return _error(400, 3, str(exc))
        if faults.down not in ("", "refuse", "hang"):
            return _error(400, 3, "down: expected '', 'refuse' or 'hang'")
        self.set_faults(faults)
        return _json(200, faults)

    def _counters(self) -> dict[str, Any]:
        return {
            "calls": self.calls,
            "watching": self.open_watches,
            "revision": self.state.revision,
        }

    async def watch_lines(
        self, key: bytes, end: bytes, start: int
    ) -> AsyncIterator[bytes]:
        """Yields the messages of one watch until the store is down."""
        header = {"header": self.state.header(), "created": True}
        if start <= self.state.compacted:
            compacted = str(self.state.compacted)
            header |= {"canceled": True, "compact_revision": compacted}
        yield _line({"result": header})
        while not self._faults.down:
            changed = self.state.changed()
            changes = self.state.changes(start, key, end)
            if changes:
                start = changes[-1].revision + 1
                events = [c.message for c in changes]
                result = {"header": self.state.header(), "events": events}
                yield _line({"result": result})
                continue
            await self._either(changed, self._faults_changed)
        _cut()

    async def _either(self, first: anyio.Event, second: anyio.Event) -> None:
        """Returns once one of the two is set."""
        async with anyio.create_task_group() as tasks:

            async def wait(event: anyio.Event) -> None:
                await event.wait()
                tasks.cancel_scope.cancel()

            tasks.start_soon(wait, first)
            tasks.start_soon(wait, second)


class _WatchBody(BodyStream):
    """The endless answer of a watch."""

    def __init__(
        self, standin: StoreStandin, key: bytes, end: bytes, start: int
    ) -> None:
        self._standin = standin
        self._range = (key, end)
        self._start = start

    async def __aiter__(self) -> AsyncIterator[bytes]:
        self._standin.open_watches += 1
        try:
            async for line in self._standin.watch_lines(
                *self._range, self._start
            ):
                yield line
        finally:
            self._standin.open_watches -= 1

    def abort(self) -> None:
        """Does nothing; the reader stops reading."""


class _CutBody(BodyStream):
    """An answer whose connection breaks at once."""

    async def __aiter__(self) -> AsyncIterator[bytes]:
        _cut()
        yield b""  # pragma: no cover

    def abort(self) -> None:
        """Does nothing."""


def _cut() -> NoReturn:
    raise ExchangeBrokenError("told to break")


def _line(message: dict[str, Any]) -> bytes:
    return msgspec.json.encode(message) + b"\n"


def _keys(call: dict[str, Any]) -> list[str]:
    """Returns the keys that a transaction changes."""
    operations = [
        part for op in call.get("success", ()) for part in op.values()
    ]
    return [base64.b64decode(op["key"]).decode() for op in operations]


def _json(status: int, body: Any) -> Response:
    return Response(
        status,
        (("Content-Type", "application/json"),),
        msgspec.json.encode(body),
    )


def _error(status: int, code: int, text: str) -> Response:
    return _json(status, {"error": text, "code": code, "message": text})
