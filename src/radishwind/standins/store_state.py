"""Keys, revisions, leases and the log of changes of the store's stand-in."""

import base64
import collections
from collections.abc import Callable
import dataclasses
from typing import Any

import anyio

from radishwind.core.clock import Clock

#: Changes kept for watches that start in the past; older ones are compacted.
LOG_LENGTH = 4096

#: Operations that etcd allows in a transaction by default.
MAX_OPERATIONS = 128

#: The largest value (bytes), as the platform allows.
MAX_VALUE_BYTES = 1024 * 1024


class CallError(Exception):
    """The call is refused and had no effect.

    Args:
      status: the HTTP status.
      code: gRPC's status code, as the gateway tells it.
      text: why, in etcd's words.
    """

    def __init__(self, status: int, code: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.code = code


@dataclasses.dataclass(frozen=True, slots=True)
class _Value:
    """A key's value, in base64, with what etcd tells of it."""

    value: str
    create_revision: int
    mod_revision: int
    version: int
    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedChange:
    """A change of one key, as a watch tells it.

    Attributes:
      revision: the store's revision of the change.
      key: the key.
      message: the event in the form of the gateway.
    """

    revision: int
    key: bytes
    message: dict[str, Any]


class StoreState:
    """Answers the calls; every method takes and returns gateway messages."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._revision = 1
        self._values: dict[bytes, _Value] = {}
        # By ID: the time to live (s), and when it ends (monotonic, s).
        self._leases: dict[int, tuple[int, float]] = {}
        self._next_lease = 1
        self._log: collections.deque[LoggedChange] = collections.deque()
        self._compacted = 0
        self._changed = anyio.Event()
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
    def compacted(self) -> int:
        """Changes up to this revision can no longer be watched."""
        return self._compacted

    def changed(self) -> anyio.Event:
        """Returns an event that is set at the next change."""
        return self._changed

    def changes(self, start: int, key: bytes, end: bytes) -> list[LoggedChange]:
        """Returns the changes from `start` on of keys in `key` to `end`."""
        return [
            c for c in self._log if c.revision >= start and key <= c.key < end
        ]

    def lapse(self) -> None:
        """Ends the leases whose time is over."""
        now = self._clock.monotonic()
        for lease_id, (_, until) in list(self._leases.items()):
            if until <= now:
                self.end_lease(lease_id)

    def end_lease(self, lease_id: int) -> None:
        """Ends a lease; the keys on it are removed."""
        if self._leases.pop(lease_id, None) is None:
            return
        keys = [k for k, v in self._values.items() if v.lease == lease_id]
        if not keys:
            return
        self._revision += 1
        for key in keys:
            self._delete(key)
        self._tell()

    def end_all_leases(self) -> None:
        """Ends every lease."""
        for lease_id in list(self._leases):
            self.end_lease(lease_id)

    def header(self) -> dict[str, Any]:
        """Returns the header of an answer."""
        return {"revision": str(self._revision)}

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        key = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", ""))
        limit = int(body.get("limit", 0))
        keys = [key] if not end else [k for k in self._values if key <= k < end]
        held = [k for k in sorted(keys) if k in self._values]
        kvs = [self._kv(k) for k in (held[:limit] if limit else held)]
        answer: dict[str, Any] = {"header": self.header(), "kvs": kvs}
        answer["count"] = str(len(held))
        if len(kvs) < len(held):
            answer["more"] = True
        return answer

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        holds = all(self._condition_holds(c) for c in body.get("compare", ()))
        operations = body.get("success" if holds else "failure", ())
        _check_operations(operations)
        if operations:
            self._revision += 1
        for op in operations:
            self._apply(op)
        if operations:
            self._tell()
        return {"header": self.header(), "succeeded": holds}

    def _condition_holds(self, compare: dict[str, Any]) -> bool:
        value = self._values.get(base64.b64decode(compare["key"]))
        if compare["target"] == "CREATE":
            got = value.create_revision if value else 0
            return got == int(compare["create_revision"])
        got = value.mod_revision if value else 0
        return got == int(compare["mod_revision"])

    def _apply(self, op: dict[str, Any]) -> None:
        if "request_delete_range" in op:
            self._delete(base64.b64decode(op["request_delete_range"]["key"]))
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
        self._note(key, {"kv": self._kv(key)})

    def _delete(self, key: bytes) -> None:
        if self._values.pop(key, None) is None:
            return
        kv = {
            "key": base64.b64encode(key).decode(),
            "mod_revision": str(self._revision),
        }
        self._note(key, {"type": "DELETE", "kv": kv})

    def _note(self, key: bytes, message: dict[str, Any]) -> None:
        self._log.append(LoggedChange(self._revision, key, message))
        if len(self._log) > LOG_LENGTH:
            self._compacted = self._log.popleft().revision

    def _tell(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        lease_id = self._next_lease
        self._next_lease += 1
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
