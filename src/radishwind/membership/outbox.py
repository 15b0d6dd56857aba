"""Collects the messages that one step of the state machine wants sent."""

from radishwind.http.types import Address
from radishwind.membership.actions import Call
from radishwind.membership.actions import Purpose
from radishwind.membership.facts import MemberFact
from radishwind.membership.messages import Message

_TIMEOUT_S = 2.0


class Outbox:
    """The calls of the step in progress, in order."""

    def __init__(self) -> None:
        self._calls: list[Call] = []

    def send(
        self,
        to: MemberFact,
        message: Message,
        purpose: Purpose,
        requester: str = "",
        timeout_s: float = _TIMEOUT_S,
    ) -> None:
        """Adds a message to a member."""
        address = Address.parse(to.address)
        self._calls.append(
            Call(address, message, timeout_s, purpose, to.name, requester)
        )

    def send_to_address(
        self, address: Address, message: Message, purpose: Purpose
    ) -> None:
        """Adds a message to whoever is at `address`."""
        self._calls.append(Call(address, message, _TIMEOUT_S, purpose))

    def flush(self) -> list[Call]:
        """Returns the calls and empties the outbox."""
        calls, self._calls = self._calls, []
        return calls
