"""Collects the messages that one step of the state machine wants sent."""

from radishwind.http.types import Address
from radishwind.membership.messages import Message
from radishwind.membership.outgoing_message import MessagePurpose
from radishwind.membership.outgoing_message import OutgoingMessage
from radishwind.membership.records import MemberRecord

_TIMEOUT_S = 2.0


class Outbox:
    """The calls of the step in progress, in order."""

    def __init__(self) -> None:
        self._calls: list[OutgoingMessage] = []

    def send(
        self,
        to: MemberRecord,
        message: Message,
        purpose: MessagePurpose,
        requester: str = "",
        timeout_s: float = _TIMEOUT_S,
    ) -> None:
        """Adds a message to a member."""
        address = Address.parse(to.address)
        self._calls.append(
            OutgoingMessage(
                address, message, timeout_s, purpose, to.name, requester
            )
        )

    def send_to_address(
        self, address: Address, message: Message, purpose: MessagePurpose
    ) -> None:
        """Adds a message to whoever is at `address`."""
        self._calls.append(
            OutgoingMessage(address, message, _TIMEOUT_S, purpose)
        )

    def flush(self) -> list[OutgoingMessage]:
        """Returns the calls and empties the outbox."""
        calls, self._calls = self._calls, []
        return calls
