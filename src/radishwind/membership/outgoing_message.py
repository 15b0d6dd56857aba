"""What the state machine asks its daemon to do."""

import enum

import msgspec

from radishwind.http.types import Address
from radishwind.membership.messages import Message


class MessagePurpose(enum.Enum):
    """Why a message is sent; decides what its answer or failure means."""

    PROBE = "probe"
    REQUEST_PROBE = "request probe"
    RELAYED_PROBE = "relayed probe"
    NOTIFY = "tell"
    JOIN = "join"
    REJOIN = "rejoin"
    SYNC_GROUPS = "sync groups"
    SYNC_PAGE = "sync page"


class OutgoingMessage(msgspec.Struct, frozen=True):
    """One message to send; its answer or failure is to be reported back.

    Attributes:
      address: the peer listener it goes to.
      message: the message.
      timeout_s: how long the answer may take (s).
      purpose: why it is sent.
      member: the name of the member meant, empty where it isn't known.
      requester: who asked for a relayed probe.
    """

    address: Address
    message: Message
    timeout_s: float
    purpose: MessagePurpose
    member: str = ""
    requester: str = ""
