"""Messages of etcd's v3 JSON gateway.

The gateway writes byte strings in base64 and 64-bit integers as JSON strings,
and leaves out fields with a zero value.
"""

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

#: Maximum size of a message of a watch, which takes one line of the stream. A
#: message contains the values of one transaction in base64.
MAX_LINE_BYTES = 4 * 1024 * 1024

#: What parsing a malformed message may raise.
_PARSE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)


def encode_bytes(data: bytes) -> str:
    """Returns `data` in base64."""
    return base64.b64encode(data).decode("ascii")


def prefix_end(prefix: str) -> bytes:
    """Returns the first key after all keys that start with `prefix`."""
    raw = prefix.encode().rstrip(b"\xff")
    return raw[:-1] + bytes([raw[-1] + 1])


def encode_compare(compare: Compare) -> dict[str, Any]:
    """Returns the message for a condition of a transaction."""
    key = encode_bytes(compare.key.encode())
    if compare.create_revision is not None:
        return {
            "key": key,
            "target": "CREATE",
            "create_revision": compare.create_revision,
        }
    return {"key": key, "target": "MOD", "mod_revision": compare.mod_revision}


def encode_operation(op: Operation) -> dict[str, Any]:
    """Returns the message for a change made by a transaction."""
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

    Args:
      content: the body of a response, or one line of a stream.
      what: the method called, for the error message.

    Raises:
      StoreAnswerMalformedError: `content` is not a JSON object.
    """
    try:
        message = msgspec.json.decode(content)
    except (msgspec.MsgspecError, *_PARSE_ERRORS) as exc:
        raise StoreAnswerMalformedError(
            f"{what}: expected a JSON object of etcd's gateway, got {exc}"
        ) from exc
    if not isinstance(message, dict):
        raise StoreAnswerMalformedError(
            f"{what}: expected a JSON object, got {type(message).__name__}"
        )
    return message


def parse_entries(message: dict[str, Any]) -> tuple[StoreEntry, ...]:
    """Returns the entries of the response to a range call.

    Raises:
      StoreAnswerMalformedError: an entry is malformed.
    """
    try:
        return tuple(_parse_entry(kv) for kv in message.get("kvs", ()))
    except _PARSE_ERRORS as exc:
        raise StoreAnswerMalformedError(f"kv/range: {exc!r}") from exc


def parse_revision(message: dict[str, Any]) -> int:
    """Returns the store's revision from the header of a response.

    Raises:
      StoreAnswerMalformedError: the header is missing or malformed.
    """
    try:
        return int(message["header"]["revision"])
    except _PARSE_ERRORS as exc:
        raise StoreAnswerMalformedError(f"header: {exc!r}") from exc


def parse_int(message: Any, name: str, default: int | None = None) -> int:
    """Returns the integer in the field `name`.

    Args:
      message: the message of a response.
      name: name of the field.
      default: value if the field is missing, since the gateway leaves out
        zeros; `None` if the field is required.

    Raises:
      StoreAnswerMalformedError: the field is malformed, or required and
        missing.
    """
    try:
        if default is None:
            return int(message[name])
        return int(message.get(name, default))
    except _PARSE_ERRORS as exc:
        raise StoreAnswerMalformedError(f"{name}: {exc!r}") from exc


def parse_watch_message(line: bytes) -> tuple[WatchEvent, ...]:
    """Returns the events of one message of a watch.

    Raises:
      StoreCompactedError: the start revision has been compacted away.
      StoreUnavailableError: the store ended the watch.
      StoreAnswerMalformedError: the message is malformed.
    """
    message = decode_object(line, "watch")
    if "error" in message:
        raise StoreUnavailableError(f"watch: {str(message['error'])[:200]}")
    try:
        result = message["result"]
        if int(result.get("compact_revision", 0)):
            raise StoreCompactedError(
                "watch: revisions before "
                f"{result['compact_revision']} have been compacted"
            )
        if result.get("canceled", False):
            raise StoreUnavailableError("watch: canceled by the store")
        return tuple(_parse_event(e) for e in result.get("events", ()))
    except _PARSE_ERRORS as exc:
        raise StoreAnswerMalformedError(f"watch: {exc!r}") from exc


def _parse_event(event: dict[str, Any]) -> WatchEvent:
    kv = event["kv"]
    if event.get("type", "PUT") == "DELETE":
        key = base64.b64decode(kv["key"]).decode()
        return WatchEvent(key, None, int(kv["mod_revision"]))
    entry = _parse_entry(kv)
    return WatchEvent(entry.key, entry, entry.mod_revision)


def _parse_entry(kv: dict[str, Any]) -> StoreEntry:
    return StoreEntry(
        base64.b64decode(kv["key"]).decode(),
        base64.b64decode(kv.get("value", "")),
        int(kv["create_revision"]),
        int(kv["mod_revision"]),
        int(kv.get("lease", 0)),
    )
