"""Lets the kernel detect that the peer of a connection is dead.

A peer may disappear without a reset. Without keep-alive probes, only the
deadline of the request would reveal it.
"""

import socket

#: Idle connections are closed here before common servers close them (5 s), so
#: that a request is rarely written to a connection that is being closed.
KEEPALIVE_S = 4.0

#: Idle time before the first keep-alive probe, and interval between probes:
#: the smallest value that the kernel accepts.
KEEPALIVE_PROBE_INTERVAL_S = 1

#: Unanswered probes after which a connection is dead.
MAX_UNANSWERED_PROBES = 2

#: Time that sent data may stay unacknowledged before a connection is dead; a
#: lost packet is retransmitted within 0.2 to 1 s.
USER_TIMEOUT_MS = 2_500


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Sets the keep-alive options and the user timeout of `sock`."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_INTERVAL_S
    )
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_INTERVAL_S
    )
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES
    )
    set_user_timeout(sock, USER_TIMEOUT_MS)


def set_user_timeout(sock: socket.socket, timeout_ms: int) -> None:
    """Sets how long sent data may stay unacknowledged (ms); 0 for no limit.

    The kernel also ends a connection whose peer has not read for that long,
    although it still acknowledges the probes.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
