"""Keys, revisions, leases and the change log of the etcd stand-in."""

import base64
import collections
from collections.abc import Callable
import dataclasses
from typing import Any

import anyio

from radishwind.core.clock import Clock

#: The maximum number of changes kept for watches that start at a past
#: revision; older changes are compacted.
MAX_LOG_ENTRIES = 4096

#: The maximum number of operations in a transaction: etcd's default.
MAX_OPERATIONS = 128

#: The maximum size of a value (bytes), as on the platform.
MAX_VALUE_BYTES = 1024 * 1024


class CallError(Exception):
    """A call was rejected without effect.

    Args:
      status: the HTTP status.
      code: the gRPC status code in the response of the gateway.
      text: etcd's error message.
    """

    def __init__(self, status: int, code: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.code = code


@dataclasses.dataclass(frozen=True, slots=True)
class _Value:
    """The value of a key, in base64, with etcd's metadata."""

    value: str
    create_revision: int
    mod_revision: int
    version: int
    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedChange:
    """A change of one key, as reported by a watch.

    Attributes:
      revision: the store's revision of the change.
      key: the key.
      message: the event in the format of the gateway.
    """

    revision: int
    key: bytes
    message: dict[str, Any]


class StoreState:
    """The state of the store.

    Attributes:
      handlers: the handler of each kind of call; it maps a request message of
        the gateway to the response message.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._revision = 1
        self._values: dict[bytes, _Value] = {}
        # By ID: the time to live (s) and the time of expiry (monotonic, s).
        self._leases: dict[int, tuple[int, float]] = {}
        self._next_lease_id = 1
        self._log: collections.deque[LoggedChange] = collections.deque()
        self._compacted_revision = 0
        self._change_event = anyio.Event()
        self.handlers: dict[str, Callable[[dict[str, Any]], Any]] = {
            "range": self._range,
            "txn": self._txn,
            "grant": self._grant,
            "keepalive": self._keep_alive,
            "revoke": self._revoke,
        }

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._revision

    @property
    def compacted_revision(self) -> int:
        """The last compacted revision; watches must start after it."""
        return self._compacted_revision

    def change_event(self) -> anyio.Event:
        """Returns the event that is set at the next change."""
        return self._change_event

    def changes_since(
        self, start: int, key: bytes, end: bytes
    ) -> list[LoggedChange]:
        """Returns the changes of a range of keys since a revision.

        Args:
          start: the first revision.
          key: the first key of the range.
          end: the end of the range, exclusive.
        """
        return [
            c for c in self._log if c.revision >= start and key <= c.key < end
        ]

    def end_expired_leases(self) -> None:
        """Ends the leases that have expired."""
        now = self._clock.monotonic()
        for lease_id, (_, expires_at) in list(self._leases.items()):
            if expires_at <= now:
                self.end_lease(lease_id)

    def end_lease(self, lease_id: int) -> None:
        """Ends a lease and removes the keys attached to it."""
        if self._leases.pop(lease_id, None) is None:
            return
        keys = [k for k, v in self._values.items() if v.lease == lease_id]
        if not keys:
            return
        self._revision += 1
        for key in keys:
            self._delete(key)
        self._notify_watches()

    def end_all_leases(self) -> None:
        """Ends every lease."""
        for lease_id in list(self._leases):
            self.end_lease(lease_id)

    def put(self, key: bytes, value: bytes) -> dict[str, Any]:
        """Writes an entry; returns it in the format of the gateway."""
        encoded = (base64.b64encode(x).decode() for x in (key, value))
        put = dict(zip(("key", "value"), encoded, strict=True))
        self._txn({"success": [{"request_put": put}]})
        return self._kv(key)

    def header(self) -> dict[str, Any]:
        """Returns the header of a response."""
        return {"revision": str(self._revision)}

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        key = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", ""))
        limit = int(body.get("limit", 0))
        keys = [key] if not end else [k for k in self._values if key <= k < end]
        present = [k for k in sorted(keys) if k in self._values]
        kvs = [self._kv(k) for k in (present[:limit] if limit else present)]
        response: dict[str, Any] = {"header": self.header(), "kvs": kvs}
        response["count"] = str(len(present))
        if len(kvs) < len(present):
            response["more"] = True
        return response

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        holds = all(self._condition_holds(c) for c in body.get("compare", ()))
        operations = body.get("success" if holds else "failure", ())
        _check_operations(operations)
        if operations:
            self._revision += 1
        for op in operations:
            self._apply(op)
        if operations:
            self._notify_watches()
        return {"header": self.header(), "succeeded": holds}

    def _condition_holds(self, compare: dict[str, Any]) -> bool:
        value = self._values.get(base64.b64decode(compare["key"]))
        if compare["target"] == "CREATE":
            actual = value.create_revision if value else 0
            return actual == int(compare["create_revision"])
        actual = value.mod_revision if value else 0
        return actual == int(compare["mod_revision"])

    def _apply(self, op: dict[str, Any]) -> None:
        if "request_delete_range" in op:
            self._delete(base64.b64decode(op["request_delete_range"]["key"]))
            return
        put = op["request_put"]
        key = base64.b64decode(put["key"])
        previous = self._values.get(key)
        self._values[key] = _Value(
            put["value"],
            previous.create_revision if previous else self._revision,
            self._revision,
            previous.version + 1 if previous else 1,
            int(put.get("lease", 0)),
        )
        self._log_change(key, {"kv": self._kv(key)})

    def _delete(self, key: bytes) -> None:
        if self._values.pop(key, None) is None:
            return
        kv = {
            "key": base64.b64encode(key).decode(),
            "mod_revision": str(self._revision),
        }
        self._log_change(key, {"type": "DELETE", "kv": kv})

    def _log_change(self, key: bytes, message: dict[str, Any]) -> None:
        self._log.append(LoggedChange(self._revision, key, message))
        if len(self._log) > MAX_LOG_ENTRIES:
            self._compacted_revision = self._log.popleft().revision

    def _notify_watches(self) -> None:
        self._change_event.set()
        self._change_event = anyio.Event()

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        ttl_s = int(body["TTL"])
        self._leases[lease_id] = (ttl_s, self._clock.monotonic() + ttl_s)
        return {"header": self.header(), "ID": str(lease_id), "TTL": str(ttl_s)}

    def _keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        lease_id = int(body["ID"])
        result: dict[str, Any] = {"header": self.header(), "ID": str(lease_id)}
        if lease_id in self._leases:
            ttl_s = self._leases[lease_id][0]
            self._leases[lease_id] = (ttl_s, self._clock.monotonic() + ttl_s)
            result["TTL"] = str(ttl_s)
        return {"result": result}

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        lease_id = int(body["ID"])
        if lease_id not in self._leases:
            raise CallError(404, 5, "etcdserver: requested lease not found")
        self.end_lease(lease_id)
        return {"header": self.header()}

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


def _check_operations(operations: list[dict[str, Any]]) -> None:
    if len(operations) > MAX_OPERATIONS:
        raise CallError(400, 3, "etcdserver: too many operations in txn")
    for op in operations:
        put = op.get("request_put")
        if put and len(put["value"]) * 3 // 4 > MAX_VALUE_BYTES:
            raise CallError(400, 3, "etcdserver: request is too large")
