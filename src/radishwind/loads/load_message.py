"""The datagram by which a node tells the load of its target."""

import msgspec

from radishwind.routing.chooser import LoadReport


class LoadMessage(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One report, as a msgpack array.

    Attributes:
      target: the name of the target.
      start_id: names the start of the node, since `sequence` begins anew there.
      sequence: grows with each message.
      report: the load.
    """

    target: str
    start_id: int
    sequence: int
    report: LoadReport


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LoadMessage)

#: Figures of a report that are told in whole milliseconds.
_TIMES = frozenset(
    LoadReport.__struct_fields__.index(name)
    for name in ("service_ms", "pace_interval_ms", "pace_interval_left_ms")
)

#: What each field is taken to be where an array ends before it.
_DEFAULTS = msgspec.structs.astuple(LoadReport(0, 0, 0, 0.0))

#: Fields without a default.
_NEEDED = 4


def encode(message: LoadMessage) -> bytes:
    """Returns `message` as a datagram.

    A load is told many times a second, so that its figures are as short as
    they can be: whole ones as such, and none behind the last that differs from
    its default.
    """
    report = msgspec.structs.astuple(message.report)
    end = len(report)
    while end > _NEEDED and report[end - 1] == _DEFAULTS[end - 1]:
        end -= 1
    figures = [_short(place, report[place]) for place in range(end)]
    return _encoder.encode(
        (message.target, message.start_id, message.sequence, figures)
    )


def decode(data: bytes) -> LoadMessage | None:
    """Returns the message in a datagram; `None` if there is none."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError:
        return None


def _short(place: int, value: float | bool | None) -> float | bool | None:
    if not isinstance(value, float):
        return value
    if place in _TIMES:
        return round(value)
    return int(value) if value.is_integer() else value
