"""Clients that send requests ahead and never read the responses."""

import asyncio
from collections.abc import Callable
import socket

from radishwind.http.types import Address

#: Size of the receive buffer of each client (bytes), so that the kernel takes
#: over few of the unread responses.
RECEIVE_BUFFER_BYTES = 4096

#: A client that could not send anything for this long counts as blocked (s).
BLOCKED_AFTER_S = 2.0


class SilentClients:
    """Connections on which the same bytes are sent again and again.

    Attributes:
      blocked: number of connections that accept no more bytes.
      closed: number of connections that the receiver closed.
    """

    def __init__(self, address: Address, count: int) -> None:
        """Creates clients that are not connected yet.

        Args:
          address: the listener to connect to.
          count: number of connections.
        """
        self._address = address
        self._count = count
        self._sockets: list[socket.socket] = []
        self.blocked = 0
        self.closed = 0

    async def __aenter__(self) -> "SilentClients":
        loop = asyncio.get_running_loop()
        for _ in range(self._count):
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            sock.setblocking(False)
            self._sockets.append(sock)
            await loop.sock_connect(sock, tuple(self._address))
        return self

    async def __aexit__(self, *exc: object) -> None:
        for sock in self._sockets:
            sock.close()

    async def send(self, make_data: Callable[[int], bytes], times: int) -> None:
        """Sends on all connections at once, until none accepts more bytes.

        Args:
          make_data: returns what is sent on a connection, by its number.
          times: how often it is sent on each connection, at most.
        """
        async with asyncio.TaskGroup() as tasks:
            for number, sock in enumerate(self._sockets):
                tasks.create_task(self._send(sock, make_data(number), times))

    async def _send(self, sock: socket.socket, data: bytes, times: int) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(times):
            try:
                async with asyncio.timeout(BLOCKED_AFTER_S):
                    await loop.sock_sendall(sock, data)
            except TimeoutError:
                self.blocked += 1
                return
            except OSError:
                self.closed += 1
                return
