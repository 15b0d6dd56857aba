"""Sends and receives load reports as datagrams."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import TypeAlias

from radishwind.http.types import Address
from radishwind.loads.load_message import decode
from radishwind.loads.load_message import encode
from radishwind.loads.load_message import LoadMessage
from radishwind.peers.peer_socket import Channel
from radishwind.peers.peer_socket import PeerSocket

#: Called with each message received.
LoadMessageListener: TypeAlias = Callable[[LoadMessage], None]


class LoadChannel:
    """The channel of load messages on the socket shared between nodes."""

    def __init__(
        self, socket: PeerSocket, listener: LoadMessageListener
    ) -> None:
        self._socket = socket
        self._listener = listener
        socket.add_handler(Channel.LOADS, self._handle_datagram)

    def send(self, message: LoadMessage, peers: Iterable[Address]) -> None:
        """Sends `message` to each of `peers`."""
        self._socket.send(Channel.LOADS, encode(message), peers)

    def _handle_datagram(self, data: bytes, sender: Address) -> bool:
        message = decode(data)
        if message is None:
            return False
        self._listener(message)
        return True
