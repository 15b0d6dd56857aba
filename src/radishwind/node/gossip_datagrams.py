"""Carries short gossip messages as datagrams.

Gossip needs few of the guarantees of an HTTP exchange, which costs both ends
more: pushes need no reply, and lost probes are repeated. When 195 nodes
started, a profile counted some 920 messages by HTTP per node within 6.5 s.
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
from radishwind.telemetry.part_logger import PartLogger

#: Called with a message that another node began with; returns the reply.
MessageHandler: TypeAlias = Callable[[Message], Message]

#: Called with the other node's address and the round-trip time (s).
RoundTripCallback: TypeAlias = Callable[[Address, float], None]

#: Fraction of its timeout after which a request without a reply is sent by
#: HTTP: datagrams may be lost on a path where a connection still gets through.
DATAGRAM_TIMEOUT_FRACTION = 0.5

#: Purposes of messages whose reply carries nothing.
_ONE_WAY_PURPOSES = (MessagePurpose.NOTIFY, MessagePurpose.REQUEST_PROBE)

#: Purposes of requests that fit a datagram, as do their replies.
_REQUEST_PURPOSES = (
    MessagePurpose.PROBE,
    MessagePurpose.RELAYED_PROBE,
    MessagePurpose.REJOIN,
)

_MAX_FIRST_EXCHANGE_ID = 2**32


class _PendingRequest:
    """A request in flight: its receiver, and the reply once it arrived."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.replied = anyio.Event()
        self.reply: Message | None = None


class GossipDatagrams:
    """Sends messages that fit a datagram; matches replies to requests."""

    def __init__(
        self,
        socket: PeerSocket,
        rng: random.Random,
        handle_message: MessageHandler,
        clock: Clock,
        on_round_trip: RoundTripCallback | None = None,
    ) -> None:
        """Registers the handler of the gossip channel with `socket`.

        Args:
          socket: the UDP socket between nodes.
          rng: chooses the first exchange ID, so that replies to requests of an
            earlier process of this node match none of this one.
          handle_message: called with messages that other nodes began with.
          clock: times round trips.
          on_round_trip: called with each round trip.
        """
        self._clock = clock
        self._log = PartLogger("membership", clock)
        self._on_round_trip = on_round_trip
        self._socket = socket
        self._handle_message = handle_message
        self._last_exchange_id = rng.randrange(1, _MAX_FIRST_EXCHANGE_ID)
        self._pending: dict[int, _PendingRequest] = {}
        socket.add_handler(Channel.GOSSIP, self._receive)

    def notify(self, outgoing: OutgoingMessage) -> bool:
        """Sends a one-way message; `False` if it needs HTTP.

        A contact whose name isn't known is sent HTTP messages, which show
        whether a node listens there.
        """
        if outgoing.purpose not in _ONE_WAY_PURPOSES or not outgoing.member:
            return False
        return self._send(
            Envelope(0, False, outgoing.message), outgoing.address
        )

    async def request(self, outgoing: OutgoingMessage) -> Message | None:
        """Sends a request and returns the reply.

        Returns:
          The reply; `None` if the message needs HTTP, or no reply came within
          `DATAGRAM_TIMEOUT_FRACTION` of the timeout.
        """
        if outgoing.purpose not in _REQUEST_PURPOSES:
            return None
        self._last_exchange_id += 1
        exchange_id = self._last_exchange_id
        pending = _PendingRequest(outgoing.address)
        self._pending[exchange_id] = pending
        started = self._clock.monotonic()
        try:
            if self._send(
                Envelope(exchange_id, False, outgoing.message),
                outgoing.address,
            ):
                with anyio.move_on_after(
                    outgoing.timeout_s * DATAGRAM_TIMEOUT_FRACTION
                ):
                    await pending.replied.wait()
        finally:
            del self._pending[exchange_id]
        if pending.reply is not None and self._on_round_trip is not None:
            round_trip_s = self._clock.monotonic() - started
            self._on_round_trip(outgoing.address, round_trip_s)
        return pending.reply

    def _send(self, envelope: Envelope, address: Address) -> bool:
        data = encode_envelope(envelope)
        return self._socket.send(Channel.GOSSIP, data, (address,))

    def _receive(self, data: bytes, sender: Address) -> bool:
        try:
            envelope = decode_envelope(data, self._log_malformed_entry)
        except MessageError:
            return False
        if envelope.is_reply:
            return self._receive_reply(envelope, sender)
        reply = self._handle_message(envelope.message)
        if envelope.exchange_id:
            self._send(Envelope(envelope.exchange_id, True, reply), sender)
        return True

    def _log_malformed_entry(self, reason: str) -> None:
        self._log.warning(
            "Left out a malformed entry of a message.", reason=reason
        )

    def _receive_reply(self, envelope: Envelope, sender: Address) -> bool:
        pending = self._pending.get(envelope.exchange_id)
        if pending is None:
            # The reply is late, or to an earlier process of this node.
            return True
        if pending.address != sender:
            return False
        pending.reply = envelope.message
        pending.replied.set()
        return True
