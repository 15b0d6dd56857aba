"""Messages that the gossip state machine asks its driver to send."""

import enum

import msgspec

from radishwind.http.types import Address
from radishwind.membership.messages import Message


class MessagePurpose(enum.Enum):
    """Why a message is sent; determines what its reply or failure means.

    Attributes:
      PROBE: direct probe of a member.
      REQUEST_PROBE: request to a third member for an indirect probe.
      RELAYED_PROBE: indirect probe on behalf of another member.
      NOTIFY: one-way message, whose acknowledgement carries nothing.
      JOIN: anti-entropy with a contact whose name isn't known yet.
      REJOIN: probe of a member that is dead or left recently.
      SYNC_GROUPS: first message of anti-entropy with a member.
      SYNC_PAGE: page of entries in a running anti-entropy.
    """

    PROBE = "probe"
    REQUEST_PROBE = "request probe"
    RELAYED_PROBE = "relayed probe"
    NOTIFY = "tell"
    JOIN = "join"
    REJOIN = "rejoin"
    SYNC_GROUPS = "sync groups"
    SYNC_PAGE = "sync page"


class OutgoingMessage(msgspec.Struct, frozen=True):
    """A message to send; its reply or failure is to be reported back.

    Attributes:
      address: peer listener to which it is sent.
      message: the message.
      timeout_s: how long to wait for the reply (s).
      purpose: why it is sent.
      member: name of the receiving member; empty if it isn't known.
      requester: name of the member that asked for a relayed probe.
    """

    address: Address
    message: Message
    timeout_s: float
    purpose: MessagePurpose
    member: str = ""
    requester: str = ""
