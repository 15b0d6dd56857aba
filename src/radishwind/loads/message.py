"""The datagram by which a node tells the load of its target."""

import msgspec

from radishwind.routing.chooser import LoadReport


class LoadMessage(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One report, as a msgpack array.

    Attributes:
      target: the name of the target.
      start: names the start of the node, since `order` begins anew there.
      order: grows with each message.
      report: the load.
    """

    target: str
    start: int
    order: int
    report: LoadReport


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LoadMessage)


def encode(message: LoadMessage) -> bytes:
    """Returns `message` as a datagram."""
    return _encoder.encode(message)


def decode(data: bytes) -> LoadMessage | None:
    """Returns the message in a datagram; `None` if there is none."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError:
        return None
