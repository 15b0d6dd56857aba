"""Measures what a peer has not accepted yet, in this process and the kernel."""

import asyncio
import fcntl
import struct
import termios


def unaccepted_bytes(transport: asyncio.Transport) -> int:
    """Returns the bytes written to a connection that its peer lacks.

    The socket accepts further bytes only once a good part of the kernel's
    buffer is free, so that a slow peer is seen in the kernel only.
    """
    size = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None:
        return size
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        # Not a socket that can tell, or one that is closed.
        return size
    return size + int(struct.unpack("i", queued)[0])
