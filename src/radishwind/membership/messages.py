"""The messages of membership, as JSON arrays on the peer listener."""

from typing import Annotated
from typing import TypeAlias

import msgspec

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.membership.digest_tree import GROUP_COUNT
from radishwind.membership.digest_tree import LEAF_COUNT
from radishwind.membership.digest_tree import LEAVES_PER_GROUP
from radishwind.membership.records import AddressText
from radishwind.membership.records import MAX_NAME_CHARS
from radishwind.membership.records import MemberRecord
from radishwind.membership.records import NonNegativeInt
from radishwind.membership.records import Rumor

#: The control path of all of them.
GOSSIP_CONTROL_NAME = "gossip"

#: The most a message may be (bytes); pages of anti-entropy are the longest.
MAX_MESSAGE_BYTES = 48 * 1024

_Name: TypeAlias = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
_Digest: TypeAlias = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
_Leaf: TypeAlias = Annotated[int, msgspec.Meta(ge=0, lt=LEAF_COUNT)]


class MessageError(RadishwindError):
    """A message of a peer cannot be read."""

    code = ResultCode.PEER_MALFORMED


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """What every message carries.

    Attributes:
      sender: the name of the sender.
      revision: the configuration revision the sender has in force.
      members: facts on members.
      rumors: facts on topics.
    """

    sender: _Name
    revision: NonNegativeInt = 0
    members: tuple[MemberRecord, ...] = ()
    rumors: tuple[Rumor, ...] = ()


class Ping(_Message, frozen=True, array_like=True, tag="ping"):
    """Asks the member `target` whether it is there."""

    target: _Name = ""


class Ack(_Message, frozen=True, array_like=True, tag="ack"):
    """Answers any message that has no answer of its own."""


class PingRequest(_Message, frozen=True, array_like=True, tag="ping-request"):
    """Asks a third member to ping `target` at `address`."""

    target: _Name = ""
    address: AddressText = ""


class RelayedAck(_Message, frozen=True, array_like=True, tag="relayed"):
    """Tells that `target` answered the ping that was asked for."""

    target: _Name = ""


class Push(_Message, frozen=True, array_like=True, tag="push"):
    """Passes new facts on."""


class SyncGroups(_Message, frozen=True, array_like=True, tag="groups"):
    """Opens anti-entropy with the digests of all groups."""

    groups: Annotated[
        tuple[_Digest, ...],
        msgspec.Meta(min_length=GROUP_COUNT, max_length=GROUP_COUNT),
    ] = (0,) * GROUP_COUNT


class GroupDigests(msgspec.Struct, frozen=True, array_like=True):
    """The digests of the leaves of one group."""

    group: Annotated[int, msgspec.Meta(ge=0, lt=GROUP_COUNT)]
    leaves: Annotated[
        tuple[_Digest, ...],
        msgspec.Meta(min_length=LEAVES_PER_GROUP, max_length=LEAVES_PER_GROUP),
    ]


class SyncLeaves(_Message, frozen=True, array_like=True, tag="leaves"):
    """Answers `SyncGroups` with the leaves of the groups that differ."""

    differing: tuple[GroupDigests, ...] = ()


class SyncPage(_Message, frozen=True, array_like=True, tag="page"):
    """Carries the sender's facts of `leaves` and asks for newer ones."""

    leaves: tuple[_Leaf, ...] = ()


class SyncNewer(_Message, frozen=True, array_like=True, tag="newer"):
    """Answers `SyncPage` with newer facts of the leaves `covered`."""

    covered: tuple[_Leaf, ...] = ()


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
_decoder: msgspec.json.Decoder[Message] = msgspec.json.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Returns `message` as JSON."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message:
    """Returns the message in `data`.

    Raises:
      MessageError: it is too long or not a message.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageError(
            f"expected at most {MAX_MESSAGE_BYTES} bytes, got {len(data)}"
        )
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise MessageError(f"expected a message: {exc}") from exc
