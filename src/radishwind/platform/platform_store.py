"""Client of the platform's store."""

import base64
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any
from typing import cast
from typing import TypeVar
import urllib.parse

import anyio
import msgspec

from radishwind.core.clock import SystemClock
from radishwind.decoding import decode_base64
from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError
from radishwind.decoding.numbers import NonNegativeInt
from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ResponseTooLongError
from radishwind.http.errors import SendError
from radishwind.http.sender import Sender
from radishwind.http.types import abort_body
from radishwind.http.types import Address
from radishwind.http.types import get_header
from radishwind.http.types import read_body
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.platform.header_fields import ERA
from radishwind.platform.routes import CONFIG_KEY
from radishwind.store.base import Compare
from radishwind.store.base import Delete
from radishwind.store.base import Operation
from radishwind.store.base import Put
from radishwind.store.base import Store
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.base import StoreAnswerMalformedError
from radishwind.store.base import StoreAnswerTooLongError
from radishwind.store.base import StoreCompactedError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreUnavailableError
from radishwind.store.base import TxnResult
from radishwind.store.base import WatchEvent
from radishwind.store.era_tracker import EraTracker
from radishwind.store.position import StorePosition

#: Timeout of a call (s). The store responds within 4 ms, and within 0.3 s when
#: it is slow; a call on a silent connection would never end by itself.
CALL_TIMEOUT_S = 1.0

#: Largest answer of the store (bytes). A page has 1 MB of values at most; a
#: watch may report several versions of a value at once.
MAX_ANSWER_BYTES = 32 << 20

#: How long a watch call waits for a change (s). Each return costs another
#: call; the store accepts at most 30 s.
WATCH_WAIT_S = 29.0

#: Timeout of a watch call beyond its wait (s).
_WATCH_MARGIN_S = 2.0

_CONNECT_TIMEOUT_S = 0.5
_JSON = (("Content-Type", "application/json"), ("Host", "store"))

_T = TypeVar("_T")


class _Item(msgspec.Struct, frozen=True, rename="kebab"):
    key: str
    rev: NonNegativeInt
    value: str = ""
    created_rev: NonNegativeInt = 0
    lease: NonNegativeInt = 0
    removed: bool = False
    # The store's revision at the time of the response; in single items only.
    current_rev: NonNegativeInt = 0


class _Range(msgspec.Struct, frozen=True, rename="kebab"):
    # Decoded one by one: other programs may write below the prefix, and one
    # malformed item must not make the others unreadable.
    items: tuple[msgspec.Raw, ...] = ()
    truncated: bool = False
    current_rev: NonNegativeInt = 0


class _Events(msgspec.Struct, frozen=True, rename="kebab"):
    events: tuple[msgspec.Raw, ...] = ()
    current_rev: NonNegativeInt = 0


class _Key(msgspec.Struct, frozen=True):
    key: str = ""


class _Revision(msgspec.Struct, frozen=True):
    rev: NonNegativeInt = 0


class _Lease(msgspec.Struct, frozen=True, rename="kebab"):
    lease: NonNegativeInt = 0
    ttl_ms: NonNegativeInt = 0


def _answer_decoder(kind: type[_T]) -> JsonDecoder[_T]:
    return JsonDecoder(
        kind, "an answer", MAX_ANSWER_BYTES, StoreAnswerMalformedError
    )


_ITEM_DECODER = _answer_decoder(_Item)
_RANGE_DECODER = _answer_decoder(_Range)
_EVENTS_DECODER = _answer_decoder(_Events)
_REVISION_DECODER = _answer_decoder(_Revision)
_LEASE_DECODER = _answer_decoder(_Lease)
_RAW_ITEM_DECODER = JsonDecoder[_Item](_Item, "an item", MAX_ANSWER_BYTES)
_KEY_DECODER = JsonDecoder[_Key](_Key, "an item", MAX_ANSWER_BYTES)


class _Answer(msgspec.Struct, frozen=True):
    """A complete answer of the store.

    Attributes:
      status: the HTTP status.
      body: the body.
      era: era of the store; 0 if it states none.
    """

    status: int
    body: bytes
    era: int

    def decode(self, decoder: JsonDecoder[_T]) -> _T:
        """Returns the decoded body of an answer of status 200.

        Raises:
          StoreUnavailableError: it has another status.
          StoreAnswerMalformedError: it can't be decoded.
        """
        if self.status != 200:
            raise StoreUnavailableError(
                f"expected status 200, got {self.status}"
            )
        return decoder.decode(self.body)


