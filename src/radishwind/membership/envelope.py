"""Envelope of a gossip datagram, which pairs requests with replies."""

from typing import Any

import msgspec

from radishwind.decoding import MsgpackDecoder
from radishwind.decoding.numbers import NonNegativeInt
from radishwind.decoding.sizes import MAX_DATAGRAM_BYTES
from radishwind.membership.malformed_entries import ignore_malformed_entry
from radishwind.membership.malformed_entries import MalformedEntryCallback
from radishwind.membership.malformed_entries import without_malformed_entries
from radishwind.membership.messages import convert_message
from radishwind.membership.messages import Message
from radishwind.membership.messages import MessageError


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


class _RawEnvelope(msgspec.Struct, frozen=True, array_like=True):
    exchange_id: NonNegativeInt
    is_reply: bool
    message: Any


_encoder = msgspec.msgpack.Encoder()
_decoder = MsgpackDecoder[Envelope](
    Envelope, "a gossip envelope", MAX_DATAGRAM_BYTES, MessageError
)
_raw_decoder = MsgpackDecoder[_RawEnvelope](
    _RawEnvelope, "a gossip envelope", MAX_DATAGRAM_BYTES, MessageError
)


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns `envelope` encoded as the payload of a datagram."""
    return _encoder.encode(envelope)


def decode_envelope(
    data: bytes, on_malformed: MalformedEntryCallback = ignore_malformed_entry
) -> Envelope:
    """Returns the envelope decoded from `data`, less malformed entries.

    Args:
      data: MessagePack.
      on_malformed: called with the reason why an entry is left out.

    Raises:
      MessageError: `data` isn't an envelope.
    """
    try:
        return _decoder.decode(data)
    except MessageError:
        raw = _raw_decoder.decode(data)
        kept = without_malformed_entries(raw.message, on_malformed)
        return Envelope(raw.exchange_id, raw.is_reply, convert_message(kept))
