"""Envelope of a gossip datagram, which pairs requests with replies."""

import msgspec

from radishwind.membership.messages import Message
from radishwind.membership.messages import MessageError
from radishwind.membership.records import NonNegativeInt


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with the exchange it belongs to, encoded as a msgpack array.

    Attributes:
      exchange_id: identifies the request and its reply; 0 if no reply is
        wanted.
      is_reply: whether this is the reply of the exchange `exchange_id`.
      message: the message.
    """

    exchange_id: NonNegativeInt
    is_reply: bool
    message: Message


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns `envelope` encoded as the payload of a datagram."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Returns the envelope decoded from `data`.

    Raises:
      MessageError: `data` isn't an envelope.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise MessageError(f"expected a gossip envelope: {exc}") from exc
