"""Sends and receives the datagrams of quotas."""

from collections.abc import Callable
from collections.abc import Iterable

from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.peers.peer_socket import Channel
from radishwind.peers.peer_socket import PeerSocket
from radishwind.quotas.borrower import Borrower
from radishwind.quotas.lender import Lender
from radishwind.quotas.messages import decode
from radishwind.quotas.messages import encode
from radishwind.quotas.messages import LeaseGrant
from radishwind.quotas.messages import LeaseRequest
from radishwind.quotas.messages import QuotaMessage
from radishwind.quotas.messages import ShortageNotice


class QuotaChannel:
    """The quotas on the socket between nodes.

    Attributes:
      sent: datagrams sent.
      bytes_sent: their length without the channel's byte (bytes).
    """

    def __init__(
        self,
        socket: PeerSocket,
        clock: Clock,
        lender: Lender,
        borrower: Borrower,
        address_of: Callable[[str], Address | None],
        others: Callable[[], Iterable[Address]],
        in_use: Callable[[], bool],
    ) -> None:
        """Wires the channel.

        Args:
          socket: carries the datagrams.
          clock: the clock.
          lender: answers questions.
          borrower: asks them.
          address_of: returns where a node is reached, if it is known.
          others: returns where all other nodes are reached.
          in_use: returns whether any account has a quota here.
        """
        self._socket = socket
        self._clock = clock
        self._lender = lender
        self._borrower = borrower
        self._address_of = address_of
        self._others = others
        self._in_use = in_use
        self.sent = 0
        self.bytes_sent = 0
        socket.add_handler(Channel.QUOTAS, self._received)

    def flush(self) -> None:
        """Sends the questions that are due."""
        for lender, ask in self._borrower.pop_requests(self._clock.monotonic()):
            address = self._address_of(lender)
            if address is not None:
                self._send(ask, (address,))

    def tick(self) -> None:
        """Does what time brings, on both sides."""
        now = self._clock.monotonic()
        self._tell(self._lender.tick(now))
        self._borrower.tick(now)
        self.flush()

    def answer_own(self, ask: LeaseRequest) -> LeaseGrant:
        """Asks the lender in this node."""
        grant, short = self._lender.handle_request(ask, self._clock.monotonic())
        self._tell(short)
        return grant

    def _tell(self, shortages: tuple[ShortageNotice, ...]) -> None:
        """Tells all nodes, this one among them."""
        for told in shortages:
            self._borrower.handle_shortage(told, self._clock.monotonic())
            self._send(told, tuple(self._others()))

    def _received(self, data: bytes, sender: Address) -> bool:
        if not self._in_use():
            # Others may have a newer version, or older; they ask again.
            return True
        message = decode(data)
        if message is None:
            return False
        if isinstance(message, LeaseRequest):
            grant, short = self._lender.handle_request(
                message, self._clock.monotonic()
            )
            self._send(grant, (sender,))
            self._tell(short)
        elif isinstance(message, LeaseGrant):
            self._borrower.handle_grant(message, self._clock.monotonic())
        else:
            self._borrower.handle_shortage(message, self._clock.monotonic())
        return True

    def _send(self, message: QuotaMessage, peers: tuple[Address, ...]) -> None:
        data = encode(message)
        if self._socket.send(Channel.QUOTAS, data, peers):
            self.sent += len(peers)
            self.bytes_sent += len(data) * len(peers)
