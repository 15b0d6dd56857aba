"""The client of the platform's store."""

import base64
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any
from typing import TypeVar
import urllib.parse

import anyio
import msgspec

from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import SendError
from radishwind.http.sender import Sender
from radishwind.http.types import Address
from radishwind.http.types import read_body
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.platform.routes import CONFIG_KEY
from radishwind.store.base import Compare
from radishwind.store.base import Delete
from radishwind.store.base import Operation
from radishwind.store.base import Put
from radishwind.store.base import Store
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.base import StoreAnswerMalformedError
from radishwind.store.base import StoreCompactedError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreUnavailableError
from radishwind.store.base import TxnResult
from radishwind.store.base import WatchEvent

#: How long a call may take (s). The store answers in 4 ms, and in 0.3 s where
#: it is slow; a call on a connection that went silent never ends by itself.
CALL_TIMEOUT_S = 1.0

#: How long a watch waits for a change (s); each return costs a call, and the
#: store takes at most 30 s.
WATCH_WAIT_S = 29.0

#: What a watch may take beyond its wait (s).
_WATCH_SLACK_S = 2.0

_CONNECT_TIMEOUT_S = 0.5
_JSON = (("Content-Type", "application/json"), ("Host", "store"))

_T = TypeVar("_T")


class _Item(msgspec.Struct, frozen=True, rename="kebab"):
    key: str
    rev: int
    value: str = ""
    created_rev: int = 0
    lease: int = 0
    removed: bool = False
    # The store's revision when it answered; of single items only.
    current_rev: int = 0


class _Range(msgspec.Struct, frozen=True, rename="kebab"):
    # Decoded one by one: others may write there, and one bad item is no reason
    # to lose the rest.
    items: tuple[msgspec.Raw, ...] = ()
    truncated: bool = False
    current_rev: int = 0


class _Events(msgspec.Struct, frozen=True, rename="kebab"):
    events: tuple[msgspec.Raw, ...] = ()
    current_rev: int = 0


class _Key(msgspec.Struct, frozen=True):
    key: str = ""


class _Revision(msgspec.Struct, frozen=True):
    rev: int = 0


class _Lease(msgspec.Struct, frozen=True, rename="kebab"):
    lease: int = 0
    ttl_ms: int = 0


