"""A stand-in for the platform's store, in memory.

It speaks the part of etcd's v3 JSON gateway that the product uses.
"""

import base64
import dataclasses
from collections.abc import Callable
from typing import Any

import msgspec

from radishwind.core.clock import Clock
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.http.types import whole_body


@dataclasses.dataclass(slots=True)
class _Value:
    value: str
    create_revision: int
    mod_revision: int
    version: int
    lease: int


class StoreStandin:
    """Keeps keys, revisions and leases."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._revision = 1
        self._values: dict[bytes, _Value] = {}
        self._leases: dict[int, tuple[int, float]] = {}
        self._next_lease = 1
        self.calls: dict[str, int] = {}
        self._handlers: dict[str, Callable[[dict[str, Any]], Any]] = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
        }

    async def handle(self, request: Request) -> Response:
        """Answers one call."""
        handler = self._handlers.get(request.path)
        if handler is None:
            return _json(404, {"error": "not found", "code": 5})
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        self._lapse()
        body = await whole_body(request.body)
        try:
            answer = handler(msgspec.json.decode(body))
        except (KeyError, TypeError, ValueError) as exc:
            return _json(400, {"error": repr(exc), "code": 3})
        return _json(200, answer)

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        key = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", ""))
        keys = [key] if not end else [k for k in self._values if key <= k < end]
        kvs = [self._kv(k) for k in sorted(keys) if k in self._values]
        return {"header": self._header(), "kvs": kvs, "count": str(len(kvs))}

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        holds = all(self._holds(c) for c in body.get("compare", ()))
        operations = body.get("success" if holds else "failure", ())
        if operations:
            self._revision += 1
        for op in operations:
            self._apply(op)
        return {"header": self._header(), "succeeded": holds}

    def _holds(self, compare: dict[str, Any]) -> bool:
        value = self._values.get(base64.b64decode(compare["key"]))
        if compare["target"] == "CREATE":
            got = value.create_revision if value else 0
            return got == int(compare["create_revision"])
        got = value.mod_revision if value else 0
        return got == int(compare["mod_revision"])

    def _apply(self, op: dict[str, Any]) -> None:
        if "request_delete_range" in op:
            key = base64.b64decode(op["request_delete_range"]["key"])
            self._values.pop(key, None)
            return
        put = op["request_put"]
        key = base64.b64decode(put["key"])
        old = self._values.get(key)
        self._values[key] = _Value(
            put["value"],
            old.create_revision if old else self._revision,
            self._revision,
            old.version + 1 if old else 1,
            int(put.get("lease", 0)),
        )

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        lease_id = self._next_lease
        self._next_lease += 1
        ttl_s = int(body["TTL"])
        self._leases[lease_id] = (ttl_s, self._clock.monotonic() + ttl_s)
        return {
            "header": self._header(),
            "ID": str(lease_id),
            "TTL": str(ttl_s),
        }

    def _keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        lease_id = int(body["ID"])
        result: dict[str, Any] = {"header": self._header(), "ID": str(lease_id)}
        if lease_id in self._leases:
            ttl_s = self._leases[lease_id][0]
            self._leases[lease_id] = (ttl_s, self._clock.monotonic() + ttl_s)
            result["TTL"] = str(ttl_s)
        return {"result": result}

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        self._end_lease(int(body["ID"]))
        return {"header": self._header()}

    def _lapse(self) -> None:
        now = self._clock.monotonic()
        for lease_id, (_, until) in list(self._leases.items()):
            if until <= now:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        if self._leases.pop(lease_id, None) is None:
            return
        keys = [k for k, v in self._values.items() if v.lease == lease_id]
        if keys:
            self._revision += 1
        for key in keys:
            del self._values[key]

    def _header(self) -> dict[str, Any]:
        return {"revision": str(self._revision)}

    def _kv(self, key: bytes) -> dict[str, Any]:
        value = self._values[key]
        return {
            "key": base64.b64encode(key).decode(),
            "value": value.value,
            "create_revision": str(value.create_revision),
            "mod_revision": str(value.mod_revision),
            "version": str(value.version),
            "lease": str(value.lease),
        }


def _json(status: int, body: Any) -> Response:
    return Response(
        status,
        (("Content-Type", "application/json"),),
        msgspec.json.encode(body),
    )
