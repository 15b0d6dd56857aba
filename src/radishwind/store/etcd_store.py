"""`Store` on top of the JSON gateway of etcd's v3 API."""

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
from radishwind.http.types import read_body
from radishwind.http.types import Request
from radishwind.http.types import Response
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
from radishwind.store.position import StorePosition

_CONNECT_TIMEOUT_S = 1.0

#: Entries per page of a list. It keeps the size of a response in the range of
#: megabytes.
PAGE_ENTRIES = 200

#: Statuses that the gateway sends if it rejected a call before it was proposed
#: to the cluster: bad argument, not authenticated, not permitted, not found,
#: too large, too many requests, not implemented. After any other error status
#: (500, 503, 504), a write may have taken effect.
_NO_EFFECT_STATUSES = frozenset({400, 401, 403, 404, 413, 429, 501})

#: A key that never exists. Reading it returns the store's revision alone.
_ABSENT_KEY = b"\0"


class EtcdStore(Store):
    """Client of an etcd store at one address; it never retries a call.

    Args:
      sender: sends the HTTP requests.
      address: address of the gateway.
      timeout_s: how long a call may take (s); for a watch, until the headers
        of the response.
    """

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
        page = gateway.parse_page(await self._call("kv/range", body))
        return page.entries[0] if page.entries else None

    async def list(
        self, prefix: str, limit: int = 0, *, allow_stale: bool = False
    ) -> tuple[StoreEntry, ...]:
        entries: list[StoreEntry] = []
        start = prefix.encode()
        while True:
            page_limit = PAGE_ENTRIES
            if limit:
                page_limit = min(page_limit, limit - len(entries))
            body = {
                "key": gateway.encode_bytes(start),
                "range_end": gateway.encode_bytes(gateway.prefix_end(prefix)),
                "limit": page_limit,
                "serializable": allow_stale,
            }
            page = gateway.parse_page(await self._call("kv/range", body))
            entries.extend(page.entries)
            if page.key_count < page_limit or (limit and len(entries) >= limit):
                return tuple(entries)
            start = _next_page_start(start, page)

    async def position(self) -> StorePosition:
        body = {"key": gateway.encode_bytes(_ABSENT_KEY), "count_only": True}
        message = await self._call("kv/range", body)
        return StorePosition(0, gateway.parse_revision(message))

    async def transact(
        self, compares: Sequence[Compare], operations: Sequence[Operation]
    ) -> TxnResult:
        message = await self._call(
            "kv/txn",
            {
                "compare": [gateway.encode_compare(c) for c in compares],
                "success": [gateway.encode_operation(o) for o in operations],
            },
        )
        succeeded = message.get("succeeded", False)
        if not isinstance(succeeded, bool):
            raise StoreAnswerMalformedError(
                "kv/txn: expected true or false in the field succeeded"
            )
        return TxnResult(succeeded, gateway.parse_revision(message))

    async def grant(self, ttl_s: int) -> int:
        message = await self._call("lease/grant", {"TTL": ttl_s, "ID": 0})
        return gateway.parse_int(message, "ID")

    async def keep_alive(self, lease_id: int) -> int:
        message = await self._call("lease/keepalive", {"ID": lease_id})
        return gateway.parse_int(message.get("result"), "TTL", 0)

    async def revoke(self, lease_id: int) -> None:
        await self._call(
            "lease/revoke", {"ID": lease_id}, ignore_not_found=True
        )

    async def watch(
        self, prefix: str, start: StorePosition
    ) -> AsyncIterator[WatchEvent]:
        create = {
            "key": gateway.encode_bytes(prefix.encode()),
            "range_end": gateway.encode_bytes(gateway.prefix_end(prefix)),
            "start_revision": start.revision,
        }
        payload = msgspec.json.encode({"create_request": create})
        try:
            with anyio.fail_after(self._timeout_s):
                response = await self._send("watch", payload)
        except (ExchangeBrokenError, TimeoutError) as exc:
            raise StoreUnavailableError(f"watch: no response: {exc!r}") from exc
        if response.status != 200:
            abort_body(response.body)
            raise StoreUnavailableError(
                f"watch: expected status 200, got {response.status}"
            )
        try:
            async for line in _iterate_lines(response.body):
                for event in gateway.parse_watch_message(line):
                    yield event
        except ExchangeBrokenError as exc:
            raise StoreUnavailableError(f"watch: {exc}") from exc
        finally:
            abort_body(response.body)
        raise StoreUnavailableError("watch: the store ended the stream")

    async def close(self) -> None:
        await self._sender.close()

    async def _call(
        self, name: str, body: dict[str, Any], ignore_not_found: bool = False
    ) -> dict[str, Any]:
        """Makes a call and returns the message of the response.

        Args:
          name: path of the method below `/v3/`.
          body: message of the request.
          ignore_not_found: returns an empty message for the status 404.

        Raises:
          StoreUnavailableError: the call certainly had no effect.
          StoreAnswerLostError: the call may have taken effect.
        """
        try:
            with anyio.fail_after(self._timeout_s):
                response = await self._send(name, msgspec.json.encode(body))
                content = await read_body(response.body)
        except (ExchangeBrokenError, TimeoutError) as exc:
            raise StoreAnswerLostError(f"{name}: {exc!r}") from exc
        if response.status == 404 and ignore_not_found:
            return {}
        if response.status in _NO_EFFECT_STATUSES:
            raise StoreUnavailableError(
                f"{name}: expected status 200, got {response.status}"
            )
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


def _next_page_start(start: bytes, page: gateway.Page) -> bytes:
    """Returns the key directly after the last one of `page`.

    Raises:
      StoreAnswerMalformedError: the page ends before its start key, so that
        reading on would never end.
    """
    next_start = page.last_key + b"\0"
    if next_start <= start:
        raise StoreAnswerMalformedError(
            "kv/range: expected keys in ascending order"
        )
    return next_start


async def _iterate_lines(body: Body) -> AsyncIterator[bytes]:
    """Yields the lines of `body` without line breaks.

    Raises:
      StoreAnswerMalformedError: a line is longer than `MAX_LINE_BYTES`.
    """
    if isinstance(body, bytes):
        for line in body.splitlines():
            yield line
        return
    incomplete = b""
    async for chunk in body:
        *lines, incomplete = (incomplete + chunk).split(b"\n")
        for line in lines:
            if line.strip():
                yield line
        if len(incomplete) > gateway.MAX_LINE_BYTES:
            raise StoreAnswerMalformedError(
                "watch: message exceeds the maximum size"
            )
