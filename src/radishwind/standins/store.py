"""An in-memory stand-in for an etcd store, with fault injection.

It implements the part of etcd's v3 JSON gateway that the product uses and
counts each call. Faults of the platform's store are injected at run time.
"""

import base64
import collections
from collections.abc import AsyncIterator
from collections.abc import Iterable
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
ODD_ENTRY_PATH = "/standin/odd-entry"

#: The kind of call of each path.
_KINDS = {
    "/v3/kv/range": "range",
    "/v3/kv/txn": "txn",
    "/v3/lease/grant": "grant",
    "/v3/lease/keepalive": "keepalive",
    "/v3/lease/revoke": "revoke",
    "/v3/watch": "watch",
}

#: Interval between checks for expired leases (s).
_LEASE_CHECK_INTERVAL_S = 0.1


class StoreFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The faults in force until they are replaced.

    Attributes:
      down: empty, `refuse` (the connection breaks and the call is not
        executed) or `hang` (there is no response and the call is not
        executed).
      delay_ms: the delay before each call is executed (ms).
      lose_answers: the number of next calls of `lose_kind` that are executed
        but whose response is lost.
      lose_kind: the kind of call that loses its response.
      lose_prefix: limits the loss to transactions that change a key with this
        prefix.
      mute_watches: whether the open watches report nothing from then on; new
        ones do.
      lapse_leases: the IDs of leases to end at once; `[-1]` for all.
      odd_answer: if not empty, the body of each answer, whose call is executed,
        and of each further message of a watch.
    """

    down: str = ""
    delay_ms: float = 0.0
    lose_answers: int = 0
    lose_kind: str = "txn"
    lose_prefix: str = ""
    mute_watches: bool = False
    lapse_leases: tuple[int, ...] = ()
    odd_answer: str = ""


class OddEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An entry that another program wrote; reads of it are counted.

    Attributes:
      oddity: what is odd about it.
      key: the key, in base64.
      value: the value, in base64.
    """

    oddity: str
    key: bytes
    value: bytes


