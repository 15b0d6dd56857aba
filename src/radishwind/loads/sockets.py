"""Sends and receives load datagrams."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from typing import TypeAlias

from radishwind.http.types import Address
from radishwind.loads.message import decode
from radishwind.loads.message import encode
from radishwind.loads.message import LoadMessage

#: Takes each message that arrives.
LoadListener: TypeAlias = Callable[[LoadMessage], None]


class LoadSocket(asyncio.DatagramProtocol):
    """One UDP socket; what cannot be sent or read is counted, not waited for.

    Attributes:
      sent: datagrams sent.
      received: datagrams read.
      malformed: datagrams that could not be read.
    """

    def __init__(self, listener: LoadListener) -> None:
        self._listener = listener
        self._transport: asyncio.DatagramTransport | None = None
        self.sent = 0
        self.received = 0
        self.malformed = 0

    async def start(self, listen: Address) -> None:
        """Binds to `listen`."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(listen.host, listen.port)
        )

    def tell(self, message: LoadMessage, peers: Iterable[Address]) -> None:
        """Sends `message` to each of `peers`."""
        if self._transport is None:
            return
        data = encode(message)
        for peer in peers:
            self._transport.sendto(data, (peer.host, peer.port))
            self.sent += 1

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: object) -> None:
        message = decode(data)
        if message is None:
            self.malformed += 1
            return
        self.received += 1
        self._listener(message)

    def error_received(self, exc: Exception) -> None:
        # A peer without a listener; membership finds out that it is gone.
        self.malformed += 1
