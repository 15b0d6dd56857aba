"""Sends and receives load datagrams."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import TypeAlias

from radishwind.http.types import Address
from radishwind.loads.load_message import decode
from radishwind.loads.load_message import encode
from radishwind.loads.load_message import LoadMessage
from radishwind.peers.datagrams import Channel
from radishwind.peers.datagrams import PeerSocket

#: Takes each message that arrives.
LoadListener: TypeAlias = Callable[[LoadMessage], None]


class LoadChannel:
    """The loads on the socket between nodes."""

    def __init__(self, socket: PeerSocket, listener: LoadListener) -> None:
        self._socket = socket
        self._listener = listener
        socket.add(Channel.LOADS, self._received)

    def send(self, message: LoadMessage, peers: Iterable[Address]) -> None:
        """Sends `message` to each of `peers`."""
        self._socket.send(Channel.LOADS, encode(message), peers)

    def _received(self, data: bytes, sender: Address) -> bool:
        message = decode(data)
        if message is None:
            return False
        self._listener(message)
        return True
