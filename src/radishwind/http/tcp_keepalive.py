"""Lets a connection notice by itself when its other end is silent.

It may go silent for good without a reset; nothing but unanswered keep-alive
segments would show that before the deadline.
"""

import socket

#: Idle connections are closed by us before a usual server closes them (5 s),
#: so that a request is rarely written to a connection that is going away.
KEEPALIVE_S = 4.0

#: An idle connection is asked after this silence, and again after it (s): the
#: least that the system takes.
KEEPALIVE_PROBE_INTERVAL_S = 1

#: Unanswered segments after which a connection counts as dead.
MAX_UNANSWERED_PROBES = 2

#: Bytes not acknowledged for so long mean the same (ms); a lost packet is
#: sent again within 0.2 to 1 s.
USER_TIMEOUT_MS = 2_500


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Sets what lets `sock` notice that its other end is silent."""
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
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
