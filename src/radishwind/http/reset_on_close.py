"""Resets a connection that ends before its response was sent completely.

A response to HTTP/1.0 without a length ends with its connection. The kernel
closes the connections of a process that dies in order, so that a part of such
a response would look complete. Only a reset tells its receiver.
"""

import asyncio
import socket
import struct

#: `SO_LINGER` by whether closing resets the connection.
_LINGER = {True: struct.pack("ii", 1, 0), False: struct.pack("ii", 0, 0)}


def set_reset_on_close(
    transport: asyncio.Transport, *, is_enabled: bool
) -> None:
    """Sets whether closing `transport` resets its connection.

    Args:
      transport: of the connection. While closing resets it, writing pauses
        until all that was written has been passed to the kernel.
      is_enabled: whether it is reset, also if this process dies.
    """
    transport.set_write_buffer_limits(0 if is_enabled else None)
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER[is_enabled])
