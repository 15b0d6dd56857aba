"""Collects the messages produced by one step of the gossip state machine."""

from radishwind.http.types import Address
from radishwind.membership.messages import Message
from radishwind.membership.outgoing_message import MessagePurpose
from radishwind.membership.outgoing_message import OutgoingMessage
from radishwind.membership.records import MemberRecord

_DEFAULT_TIMEOUT_S = 2.0


class Outbox:
    """Messages of the current step, in order."""

    def __init__(self) -> None:
        self._messages: list[OutgoingMessage] = []

    def send(
        self,
        recipient: MemberRecord,
        message: Message,
        purpose: MessagePurpose,
        requester: str = "",
        timeout_s: float = _DEFAULT_TIMEOUT_S,
    ) -> None:
        """Adds a message to the member `recipient`."""
        address = Address.parse(recipient.address)
        self._messages.append(
            OutgoingMessage(
                address, message, timeout_s, purpose, recipient.name, requester
            )
        )

    def send_to_address(
        self, address: Address, message: Message, purpose: MessagePurpose
    ) -> None:
        """Adds a message to an address whose member isn't known."""
        self._messages.append(
            OutgoingMessage(address, message, _DEFAULT_TIMEOUT_S, purpose)
        )

    def flush(self) -> list[OutgoingMessage]:
        """Returns the collected messages and empties the outbox."""
        messages, self._messages = self._messages, []
        return messages
