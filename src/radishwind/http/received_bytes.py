"""Reads what a lost connection has received but its event loop has not read.

A server may respond to a request and close the connection while the request is
still being sent. The error of sending can end the connection before the event
loop reads the response.
"""

import asyncio
from collections.abc import Iterator
import os

_READ_BYTES = 64 * 1024


def read_received(
    transport: asyncio.BaseTransport, max_bytes: int
) -> Iterator[bytes]:
    """Yields what the kernel has received on a connection.

    Args:
      transport: of the connection; its socket is not closed yet.
      max_bytes: what is read at most (bytes).
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    left = max_bytes
    while left > 0:
        try:
            data = os.read(sock.fileno(), min(left, _READ_BYTES))
        except OSError:
            # Nothing is left but the error that ended the connection.
            return
        if not data:
            return
        left -= len(data)
        yield data
