"""A message of membership as a datagram, with what pairs it to its answer."""

import msgspec

from radishwind.membership.messages import Message
from radishwind.membership.messages import MessageError
from radishwind.membership.records import NonNegativeInt


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message and its place in an exchange, as a msgpack array.

    Attributes:
      number: names the question; 0 where no answer is wanted.
      is_answer: whether it answers the question `number`.
      message: the message.
    """

    number: NonNegativeInt
    is_answer: bool
    message: Message


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns `envelope` as the content of a datagram."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Returns the envelope in `data`.

    Raises:
      MessageError: there is none.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise MessageError(f"expected an envelope: {exc}") from exc
