"""Messages of etcd's v3 JSON gateway.

The gateway writes byte strings in base64 and 64-bit integers as JSON strings,
and leaves out fields with a zero value.
"""

import base64
from typing import Any
from typing import NamedTuple

from radishwind.decoding import decode_base64
from radishwind.decoding import decode_text
from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError
from radishwind.decoding.numbers import MAX_INT
from radishwind.store.base import Compare
from radishwind.store.base import Operation
from radishwind.store.base import Put
from radishwind.store.base import StoreAnswerMalformedError
from radishwind.store.base import StoreCompactedError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreUnavailableError
from radishwind.store.base import WatchEvent

#: Maximum size of an answer (bytes).
MAX_ANSWER_BYTES = 32 << 20

#: Maximum size of a message of a watch, which takes one line of the stream. A
#: message contains the values of one transaction in base64.
MAX_LINE_BYTES = 4 * 1024 * 1024

_decoder = JsonDecoder[dict[str, Any]](
    dict[str, Any], "a JSON object of etcd's gateway", MAX_ANSWER_BYTES
)

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
        return _decoder.decode(content)
    except MalformedInputError as exc:
        raise StoreAnswerMalformedError(f"{what}: {exc.args[0]}") from exc


class Page(NamedTuple):
    """The response to a range call.

    Attributes:
      entries: the entries; those whose key is no text are left out, since they
        are of another program.
      key_count: number of entries, including those left out.
      last_key: key of the last one; empty if there is none.
    """

    entries: tuple[StoreEntry, ...]
    key_count: int
    last_key: bytes


def parse_page(message: dict[str, Any]) -> Page:
    """Returns the entries of the response to a range call.

    Raises:
      StoreAnswerMalformedError: an entry is malformed.
    """
    try:
        kvs = message.get("kvs", ())
        entries = tuple(_parse_entry(kv) for kv in kvs)
        last_key = _parse_bytes(kvs[-1], "key") if kvs else b""
        return Page(
            tuple(e for e in entries if e is not None), len(kvs), last_key
        )
    except _PARSE_ERRORS as exc:
        raise StoreAnswerMalformedError(f"kv/range: {exc!r}") from exc


def parse_revision(message: dict[str, Any]) -> int:
    """Returns the store's revision from the header of a response.

    Raises:
      StoreAnswerMalformedError: the header is missing or malformed.
    """
    try:
        return _to_int(message["header"]["revision"])
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
            return _to_int(message[name])
        return _to_int(message.get(name, default))
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
        events = [_parse_event(e) for e in result.get("events", ())]
        return tuple(event for event in events if event is not None)
    except _PARSE_ERRORS as exc:
        raise StoreAnswerMalformedError(f"watch: {exc!r}") from exc


def _parse_event(event: dict[str, Any]) -> WatchEvent | None:
    """Returns the event; `None` if its key is no text."""
    kv = event["kv"]
    if event.get("type", "PUT") == "DELETE":
        key = _parse_key(kv)
        revision = _to_int(kv["mod_revision"])
        return None if key is None else WatchEvent(key, None, revision)
    entry = _parse_entry(kv)
    if entry is None:
        return None
    return WatchEvent(entry.key, entry, entry.mod_revision)


def _parse_entry(kv: dict[str, Any]) -> StoreEntry | None:
    """Returns the entry; `None` if its key is no text."""
    key = _parse_key(kv)
    value = _parse_bytes(kv, "value") if "value" in kv else b""
    revisions = (_to_int(kv["create_revision"]), _to_int(kv["mod_revision"]))
    lease = _to_int(kv.get("lease", 0))
    return None if key is None else StoreEntry(key, value, *revisions, lease)


def _parse_key(kv: dict[str, Any]) -> str | None:
    raw = _parse_bytes(kv, "key")
    try:
        return decode_text(raw, "a key", MAX_LINE_BYTES)
    except MalformedInputError:
        return None


def _parse_bytes(kv: dict[str, Any], name: str) -> bytes:
    return decode_base64(kv[name], name, StoreAnswerMalformedError)


def _to_int(value: Any) -> int:
    """Returns a 64-bit integer, which the gateway writes as a string."""
    number = int(value)
    if abs(number) > MAX_INT:
        raise ValueError("expected an integer of 64 bits")
    return number