class PlatformStore(Store):
    """Speaks to the platform's store; every method is one call or one page."""

    def __init__(
        self,
        sender: Sender,
        address: Address,
        on_item_skipped: Callable[[str], None] | None = None,
    ) -> None:
        """Makes a client.

        Args:
          sender: sends the calls.
          address: of the store.
          on_item_skipped: called with the reason for each item that cannot be
            read.
        """
        self._sender = sender
        self._address = address
        self._on_item_skipped = on_item_skipped or _ignored

    async def get(
        self, key: str, *, allow_stale: bool = False
    ) -> StoreEntry | None:
        asked = {"key": key} | _staleness(allow_stale)
        response = await self._call("GET", _path("kv-key", **asked))
        if response.status == 404:
            return None
        return _entry(await _decoded(response, _Item))

    async def list(
        self, prefix: str, limit: int = 0, *, allow_stale: bool = False
    ) -> tuple[StoreEntry, ...]:
        found: list[StoreEntry] = []
        after = ""
        while True:
            asked = {"prefix": prefix} | _staleness(allow_stale)
            if after:
                asked["after"] = after
            response = await self._call("GET", _path("kv-range", **asked))
            page = await _decoded(response, _Range)
            found += [
                _entry(item, page.current_rev)
                for item in self._readable(page.items)
            ]
            if not page.truncated or not page.items:
                break
            if limit and len(found) >= limit:
                break
            after = _key_of(page.items[-1])
            if not after:
                raise StoreAnswerMalformedError(
                    "expected a key in the last item of a page, got none"
                )
        return tuple(found[:limit] if limit else found)

    async def revision(self) -> int:
        # The page behind the only key so named is empty: no value travels.
        asked = {"prefix": CONFIG_KEY, "after": CONFIG_KEY}
        response = await self._call("GET", _path("kv-range", **asked))
        revision = (await _decoded(response, _Range)).current_rev
        if revision <= 0:
            raise StoreAnswerMalformedError(
                f"expected the store's revision, got {revision}"
            )
        return revision

    async def transact(
        self, compares: Sequence[Compare], operations: Sequence[Operation]
    ) -> TxnResult:
        body = {
            "expected-rev": [
                {"key": c.key, "rev": c.mod_revision or 0} for c in compares
            ],
            "puts": [_put(o) for o in operations if isinstance(o, Put)],
            "deletes": [o.key for o in operations if isinstance(o, Delete)],
        }
        response = await self._call(
            "POST", "/-/kv-txn", msgspec.json.encode(body)
        )
        if response.status == 412:
            await _drained(response)
            return TxnResult(False, 0)
        done = await _decoded(response, _Revision)
        return TxnResult(True, done.rev)

    async def grant(self, ttl_s: int) -> int:
        body = msgspec.json.encode({"ttl-ms": ttl_s * 1000})
        response = await self._call("POST", "/-/kv-lease", body)
        return (await _decoded(response, _Lease)).lease

    async def keep_alive(self, lease_id: int) -> int:
        response = await self._call("POST", f"/-/kv-keep/{lease_id}")
        if response.status == 404:
            await _drained(response)
            return 0
        return (await _decoded(response, _Lease)).ttl_ms // 1000

    async def revoke(self, lease_id: int) -> None:
        await _drained(
            await self._call("DELETE", f"/-/kv-lease-end/{lease_id}")
        )

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[WatchEvent]:
        after = max(0, from_revision - 1)
        while True:
            response = await self._call(
                "GET",
                _path(
                    "kv-watch",
                    prefix=prefix,
                    after=str(after),
                    **{"wait-ms": str(int(WATCH_WAIT_S * 1000))},
                ),
                timeout_s=WATCH_WAIT_S + _WATCH_SLACK_S,
            )
            told = await _decoded(response, _Events)
            for item in self._readable(told.events):
                entry = None if item.removed else _entry(item)
                yield WatchEvent(item.key, entry, item.rev)
            after = max(after, told.current_rev)

    def _readable(self, raws: Sequence[msgspec.Raw]) -> Iterator[_Item]:
        """Returns the items that can be read; says which can't."""
        for raw in raws:
            try:
                item = msgspec.json.decode(raw, type=_Item)
                base64.b64decode(item.value, validate=True)
            except (msgspec.MsgspecError, ValueError) as exc:
                key = _key_of(raw)[:80]
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
    ) -> Response:
        """Returns an answer that says what the call did.

        Raises:
          StoreUnavailableError: the call certainly had no effect.
          StoreAnswerLostError: it may have had one, now or later.
          StoreCompactedError: the history asked for is gone.
        """
        request = Request(method, path, _JSON, body, len(body))
        try:
            with anyio.fail_after(timeout_s):
                response = await self._sender.send(
                    self._address, request, _CONNECT_TIMEOUT_S
                )
        except ConnectFailedError as exc:
            raise StoreUnavailableError(f"{method}: {exc}") from exc
        except (SendError, TimeoutError) as exc:
            raise StoreAnswerLostError(f"{method}: {exc!r}") from exc
        if response.status in (200, 404, 412):
            return response
        await _drained(response)
        if response.status == 410:
            raise StoreCompactedError("expected history, got 410")
        raise StoreUnavailableError(
            f"{method} {path.partition('?')[0]}: expected status 200, got "
            f"{response.status}"
        )


def _staleness(allow_stale: bool) -> dict[str, str]:
    """Returns the words of a read that may be answered with old state."""
    return {"allow-stale": "1"} if allow_stale else {}


def _path(name: str, **query: str) -> str:
    return f"/-/{name}?{urllib.parse.urlencode(query)}"


async def _drained(response: Response) -> bytes:
    try:
        return await read_body(response.body)
    except SendError as exc:
        raise StoreAnswerLostError(f"answer cut: {exc}") from exc


async def _decoded(response: Response, kind: type[_T]) -> _T:
    body = await _drained(response)
    if response.status != 200:
        raise StoreUnavailableError(
            f"expected status 200, got {response.status}"
        )
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError) as exc:
        raise StoreAnswerMalformedError(f"answer: {exc}") from exc


def _key_of(raw: msgspec.Raw) -> str:
    """Returns the key of an item, whatever else is in it; empty if none."""
    try:
        return msgspec.json.decode(raw, type=_Key).key
    except (msgspec.MsgspecError, ValueError):
        return ""


def _ignored(reason: str) -> None:
    """Takes why an item was left out where nobody wants to know."""


def _entry(item: _Item, store_revision: int = 0) -> StoreEntry:
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError as exc:
        raise StoreAnswerMalformedError(f"value of {item.key}: {exc}") from exc
    return StoreEntry(
        item.key,
        value,
        item.created_rev,
        item.rev,
        item.lease,
        item.current_rev or store_revision,
    )


def _put(put: Put) -> dict[str, Any]:
    value = base64.b64encode(put.value).decode()
    return {"key": put.key, "value": value, "lease": put.lease_id}
