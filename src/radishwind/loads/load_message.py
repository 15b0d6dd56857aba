"""The datagram in which a node advertises the load of its target."""

import msgspec

from radishwind.decoding import MalformedInputError
from radishwind.decoding import MsgpackDecoder
from radishwind.decoding.numbers import Int
from radishwind.decoding.sizes import MAX_DATAGRAM_BYTES
from radishwind.routing.chooser import LoadReport


class LoadMessage(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A load report, encoded as a MessagePack array.

    Attributes:
      target: name of the target.
      start_id: random identifier of the start of the node's process;
        `sequence` restarts with it.
      sequence: increases with each message.
      report: the load of the target.
    """

    target: str
    start_id: Int
    sequence: Int
    report: LoadReport


_encoder = msgspec.msgpack.Encoder()
_decoder = MsgpackDecoder[LoadMessage](
    LoadMessage, "a load report", MAX_DATAGRAM_BYTES
)

#: Fields of a report that are sent in whole milliseconds.
_ROUNDED_MS_INDEXES = frozenset(
    LoadReport.__struct_fields__.index(name)
    for name in (
        "service_ms",
        "pace_interval_ms",
        "pace_interval_left_ms",
        "limit_wait_ms",
    )
)

#: Values of the fields that are missing at the end of an array.
_DEFAULT_VALUES = msgspec.structs.astuple(LoadReport(0, 0, 0, 0.0))

#: Number of fields without a default.
_REQUIRED_FIELD_COUNT = 4


def encode(message: LoadMessage) -> bytes:
    """Encodes `message` as a datagram.

    Reports are sent many times a second, so they are kept short: whole numbers
    are sent as integers, and trailing fields with default values are omitted.
    """
    report = msgspec.structs.astuple(message.report)
    end = len(report)
    while (
        end > _REQUIRED_FIELD_COUNT
        and report[end - 1] == _DEFAULT_VALUES[end - 1]
    ):
        end -= 1
    values = [_compact(index, report[index]) for index in range(end)]
    return _encoder.encode(
        (message.target, message.start_id, message.sequence, values)
    )


def decode(data: bytes) -> LoadMessage | None:
    """Decodes a datagram; returns `None` if it is malformed."""
    try:
        return _decoder.decode(data)
    except MalformedInputError:
        return None


def _compact(index: int, value: float | bool | None) -> float | bool | None:
    if not isinstance(value, float):
        return value
    if index in _ROUNDED_MS_INDEXES:
        return round(value)
    return int(value) if value.is_integer() else value
