"""UDP socket for datagrams between nodes, shared by several channels.

The first byte of a datagram is its channel. Datagrams that cannot be sent or
decoded are dropped without a retry; malformed ones are counted. Callers that
need a reply repeat their request or use HTTP.
"""

import abc
import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import enum
from typing import TypeAlias

from radishwind.http.types import Address
from radishwind.supervision import notify

#: Maximum size of a datagram that is sent (bytes). It fits into an Ethernet
#: frame of 1,500 bytes and is not fragmented: the loss of one fragment would
#: lose the whole datagram.
MAX_DATAGRAM_BYTES = 1_400

_MAX_PORT = 65_535

#: Name of the handlers of datagrams in the log and in the metrics.
_PART = "peers.datagrams"

#: Called with the payload after the channel byte and with the sender; returns
#: whether the payload could be decoded.
DatagramHandler: TypeAlias = Callable[[bytes, Address], bool]


class Channel(enum.IntEnum):
    """Channel of a datagram: the protocol that its payload belongs to."""

    LOADS = 1
    GOSSIP = 2
    RECENCY = 3
    QUOTAS = 4


#: Called with channel, receiver and size (bytes) of each datagram sent.
DatagramSentCallback: TypeAlias = Callable[[Channel, Address, int], None]


class DatagramAuthenticator(abc.ABC):
    """Signs outgoing datagrams and verifies incoming ones."""

    @abc.abstractmethod
    def sign(
        self, datagram: bytes, peers: Iterable[Address]
    ) -> Iterator[tuple[bytes, Address]]:
        """Yields the signed datagram for each of `peers`, with its address."""

    @abc.abstractmethod
    def verify(self, datagram: bytes, sender: Address) -> bytes | None:
        """Returns the datagram without signature; `None` if it is refused."""


class PeerSocket(asyncio.DatagramProtocol):
    """UDP socket that dispatches datagrams to handlers by channel.

    Attributes:
      sent_count: number of datagrams sent.
      received_count: number of datagrams received and decoded.
      malformed_count: number of datagrams that could not be decoded or
        handled, or not be sent to their address, and of socket errors.
    """

    def __init__(
        self,
        authenticator: DatagramAuthenticator | None = None,
        on_sent: DatagramSentCallback | None = None,
    ) -> None:
        """Creates an unbound socket.

        Args:
          authenticator: signs and verifies datagrams; by default none is signed
            and all are accepted.
          on_sent: called for each datagram sent.
        """
        self._authenticator = authenticator
        self._on_sent = on_sent
        self._transport: asyncio.DatagramTransport | None = None
        self._handlers: dict[int, DatagramHandler] = {}
        self.sent_count = 0
        self.received_count = 0
        self.malformed_count = 0

    def add_handler(self, channel: Channel, handler: DatagramHandler) -> None:
        """Registers the handler of the datagrams of `channel`."""
        self._handlers[channel] = handler

    async def start(self, listen: Address) -> None:
        """Binds to `listen`."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(listen.host, listen.port)
        )

    def send(
        self, channel: Channel, data: bytes, peers: Iterable[Address]
    ) -> bool:
        """Sends `data` to each of `peers`; returns whether it was sent to any.

        Nothing is sent before `start`, after `close`, or if `data` is too long,
        and to no address that isn't an IP address of the socket's family.
        """
        if self._transport is None or self._transport.is_closing():
            return False
        if len(data) >= MAX_DATAGRAM_BYTES:
            return False
        datagram = bytes((channel,)) + data
        is_sent = False
        for peer_datagram, peer in self._signed(datagram, peers):
            if not self._send_to(peer_datagram, peer):
                self.malformed_count += 1
                continue
            is_sent = True
            self.sent_count += 1
            if self._on_sent is not None:
                notify(_PART, self._on_sent, channel, peer, len(peer_datagram))
        return is_sent

    def _send_to(self, datagram: bytes, peer: Address) -> bool:
        """Sends `datagram`; returns whether `peer` is such an address."""
        # uvloop would send to another port, the rest modulo 2**16.
        if self._transport is None or not 0 < peer.port <= _MAX_PORT:
            return False
        try:
            self._transport.sendto(datagram, (peer.host, peer.port))
        except (OSError, TypeError, ValueError):
            # What uvloop raises for a host that is no such IP address.
            return False
        return True

    def _signed(
        self, datagram: bytes, peers: Iterable[Address]
    ) -> Iterable[tuple[bytes, Address]]:
        if self._authenticator is None:
            return ((datagram, peer) for peer in peers)
        return self._authenticator.sign(datagram, peers)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if not notify(_PART, self._receive, data, Address(*addr[:2])):
            self.malformed_count += 1

    def _receive(self, data: bytes, sender: Address) -> None:
        if self._authenticator is not None:
            verified = self._authenticator.verify(data, sender)
            if verified is None:
                return
            data = verified
        handler = self._handlers.get(data[0]) if data else None
        if handler is None or not handler(data[1:], sender):
            self.malformed_count += 1
            return
        self.received_count += 1

    def error_received(self, exc: Exception) -> None:
        # No listener at the peer; the failure detector will find that out.
        self.malformed_count += 1