class PlatformStore(Store):
    """Store that the platform provides; each method makes one call per page."""

    def __init__(
        self,
        sender: Sender,
        address: Address,
        on_item_skipped: Callable[[str], None] | None = None,
        eras: EraTracker | None = None,
    ) -> None:
        """Initializes the client.

        Args:
          sender: sends the calls.
          address: address of the store.
          on_item_skipped: called with the reason for each malformed item,
            which is skipped.
          eras: follows the era of the store.
        """
        self._sender = sender
        self._address = address
        self._on_item_skipped = on_item_skipped or _ignore
        self._eras = eras or EraTracker(SystemClock())

    async def get(
        self, key: str, *, allow_stale: bool = False
    ) -> StoreEntry | None:
        query = {"key": key} | _stale_query(allow_stale)
        answer = await self._call("GET", _make_path("kv-key", **query))
        if answer.status == 404:
            return None
        return _make_entry(answer.decode(_ITEM_DECODER), answer.era)

    async def list(
        self, prefix: str, limit: int = 0, *, allow_stale: bool = False
    ) -> tuple[StoreEntry, ...]:
        entries: list[StoreEntry] = []
        after = ""
        era: int | None = None
        while True:
            query = {"prefix": prefix} | _stale_query(allow_stale)
            if after:
                query["after"] = after
            answer = await self._call("GET", _make_path("kv-range", **query))
            if era is not None and answer.era != era:
                raise StoreUnavailableError(
                    f"expected all pages of era {era}, got {answer.era}"
                )
            era = answer.era
            page = answer.decode(_RANGE_DECODER)
            entries += [
                _make_entry(item, era, page.current_rev)
                for item in self._decode_items(page.items)
            ]
            if not page.truncated or not page.items:
                break
            if limit and len(entries) >= limit:
                break
            after = _decode_key(page.items[-1])
            if not after:
                raise StoreAnswerMalformedError(
                    "expected a key in the last item of a page, got none"
                )
        return tuple(entries[:limit] if limit else entries)

    async def position(self) -> StorePosition:
        # Only one key has this prefix, so the page after it is empty and the
        # response carries the revision without any value.
        query = {"prefix": CONFIG_KEY, "after": CONFIG_KEY}
        answer = await self._call("GET", _make_path("kv-range", **query))
        revision = answer.decode(_RANGE_DECODER).current_rev
        if revision <= 0:
            raise StoreAnswerMalformedError(
                f"expected the store's revision, got {revision}"
            )
        return StorePosition(answer.era, revision)

    async def transact(
        self, compares: Sequence[Compare], operations: Sequence[Operation]
    ) -> TxnResult:
        body = {
            "expected-rev": [
                {"key": c.key, "rev": c.mod_revision or 0} for c in compares
            ],
            "puts": [_encode_put(o) for o in operations if isinstance(o, Put)],
            "deletes": [o.key for o in operations if isinstance(o, Delete)],
        }
        answer = await self._call(
            "POST", "/-/kv-txn", msgspec.json.encode(body)
        )
        if answer.status == 412:
            return TxnResult(False, 0, answer.era)
        return TxnResult(True, answer.decode(_REVISION_DECODER).rev, answer.era)

    async def grant(self, ttl_s: int) -> int:
        body = msgspec.json.encode({"ttl-ms": ttl_s * 1000})
        answer = await self._call("POST", "/-/kv-lease", body)
        return answer.decode(_LEASE_DECODER).lease

    async def keep_alive(self, lease_id: int) -> int:
        answer = await self._call("POST", f"/-/kv-keep/{lease_id}")
        if answer.status == 404:
            return 0
        return answer.decode(_LEASE_DECODER).ttl_ms // 1000

    async def revoke(self, lease_id: int) -> None:
        await self._call("DELETE", f"/-/kv-lease-end/{lease_id}")

    async def watch(
        self, prefix: str, start: StorePosition
    ) -> AsyncIterator[WatchEvent]:
        after = max(0, start.revision - 1)
        while True:
            path = _make_path(
                "kv-watch",
                prefix=prefix,
                after=str(after),
                **{"wait-ms": str(int(WATCH_WAIT_S * 1000))},
            )
            try:
                answer = await self._call(
                    "GET", path, timeout_s=WATCH_WAIT_S + _WATCH_MARGIN_S
                )
            except StoreAnswerTooLongError as exc:
                # The same watch would get it again.
                raise StoreCompactedError(str(exc)) from exc
            if answer.era != start.era:
                # Revisions of the eras before mean nothing in this one.
                raise StoreCompactedError(
                    f"expected events of era {start.era}, got {answer.era}"
                )
            page = answer.decode(_EVENTS_DECODER)
            for item in self._decode_items(page.events):
                entry = None if item.removed else _make_entry(item, answer.era)
                yield WatchEvent(item.key, entry, item.rev, answer.era)
            after = max(after, page.current_rev)

    def _decode_items(self, raws: Sequence[msgspec.Raw]) -> Iterator[_Item]:
        """Yields the decoded items; reports and skips malformed ones."""
        for raw in raws:
            try:
                item = _RAW_ITEM_DECODER.decode(raw)
                decode_base64(item.value, "a value")
            except MalformedInputError as exc:
                key = _decode_key(raw)[:80]
                self._on_item_skipped(f"item {key!r}: {exc}")
                continue
            yield item

    async def close(self) -> None:
        await self._sender.close()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> "_Answer":
        """Makes a call and returns its answer, of status 200, 404 or 412.

        Its body is complete: the timeout covers the whole response.

        Raises:
          StoreUnavailableError: the call certainly had no effect.
          StoreAnswerLostError: the call may have had an effect, or may still
            have one later.
          StoreCompactedError: the requested history is no longer kept.
        """
        request = Request(method, path, _JSON, body, len(body))
        try:
            with anyio.fail_after(timeout_s):
                response = await _complete(
                    await self._sender.send(
                        self._address, request, _CONNECT_TIMEOUT_S
                    )
                )
        except ConnectFailedError as exc:
            raise StoreUnavailableError(f"{method}: {exc}") from exc
        except ResponseTooLongError as exc:
            raise StoreAnswerTooLongError(f"{method}: {exc}") from exc
        except (SendError, TimeoutError) as exc:
            raise StoreAnswerLostError(f"{method}: {exc!r}") from exc
        if response.status in (200, 404, 412):
            era = self._eras.observe(get_header(response.headers, ERA.lower()))
            return _Answer(response.status, cast(bytes, response.body), era)
        if response.status == 410:
            self._eras.observe(get_header(response.headers, ERA.lower()))
            raise StoreCompactedError("expected history, got 410")
        raise StoreUnavailableError(
            f"{method} {path.partition('?')[0]}: expected status 200, got "
            f"{response.status}"
        )


