"""Finds ports that are free on several addresses."""

from collections.abc import Sequence
import socket


def find_free_port_range(hosts: Sequence[str], count: int) -> int:
    """Returns the first of `count` consecutive ports free on every host.

    A port counts as free if both TCP and UDP sockets can be bound to it.
    """
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            first = int(probe.getsockname()[1])
        if first + count < 65536 and all(
            _is_free(host, first + i) for host in hosts for i in range(count)
        ):
            return first


def _is_free(host: str, port: int) -> bool:
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=socket_type) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
