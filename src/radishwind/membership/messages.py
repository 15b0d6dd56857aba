"""Gossip messages, encoded as JSON arrays for the peer listener."""

from typing import Annotated
from typing import Any
from typing import TypeAlias

import msgspec

from radishwind.core.codes import ResultCode
from radishwind.decoding import convert
from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError
from radishwind.decoding.numbers import NonNegativeInt
from radishwind.membership.digest_tree import GROUP_COUNT
from radishwind.membership.digest_tree import LEAF_COUNT
from radishwind.membership.digest_tree import LEAVES_PER_GROUP
from radishwind.membership.malformed_entries import ignore_malformed_entry
from radishwind.membership.malformed_entries import MalformedEntryCallback
from radishwind.membership.malformed_entries import without_malformed_entries
from radishwind.membership.records import AddressText
from radishwind.membership.records import MAX_NAME_CHARS
from radishwind.membership.records import MemberRecord
from radishwind.membership.records import Rumor

#: Name of the control path that receives every gossip message.
GOSSIP_CONTROL_NAME = "gossip"

#: Largest accepted message (bytes); anti-entropy pages are the largest ones.
MAX_MESSAGE_BYTES = 48 * 1024

_Name: TypeAlias = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
_Digest: TypeAlias = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
_Leaf: TypeAlias = Annotated[int, msgspec.Meta(ge=0, lt=LEAF_COUNT)]


class MessageError(MalformedInputError):
    """A message from a peer cannot be decoded."""

    code = ResultCode.PEER_MALFORMED


class _GossipMessage(msgspec.Struct, frozen=True, array_like=True):
    """Fields that every message carries.

    Attributes:
      sender: name of the sending member.
      config_revision: configuration revision that the sender applies.
      members: piggybacked member records.
      rumors: piggybacked rumors.
    """

    sender: _Name
    config_revision: NonNegativeInt = 0
    members: tuple[MemberRecord, ...] = ()
    rumors: tuple[Rumor, ...] = ()


class Ping(_GossipMessage, frozen=True, array_like=True, tag="ping"):
    """Probes the member `recipient`."""

    recipient: _Name = ""


class Ack(_GossipMessage, frozen=True, array_like=True, tag="ack"):
    """Acknowledges a message that has no reply type of its own."""


class PingRequest(
    _GossipMessage, frozen=True, array_like=True, tag="ping-request"
):
    """Asks a third member to ping `member` at `address` (indirect probe)."""

    member: _Name = ""
    address: AddressText = ""


class RelayedAck(_GossipMessage, frozen=True, array_like=True, tag="relayed"):
    """Reports that `member` replied to the requested indirect probe."""

    member: _Name = ""


class Push(_GossipMessage, frozen=True, array_like=True, tag="push"):
    """Disseminates new member records and rumors."""


class SyncGroups(_GossipMessage, frozen=True, array_like=True, tag="groups"):
    """Starts anti-entropy with the digests of all groups."""

    group_digests: Annotated[
        tuple[_Digest, ...],
        msgspec.Meta(min_length=GROUP_COUNT, max_length=GROUP_COUNT),
    ] = (0,) * GROUP_COUNT


class GroupDigests(msgspec.Struct, frozen=True, array_like=True):
    """Digests of the leaves of one group."""

    group: Annotated[int, msgspec.Meta(ge=0, lt=GROUP_COUNT)]
    leaf_digests: Annotated[
        tuple[_Digest, ...],
        msgspec.Meta(min_length=LEAVES_PER_GROUP, max_length=LEAVES_PER_GROUP),
    ]


class SyncLeaves(_GossipMessage, frozen=True, array_like=True, tag="leaves"):
    """Replies to `SyncGroups` with the leaf digests of differing groups."""

    differing_groups: tuple[GroupDigests, ...] = ()


class SyncPage(_GossipMessage, frozen=True, array_like=True, tag="page"):
    """Carries the sender's entries of `leaves` and asks for newer ones."""

    leaves: tuple[_Leaf, ...] = ()


class SyncNewer(_GossipMessage, frozen=True, array_like=True, tag="newer"):
    """Replies to `SyncPage` with newer entries of `covered_leaves`."""

    covered_leaves: tuple[_Leaf, ...] = ()


Message: TypeAlias = (
    Ping
    | Ack
    | PingRequest
    | RelayedAck
    | Push
    | SyncGroups
    | SyncLeaves
    | SyncPage
    | SyncNewer
)

_encoder = msgspec.json.Encoder()
_decoder = JsonDecoder[Message](
    Message, "a gossip message", MAX_MESSAGE_BYTES, MessageError
)
_any_decoder = JsonDecoder[Any](
    Any, "a gossip message", MAX_MESSAGE_BYTES, MessageError
)


def encode_message(message: Message) -> bytes:
    """Returns `message` encoded as JSON."""
    return _encoder.encode(message)


def decode_message(
    data: bytes, on_malformed: MalformedEntryCallback = ignore_malformed_entry
) -> Message:
    """Returns the message decoded from `data`, without malformed entries in it.

    Args:
      data: JSON.
      on_malformed: called with the reason why an entry is left out.

    Raises:
      MessageError: `data` is too long or isn't a gossip message.
    """
    try:
        return _decoder.decode(data)
    except MessageError:
        kept = without_malformed_entries(
            _any_decoder.decode(data), on_malformed
        )
        return convert_message(kept)


def convert_message(message: Any) -> Message:
    """Returns the message of these builtin types.

    Raises:
      MessageError: it isn't a gossip message.
    """
    kind: Any = Message
    converted: Message = convert(
        message, kind, "a gossip message", MessageError
    )
    return converted