def _stale_query(allow_stale: bool) -> dict[str, str]:
    """Returns the query parameters for a read that may return stale state."""
    return {"allow-stale": "1"} if allow_stale else {}


def _make_path(name: str, **query: str) -> str:
    return f"/-/{name}?{urllib.parse.urlencode(query)}"


async def _complete(response: Response) -> Response:
    """Returns `response` with its whole body."""
    try:
        body = await read_body(response.body, MAX_ANSWER_BYTES)
    except BaseException:
        abort_body(response.body)
        raise
    return msgspec.structs.replace(response, body=body)


def _decode_key(raw: msgspec.Raw) -> str:
    """Returns the key of a possibly malformed item; empty if it has none."""
    try:
        return _KEY_DECODER.decode(raw).key
    except MalformedInputError:
        return ""


def _ignore(reason: str) -> None:
    """Ignores the reason why an item was skipped."""


def _make_entry(item: _Item, era: int, store_revision: int = 0) -> StoreEntry:
    return StoreEntry(
        item.key,
        decode_base64(item.value, "a value", StoreAnswerMalformedError),
        item.created_rev,
        item.rev,
        item.lease,
        item.current_rev or store_revision,
        era,
    )


def _encode_put(put: Put) -> dict[str, Any]:
    value = base64.b64encode(put.value).decode()
    return {"key": put.key, "value": value, "lease": put.lease_id}