class StoreStandin:
    """Handles calls of the gateway and applies faults.

    Attributes:
      state: the keys, revisions and leases.
      calls: the number of calls received, by kind; a watch counts once.
      odd_reads: how often odd entries were read, by what is odd about them.
      odd_answers: the number of odd answers given.
      open_watches: the number of open watches.
      muted_watches: the number of watches that report nothing any more.
    """

    def __init__(self, clock: Clock) -> None:
        self.state = StoreState(clock)
        self.calls: dict[str, int] = {}
        self.odd_reads: collections.Counter[str] = collections.Counter()
        self.odd_answers = 0
        # What is odd about entries, by key (base64) and revision.
        self._odd_entries: dict[tuple[str, str], str] = {}
        self.open_watches = 0
        self.muted_watches = 0
        self._mute_event = anyio.Event()
        self._faults = StoreFaults()
        self._answers_to_lose = 0
        self._faults_changed = anyio.Event()

    async def run(self) -> None:
        """Ends expired leases periodically until cancelled."""
        while True:
            self.state.end_expired_leases()
            await anyio.sleep(_LEASE_CHECK_INTERVAL_S)

    def set_faults(self, faults: StoreFaults) -> None:
        """Replaces the faults in force."""
        self._faults = faults
        self._answers_to_lose = faults.lose_answers
        if faults.mute_watches:
            self._mute_event.set()
            self._mute_event = anyio.Event()
        for lease_id in faults.lapse_leases:
            if lease_id == -1:
                self.state.end_all_leases()
            self.state.end_lease(lease_id)
        self._faults_changed.set()
        self._faults_changed = anyio.Event()

    async def handle(self, request: Request) -> Response:
        """Handles one call."""
        if request.path == COUNTERS_PATH:
            return _make_response(200, self._read_counters())
        if request.path == FAULTS_PATH:
            return await self._handle_faults(request)
        if request.path == ODD_ENTRY_PATH:
            return await self._handle_odd_entry(request)
        kind = _KINDS.get(request.path)
        if kind is None:
            return _make_error(404, 5, "not found")
        self.calls[kind] = self.calls.get(kind, 0) + 1
        body = await read_body(request.body)
        if not await self._apply_availability_faults():
            return Response(200, (), _BrokenBody())
        self.state.end_expired_leases()
        try:
            call = msgspec.json.decode(body)
            response = self._execute(kind, call)
        except CallError as exc:
            return _make_error(exc.status, exc.code, str(exc))
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            return _make_error(400, 3, repr(exc))
        if self._should_lose_response(kind, call):
            return Response(200, (), _BrokenBody())
        if self._faults.odd_answer:
            self.odd_answers += 1
            return Response(200, (), self._faults.odd_answer.encode())
        return response

    def _should_lose_response(self, kind: str, call: dict[str, Any]) -> bool:
        """Returns whether the response is lost, and counts the loss."""
        if kind != self._faults.lose_kind or self._answers_to_lose <= 0:
            return False
        prefix = self._faults.lose_prefix
        if prefix and not any(
            key.startswith(prefix) for key in _changed_keys(call)
        ):
            return False
        self._answers_to_lose -= 1
        return True

    def _execute(self, kind: str, body: dict[str, Any]) -> Response:
        if kind != "watch":
            message = self.state.handlers[kind](body)
            self._record_reads(message.get("kvs", ()))
            return _make_response(200, message)
        create = body["create_request"]
        key = base64.b64decode(create["key"])
        end = base64.b64decode(create["range_end"])
        start = int(create.get("start_revision", 0))
        stream = _WatchBody(self, key, end, start or self.state.revision + 1)
        return Response(200, (("Content-Type", "application/json"),), stream)

    async def _apply_availability_faults(self) -> bool:
        """Applies `delay_ms` and `down`.

        Returns:
          Whether the call is executed.
        """
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
            return _make_error(400, 3, str(exc))
        if faults.down not in ("", "refuse", "hang"):
            return _make_error(400, 3, "down: expected '', 'refuse' or 'hang'")
        self.set_faults(faults)
        return _make_response(200, faults)

    async def _handle_odd_entry(self, request: Request) -> Response:
        body = await read_body(request.body)
        try:
            entry = msgspec.json.decode(body, type=OddEntry)
        except msgspec.MsgspecError as exc:
            return _make_error(400, 3, str(exc))
        kv = self.state.put(entry.key, entry.value)
        self._odd_entries[kv["key"], kv["mod_revision"]] = entry.oddity
        return _make_response(200, kv)

    def _record_reads(self, kvs: Iterable[dict[str, Any]]) -> None:
        for kv in kvs:
            oddity = self._odd_entries.get((kv["key"], kv["mod_revision"]))
            if oddity is not None:
                self.odd_reads[oddity] += 1

    def _read_counters(self) -> dict[str, Any]:
        return {
            "calls": self.calls,
            "watching": self.open_watches,
            "odd_reads": dict(self.odd_reads),
            "odd_answers": self.odd_answers,
            "revision": self.state.revision,
        }

    async def watch_lines(
        self, key: bytes, end: bytes, start: int
    ) -> AsyncIterator[bytes]:
        """Yields the messages of one watch until the store is down.

        Args:
          key: the first key of the range.
          end: the end of the range, exclusive.
          start: the first revision.

        Raises:
          ExchangeBrokenError: the store is down.
        """
        header = {"header": self.state.header(), "created": True}
        if start <= self.state.compacted_revision:
            compacted = str(self.state.compacted_revision)
            header |= {"canceled": True, "compact_revision": compacted}
        yield _encode_line({"result": header})
        muted = self._mute_event
        while not self._faults.down:
            if self._faults.odd_answer:
                self.odd_answers += 1
                changed = self._faults_changed
                yield self._faults.odd_answer.encode() + b"\n"
                await changed.wait()
                continue
            if muted.is_set():
                self.muted_watches += 1
                await anyio.sleep_forever()
            change_event = self.state.change_event()
            changes = self.state.changes_since(start, key, end)
            if changes:
                start = changes[-1].revision + 1
                events = [c.message for c in changes]
                self._record_reads(event["kv"] for event in events)
                result = {"header": self.state.header(), "events": events}
                yield _encode_line({"result": result})
                continue
            await self._wait_for_either(change_event, self._faults_changed)
        _break_connection()

    async def _wait_for_either(
        self, first_event: anyio.Event, second_event: anyio.Event
    ) -> None:
        """Waits until either event is set."""
        async with anyio.create_task_group() as tasks:

            async def wait(event: anyio.Event) -> None:
                await event.wait()
                tasks.cancel_scope.cancel()

            tasks.start_soon(wait, first_event)
            tasks.start_soon(wait, second_event)


class _WatchBody(BodyStream):
    """The unbounded response body of a watch."""

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
        """Does nothing: the watch ends when its iterator is closed."""


class _BrokenBody(BodyStream):
    """A response body whose connection breaks at once."""

    async def __aiter__(self) -> AsyncIterator[bytes]:
        _break_connection()
        yield b""  # pragma: no cover

    def abort(self) -> None:
        """Does nothing: there is nothing to release."""


def _break_connection() -> NoReturn:
    raise ExchangeBrokenError("store stand-in: injected connection failure")


def _encode_line(message: dict[str, Any]) -> bytes:
    return msgspec.json.encode(message) + b"\n"


def _changed_keys(call: dict[str, Any]) -> list[str]:
    """Returns the keys that a transaction changes."""
    operations = [
        operation for op in call.get("success", ()) for operation in op.values()
    ]
    return [base64.b64decode(op["key"]).decode() for op in operations]


def _make_response(status: int, body: Any) -> Response:
    return Response(
        status,
        (("Content-Type", "application/json"),),
        msgspec.json.encode(body),
    )


def _make_error(status: int, code: int, text: str) -> Response:
    return _make_response(
        status, {"error": text, "code": code, "message": text}
    )
