"""Carries the short messages of membership by datagram.

Membership needs little of what an HTTP exchange gives and costs at both ends:
what is pushed wants no answer, and a probe that is lost is made again. On a
start of 195 nodes each sent some 920 messages by HTTP in 6.5 s (counts of a
profile); what one costs beside a datagram was not measured apart.
"""

from collections.abc import Callable
import random
from typing import TypeAlias

import anyio

from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.membership.envelope import decode_envelope
from radishwind.membership.envelope import encode_envelope
from radishwind.membership.envelope import Envelope
from radishwind.membership.messages import Message
from radishwind.membership.messages import MessageError
from radishwind.membership.outgoing_message import MessagePurpose
from radishwind.membership.outgoing_message import OutgoingMessage
from radishwind.peers.peer_socket import Channel
from radishwind.peers.peer_socket import PeerSocket

#: Takes a message that came unasked; returns the answer to it.
Receiver: TypeAlias = Callable[[Message], Message]

#: Takes the other node's address and how long a round trip took (s).
RoundTripCallback: TypeAlias = Callable[[Address, float], None]

#: Part of its time after which a question without an answer goes by HTTP: a
#: datagram may be lost where a connection still gets through.
QUESTION_PART = 0.5

#: Messages whose answer says nothing.
_TOLD = (MessagePurpose.NOTIFY, MessagePurpose.REQUEST_PROBE)

#: Questions that fit a datagram, with their answers.
_ASKED = (
    MessagePurpose.PROBE,
    MessagePurpose.RELAYED_PROBE,
    MessagePurpose.REJOIN,
)

_FIRST_NUMBERS = 2**32


class _Question:
    """A question on its way: to whom, and what was answered."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.answered = anyio.Event()
        self.answer: Message | None = None


class GossipDatagrams:
    """Sends what fits a datagram, and pairs answers with questions."""

    def __init__(
        self,
        socket: PeerSocket,
        rng: random.Random,
        receive: Receiver,
        clock: Clock,
        round_trip: RoundTripCallback | None = None,
    ) -> None:
        """Takes its channel of `socket`.

        Args:
          socket: the socket between nodes.
          rng: chooses the first number, so that answers to an earlier start
            of this node are told apart.
          receive: takes the messages that come unasked.
          clock: times round trips.
          round_trip: takes each one that was answered.
        """
        self._clock = clock
        self._round_trip = round_trip
        self._socket = socket
        self._receive = receive
        self._number = rng.randrange(1, _FIRST_NUMBERS)
        self._questions: dict[int, _Question] = {}
        socket.add_handler(Channel.GOSSIP, self._received)

    def tell(self, call: OutgoingMessage) -> bool:
        """Returns whether `call` wants no answer and was sent.

        A contact whose name isn't known is met by HTTP, which shows whether
        anybody is there.
        """
        if call.purpose not in _TOLD or not call.member:
            return False
        return self._send(Envelope(0, False, call.message), call.address)

    async def ask(self, call: OutgoingMessage) -> Message | None:
        """Returns the answer to `call`; `None` if none came in its part."""
        if call.purpose not in _ASKED:
            return None
        self._number += 1
        number = self._number
        question = _Question(call.address)
        self._questions[number] = question
        began = self._clock.monotonic()
        try:
            if self._send(Envelope(number, False, call.message), call.address):
                with anyio.move_on_after(call.timeout_s * QUESTION_PART):
                    await question.answered.wait()
        finally:
            del self._questions[number]
        if question.answer is not None and self._round_trip is not None:
            trip_s = self._clock.monotonic() - began
            self._round_trip(call.address, trip_s)
        return question.answer

    def _send(self, envelope: Envelope, address: Address) -> bool:
        data = encode_envelope(envelope)
        return self._socket.send(Channel.GOSSIP, data, (address,))

    def _received(self, data: bytes, sender: Address) -> bool:
        try:
            envelope = decode_envelope(data)
        except MessageError:
            return False
        if envelope.is_reply:
            return self._take_answer(envelope, sender)
        answer = self._receive(envelope.message)
        if envelope.exchange_id:
            self._send(Envelope(envelope.exchange_id, True, answer), sender)
        return True

    def _take_answer(self, envelope: Envelope, sender: Address) -> bool:
        question = self._questions.get(envelope.exchange_id)
        if question is None:
            # Late, or to an earlier start of this node.
            return True
        if question.address != sender:
            return False
        question.answer = envelope.message
        question.answered.set()
        return True
