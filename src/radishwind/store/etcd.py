"""`Store` spoken by the JSON gateway of etcd's v3 API."""

import base64
from collections.abc import AsyncIterator
from collections.abc import Sequence
from typing import Any

import anyio
import msgspec

from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.sender import Sender
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.http.types import whole_body
from radishwind.store.base import Compare
from radishwind.store.base import Operation
from radishwind.store.base import Put
from radishwind.store.base import Store
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.base import StoreAnswerMalformedError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreUnavailableError
from radishwind.store.base import TxnResult
from radishwind.store.base import WatchEvent

_CONNECT_TIMEOUT_S = 1.0


class EtcdStore(Store):
    """Calls the store at one address; a call is never sent twice."""

    def __init__(
        self, sender: Sender, address: Address, timeout_s: float = 2.0
    ) -> None:
        self._sender = sender
        self._address = address
        self._timeout_s = timeout_s

    async def get(self, key: str) -> StoreEntry | None:
        entries = await self._range({"key": _b64(key.encode())})
        return entries[0] if entries else None

    async def list(self, prefix: str) -> tuple[StoreEntry, ...]:
        return await self._range(
            {
                "key": _b64(prefix.encode()),
                "range_end": _b64(_prefix_end(prefix)),
            }
        )

    async def transact(
        self, compares: Sequence[Compare], operations: Sequence[Operation]
    ) -> TxnResult:
        answer = await self._call(
            "kv/txn",
            {
                "compare": [_compare(c) for c in compares],
                "success": [_operation(op) for op in operations],
            },
        )
        try:
            revision = int(answer["header"]["revision"])
            return TxnResult(bool(answer.get("succeeded", False)), revision)
        except (KeyError, TypeError, ValueError) as exc:
            raise StoreAnswerMalformedError(f"kv/txn: {exc!r}") from exc

    async def grant(self, ttl_s: int) -> int:
        answer = await self._call("lease/grant", {"TTL": ttl_s, "ID": 0})
        return _int_field(answer, "ID")

    async def keep_alive(self, lease_id: int) -> int:
        answer = await self._call("lease/keepalive", {"ID": lease_id})
        return _int_field(answer.get("result", {}), "TTL", 0)

    async def revoke(self, lease_id: int) -> None:
        await self._call("lease/revoke", {"ID": lease_id})

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[WatchEvent]:
        raise StoreUnavailableError("watches are not spoken yet")
        yield  # pragma: no cover

    async def close(self) -> None:
        await self._sender.close()

    async def _range(self, body: dict[str, Any]) -> tuple[StoreEntry, ...]:
        answer = await self._call("kv/range", body)
        try:
            return tuple(_entry(kv) for kv in answer.get("kvs", ()))
        except (KeyError, TypeError, ValueError) as exc:
            raise StoreAnswerMalformedError(f"kv/range: {exc!r}") from exc

    async def _call(self, name: str, body: dict[str, Any]) -> dict[str, Any]:
        payload = msgspec.json.encode(body)
        request = Request(
            "POST",
            f"/v3/{name}",
            (("Content-Type", "application/json"),),
            payload,
            len(payload),
        )
        try:
            with anyio.fail_after(self._timeout_s):
                response = await self._sender.send(
                    self._address, request, _CONNECT_TIMEOUT_S
                )
                content = await whole_body(response.body)
        except ConnectFailedError as exc:
            raise StoreUnavailableError(f"{name}: {exc}") from exc
        except (ExchangeBrokenError, TimeoutError) as exc:
            raise StoreAnswerLostError(f"{name}: {exc!r}") from exc
        if response.status != 200:
            raise StoreUnavailableError(
                f"{name}: expected status 200, got {response.status}"
            )
        try:
            answer = msgspec.json.decode(content)
        except msgspec.MsgspecError as exc:
            raise StoreAnswerMalformedError(f"{name}: {exc}") from exc
        if not isinstance(answer, dict):
            raise StoreAnswerMalformedError(f"{name}: expected an object")
        return answer


def _entry(kv: dict[str, Any]) -> StoreEntry:
    return StoreEntry(
        base64.b64decode(kv["key"]).decode(),
        base64.b64decode(kv.get("value", "")),
        int(kv["create_revision"]),
        int(kv["mod_revision"]),
        int(kv.get("lease", 0)),
    )


def _compare(compare: Compare) -> dict[str, Any]:
    key = _b64(compare.key.encode())
    if compare.create_revision is not None:
        return {
            "key": key,
            "target": "CREATE",
            "create_revision": compare.create_revision,
        }
    return {"key": key, "target": "MOD", "mod_revision": compare.mod_revision}


def _operation(op: Operation) -> dict[str, Any]:
    key = _b64(op.key.encode())
    if isinstance(op, Put):
        put = {"key": key, "value": _b64(op.value), "lease": op.lease_id}
        return {"request_put": put}
    return {"request_delete_range": {"key": key}}


def _b64(data: bytes) -> str:
    return base64.b64encode(data).decode("ascii")


def _prefix_end(prefix: str) -> bytes:
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def _int_field(
    answer: dict[str, Any], name: str, default: int | None = None
) -> int:
    try:
        return int(
            answer[name] if default is None else answer.get(name, default)
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise StoreAnswerMalformedError(f"{name}: {exc}") from exc
