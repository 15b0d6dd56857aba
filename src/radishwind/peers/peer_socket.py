"""Datagrams between nodes: one socket, shared by what travels on it.

The first byte of a datagram names its channel. What cannot be sent or read is
counted, not waited for: whoever needs an answer asks again, or by HTTP.
"""

import abc
import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import enum
from typing import TypeAlias

from radishwind.http.types import Address

#: The longest datagram sent (bytes): within the 1,500 of an Ethernet frame, so
#: that none is cut into fragments, of which each lost one loses the whole.
MAX_DATAGRAM_BYTES = 1_400

#: Takes what follows the channel's byte, and who sent it; returns whether it
#: could be read.
DatagramHandler: TypeAlias = Callable[[bytes, Address], bool]


class Channel(enum.IntEnum):
    """What a datagram carries."""

    LOADS = 1
    GOSSIP = 2
    RECENCY = 3
    QUOTAS = 4


#: Takes the channel, the receiver and the size (bytes) of each one sent.
DatagramSentCallback: TypeAlias = Callable[[Channel, Address, int], None]


class DatagramAuthenticator(abc.ABC):
    """Signs what leaves, and lets through what other nodes signed."""

    @abc.abstractmethod
    def sign(
        self, datagram: bytes, peers: Iterable[Address]
    ) -> Iterator[tuple[bytes, Address]]:
        """Yields what to send to each of `peers` in place of `datagram`."""

    @abc.abstractmethod
    def verify(self, datagram: bytes, sender: Address) -> bytes | None:
        """Returns the datagram as it was before; `None` where it is refused."""


class PeerSocket(asyncio.DatagramProtocol):
    """One UDP socket.

    Attributes:
      sent_count: datagrams sent.
      received_count: datagrams read.
      malformed_count: datagrams that could not be read.
    """

    def __init__(
        self,
        authenticator: DatagramAuthenticator | None = None,
        on_sent: DatagramSentCallback | None = None,
    ) -> None:
        """Makes a socket that is not bound yet.

        Args:
          authenticator: signs and checks; by default all that comes is taken.
          on_sent: told of each datagram sent.
        """
        self._authenticator = authenticator
        self._on_sent = on_sent
        self._transport: asyncio.DatagramTransport | None = None
        self._handlers: dict[int, DatagramHandler] = {}
        self.sent_count = 0
        self.received_count = 0
        self.malformed_count = 0

    def add_handler(self, channel: Channel, handler: DatagramHandler) -> None:
        """Hands the datagrams of `channel` to `handler`."""
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
        """Sends `data` to each of `peers`; returns whether it was sent.

        It isn't before the start, after the end, and where it is too long.
        """
        if self._transport is None or self._transport.is_closing():
            return False
        if len(data) >= MAX_DATAGRAM_BYTES:
            return False
        datagram = bytes((channel,)) + data
        for peer_datagram, peer in self._signed(datagram, peers):
            self._transport.sendto(peer_datagram, (peer.host, peer.port))
            self.sent_count += 1
            if self._on_sent is not None:
                self._on_sent(channel, peer, len(peer_datagram))
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
        sender = Address(*addr[:2])
        if self._authenticator is not None:
            checked = self._authenticator.verify(data, sender)
            if checked is None:
                return
            data = checked
        handler = self._handlers.get(data[0]) if data else None
        if handler is None or not handler(data[1:], sender):
            self.malformed_count += 1
            return
        self.received_count += 1

    def error_received(self, exc: Exception) -> None:
        # A peer without a listener; membership finds out that it is gone.
        self.malformed_count += 1
