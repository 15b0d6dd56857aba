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
DatagramCount: TypeAlias = Callable[[Channel, Address, int], None]


class DatagramGuard(abc.ABC):
    """Signs what leaves, and lets through what other nodes signed."""

    @abc.abstractmethod
    def outgoing(
        self, datagram: bytes, peers: Iterable[Address]
    ) -> Iterator[tuple[bytes, Address]]:
        """Yields what to send to each of `peers` in place of `datagram`."""

    @abc.abstractmethod
    def incoming(self, datagram: bytes, sender: Address) -> bytes | None:
        """Returns the datagram as it was before; `None` where it is refused."""


class PeerSocket(asyncio.DatagramProtocol):
    """One UDP socket.

    Attributes:
      sent: datagrams sent.
      received: datagrams read.
      malformed: datagrams that could not be read.
    """

    def __init__(
        self,
        guard: DatagramGuard | None = None,
        count: DatagramCount | None = None,
    ) -> None:
        """Makes a socket that is not bound yet.

        Args:
          guard: signs and checks; by default all that comes is taken.
          count: told of each datagram sent.
        """
        self._guard = guard
        self._count = count
        self._transport: asyncio.DatagramTransport | None = None
        self._handlers: dict[int, DatagramHandler] = {}
        self.sent = 0
        self.received = 0
        self.malformed = 0

    def add(self, channel: Channel, handler: DatagramHandler) -> None:
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
        for peer_datagram, peer in self._outgoing(datagram, peers):
            self._transport.sendto(peer_datagram, (peer.host, peer.port))
            self.sent += 1
            if self._count is not None:
                self._count(channel, peer, len(peer_datagram))
        return True

    def _outgoing(
        self, datagram: bytes, peers: Iterable[Address]
    ) -> Iterable[tuple[bytes, Address]]:
        if self._guard is None:
            return ((datagram, peer) for peer in peers)
        return self._guard.outgoing(datagram, peers)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        sender = Address(*addr[:2])
        if self._guard is not None:
            checked = self._guard.incoming(data, sender)
            if checked is None:
                return
            data = checked
        handler = self._handlers.get(data[0]) if data else None
        if handler is None or not handler(data[1:], sender):
            self.malformed += 1
            return
        self.received += 1

    def error_received(self, exc: Exception) -> None:
        # A peer without a listener; membership finds out that it is gone.
        self.malformed += 1
