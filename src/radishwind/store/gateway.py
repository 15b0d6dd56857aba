"""The messages of etcd's v3 JSON gateway: bytes and counts are text in JSON."""

import base64
from typing import Any

import msgspec

from radishwind.store.base import Compare
from radishwind.store.base import Operation
from radishwind.store.base import Put
from radishwind.store.base import StoreAnswerMalformedError
from radishwind.store.base import StoreCompactedError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreUnavailableError
from radishwind.store.base import WatchEvent

#: Line breaks separate the messages of a stream; one longer than this (bytes)
#: is malformed. A message holds one transaction's values in base64.
MAX_LINE_BYTES = 4 * 1024 * 1024

_MALFORMED = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)


def encode_bytes(data: bytes) -> str:
    """Returns `data` as the gateway writes it."""
    return base64.b64encode(data).decode("ascii")


def prefix_end(prefix: str) -> bytes:
    """Returns the first key after all that start with `prefix`."""
    raw = prefix.encode().rstrip(b"\xff")
    return raw[:-1] + bytes([raw[-1] + 1])


def compare_message(compare: Compare) -> dict[str, Any]:
    """Returns the message of a condition."""
    key = encode_bytes(compare.key.encode())
    if compare.create_revision is not None:
        return {
            "key": key,
            "target": "CREATE",
            "create_revision": compare.create_revision,
        }
    return {"key": key, "target": "MOD", "mod_revision": compare.mod_revision}


def operation_message(op: Operation) -> dict[str, Any]:
    """Returns the message of a change."""
    key = encode_bytes(op.key.encode())
    if isinstance(op, Put):
        put = {
            "key": key,
            "value": encode_bytes(op.value),
            "lease": op.lease_id,
        }
        return {"request_put": put}
    return {"request_delete_range": {"key": key}}


def decode_object(content: bytes, what: str) -> dict[str, Any]:
    """Returns the JSON object in `content`.

    Raises:
      StoreAnswerMalformedError: it is none.
    """
    try:
        answer = msgspec.json.decode(content)
    except (msgspec.MsgspecError, *_MALFORMED) as exc:
        raise StoreAnswerMalformedError(
            f"{what}: expected a JSON object of etcd's gateway, got {exc}"
        ) from exc
    if not isinstance(answer, dict):
        raise StoreAnswerMalformedError(
            f"{what}: expected a JSON object, got {type(answer).__name__}"
        )
    return answer


def read_entries(answer: dict[str, Any]) -> tuple[StoreEntry, ...]:
    """Returns the entries of a range answer."""
    try:
        return tuple(_entry(kv) for kv in answer.get("kvs", ()))
    except _MALFORMED as exc:
        raise StoreAnswerMalformedError(f"kv/range: {exc!r}") from exc


def read_revision(answer: dict[str, Any]) -> int:
    """Returns the store's revision told in the header of an answer."""
    try:
        return int(answer["header"]["revision"])
    except _MALFORMED as exc:
        raise StoreAnswerMalformedError(f"header: {exc!r}") from exc


def read_int(answer: Any, name: str, default: int | None = None) -> int:
    """Returns a count; `default` where the gateway left out a zero."""
    try:
        if default is None:
            return int(answer[name])
        return int(answer.get(name, default))
    except _MALFORMED as exc:
        raise StoreAnswerMalformedError(f"{name}: {exc!r}") from exc


def read_watch(line: bytes) -> tuple[WatchEvent, ...]:
    """Returns the events of one message of a watch.

    Raises:
      StoreCompactedError: the start asked for is gone.
      StoreUnavailableError: the store ended the watch.
      StoreAnswerMalformedError: the message cannot be read.
    """
    message = decode_object(line, "watch")
    if "error" in message:
        raise StoreUnavailableError(f"watch: {str(message['error'])[:200]}")
    try:
        result = message["result"]
        if int(result.get("compact_revision", 0)):
            raise StoreCompactedError(
                f"watch: history before {result['compact_revision']} is gone"
            )
        if result.get("canceled", False):
            raise StoreUnavailableError("watch: ended by the store")
        return tuple(_event(e) for e in result.get("events", ()))
    except _MALFORMED as exc:
        raise StoreAnswerMalformedError(f"watch: {exc!r}") from exc


def _event(event: dict[str, Any]) -> WatchEvent:
    kv = event["kv"]
    if event.get("type", "PUT") == "DELETE":
        key = base64.b64decode(kv["key"]).decode()
        return WatchEvent(key, None, int(kv["mod_revision"]))
    entry = _entry(kv)
    return WatchEvent(entry.key, entry, entry.mod_revision)


def _entry(kv: dict[str, Any]) -> StoreEntry:
    return StoreEntry(
        base64.b64decode(kv["key"]).decode(),
        base64.b64decode(kv.get("value", "")),
        int(kv["create_revision"]),
        int(kv["mod_revision"]),
        int(kv.get("lease", 0)),
    )
