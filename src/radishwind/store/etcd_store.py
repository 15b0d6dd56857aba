"""`Store` spoken by the JSON gateway of etcd's v3 API."""

from collections.abc import AsyncIterator
from collections.abc import Sequence
from typing import Any

import anyio
import msgspec

from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.sender import Sender
from radishwind.http.types import abort_body
from radishwind.http.types import Address
from radishwind.http.types import Body
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.http.types import whole_body
from radishwind.store import gateway
from radishwind.store.base import Compare
from radishwind.store.base import Operation
from radishwind.store.base import Store
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.base import StoreAnswerMalformedError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreUnavailableError
from radishwind.store.base import TxnResult
from radishwind.store.base import WatchEvent

_CONNECT_TIMEOUT_S = 1.0

#: Entries asked for at once, so that an answer stays in the range of
#: megabytes.
PAGE_ENTRIES = 200

#: Statuses by which the gateway says that it refused a call unread or before
#: it was proposed: bad argument, not authenticated, not permitted, not found,
#: too large, too many, not implemented. Others (500, 503, 504) leave open
#: whether a write took effect.
_NO_EFFECT = frozenset({400, 401, 403, 404, 413, 429, 501})

#: A key that nobody writes.
_NO_KEY = b"\0"


class EtcdStore(Store):
    """Calls the store at one address; a call is never sent twice."""

    def __init__(
        self, sender: Sender, address: Address, timeout_s: float = 2.0
    ) -> None:
        self._sender = sender
        self._address = address
        self._timeout_s = timeout_s

    async def get(
        self, key: str, *, allow_stale: bool = False
    ) -> StoreEntry | None:
        body: dict[str, Any] = {
            "key": gateway.encode_bytes(key.encode()),
            "serializable": allow_stale,
        }
        entries = gateway.read_entries(await self._call("kv/range", body))
        return entries[0] if entries else None

    async def list(
        self, prefix: str, limit: int = 0, *, allow_stale: bool = False
    ) -> tuple[StoreEntry, ...]:
        entries: list[StoreEntry] = []
        start = prefix.encode()
        while True:
            page = PAGE_ENTRIES
            if limit:
                page = min(page, limit - len(entries))
            body = {
                "key": gateway.encode_bytes(start),
                "range_end": gateway.encode_bytes(gateway.prefix_end(prefix)),
                "limit": page,
                "serializable": allow_stale,
            }
            got = gateway.read_entries(await self._call("kv/range", body))
            entries.extend(got)
            if len(got) < page or len(entries) == limit:
                return tuple(entries)
            start = _next_start(start, got)

    async def revision(self) -> int:
        body = {"key": gateway.encode_bytes(_NO_KEY), "count_only": True}
        return gateway.read_revision(await self._call("kv/range", body))

    async def transact(
        self, compares: Sequence[Compare], operations: Sequence[Operation]
    ) -> TxnResult:
        answer = await self._call(
            "kv/txn",
            {
                "compare": [gateway.compare_message(c) for c in compares],
                "success": [gateway.operation_message(o) for o in operations],
            },
        )
        succeeded = answer.get("succeeded", False)
        if not isinstance(succeeded, bool):
            raise StoreAnswerMalformedError("kv/txn: expected true or false")
        return TxnResult(succeeded, gateway.read_revision(answer))

    async def grant(self, ttl_s: int) -> int:
        answer = await self._call("lease/grant", {"TTL": ttl_s, "ID": 0})
        return gateway.read_int(answer, "ID")

    async def keep_alive(self, lease_id: int) -> int:
        answer = await self._call("lease/keepalive", {"ID": lease_id})
        return gateway.read_int(answer.get("result"), "TTL", 0)

    async def revoke(self, lease_id: int) -> None:
        await self._call("lease/revoke", {"ID": lease_id}, absent_is_fine=True)

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[WatchEvent]:
        create = {
            "key": gateway.encode_bytes(prefix.encode()),
            "range_end": gateway.encode_bytes(gateway.prefix_end(prefix)),
            "start_revision": from_revision,
        }
        payload = msgspec.json.encode({"create_request": create})
        try:
            with anyio.fail_after(self._timeout_s):
                response = await self._send("watch", payload)
        except TimeoutError as exc:
            raise StoreUnavailableError("watch: no answer in time") from exc
        if response.status != 200:
            abort_body(response.body)
            raise StoreUnavailableError(f"watch: status {response.status}")
        try:
            async for line in _lines(response.body):
                for event in gateway.read_watch(line):
                    yield event
        except ExchangeBrokenError as exc:
            raise StoreUnavailableError(f"watch: {exc}") from exc
        finally:
            abort_body(response.body)
        raise StoreUnavailableError("watch: the store closed it")

    async def close(self) -> None:
        await self._sender.close()

    async def _call(
        self, name: str, body: dict[str, Any], absent_is_fine: bool = False
    ) -> dict[str, Any]:
        try:
            with anyio.fail_after(self._timeout_s):
                response = await self._send(name, msgspec.json.encode(body))
                content = await whole_body(response.body)
        except (ExchangeBrokenError, TimeoutError) as exc:
            raise StoreAnswerLostError(f"{name}: {exc!r}") from exc
        if response.status == 404 and absent_is_fine:
            return {}
        if response.status in _NO_EFFECT:
            raise StoreUnavailableError(f"{name}: status {response.status}")
        if response.status != 200:
            raise StoreAnswerLostError(
                f"{name}: expected status 200, got {response.status}"
            )
        return gateway.decode_object(content, name)

    async def _send(self, name: str, payload: bytes) -> Response:
        request = Request(
            "POST",
            f"/v3/{name}",
            (("Content-Type", "application/json"),),
            payload,
            len(payload),
        )
        try:
            return await self._sender.send(
                self._address, request, _CONNECT_TIMEOUT_S
            )
        except ConnectFailedError as exc:
            raise StoreUnavailableError(f"{name}: {exc}") from exc


def _next_start(start: bytes, got: Sequence[StoreEntry]) -> bytes:
    """Returns the key after the last one got.

    Raises:
      StoreAnswerMalformedError: the store went backwards, which would make
        the reading endless.
    """
    following = got[-1].key.encode() + b"\0"
    if following <= start:
        raise StoreAnswerMalformedError("kv/range: keys out of order")
    return following


async def _lines(body: Body) -> AsyncIterator[bytes]:
    """Yields the lines of `body` without their ends; bounded in length."""
    if isinstance(body, bytes):
        for line in body.splitlines():
            yield line
        return
    rest = b""
    async for piece in body:
        *lines, rest = (rest + piece).split(b"\n")
        for line in lines:
            if line.strip():
                yield line
        if len(rest) > gateway.MAX_LINE_BYTES:
            raise StoreAnswerMalformedError("watch: message too long")
