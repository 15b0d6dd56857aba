"""Sends and receives the datagrams of the quotas."""

from collections.abc import Callable
from collections.abc import Iterable

from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.peers.peer_socket import Channel
from radishwind.peers.peer_socket import PeerSocket
from radishwind.quotas.borrower import Borrower
from radishwind.quotas.lender import Lender
from radishwind.quotas.messages import BucketRequest
from radishwind.quotas.messages import BucketTransfer
from radishwind.quotas.messages import decode
from radishwind.quotas.messages import encode
from radishwind.quotas.messages import LeaseGrant
from radishwind.quotas.messages import LeaseRequest
from radishwind.quotas.messages import QuotaMessage
from radishwind.quotas.messages import ShortageNotice


class QuotaChannel:
    """The channel of the quotas on the socket between nodes.

    Attributes:
      datagrams_sent: number of datagrams sent.
      bytes_sent: their total length without the channel byte (bytes).
    """

    def __init__(
        self,
        socket: PeerSocket,
        clock: Clock,
        lender: Lender,
        borrower: Borrower,
        address_of: Callable[[str], Address | None],
        other_addresses: Callable[[], Iterable[Address]],
        is_in_use: Callable[[], bool],
    ) -> None:
        """Wires the channel.

        Args:
          socket: carries the datagrams.
          clock: the clock.
          lender: answers lease requests.
          borrower: sends lease requests.
          address_of: returns the address of a node; `None` if it is unknown.
          other_addresses: returns the addresses of all other nodes.
          is_in_use: returns whether any account has a quota in the
            configuration in force here.
        """
        self._socket = socket
        self._clock = clock
        self._lender = lender
        self._borrower = borrower
        self._address_of = address_of
        self._other_addresses = other_addresses
        self._is_in_use = is_in_use
        self.datagrams_sent = 0
        self.bytes_sent = 0
        socket.add_handler(Channel.QUOTAS, self._on_datagram)

    def flush(self) -> None:
        """Sends the lease requests that are due."""
        for lender, request in self._borrower.pop_requests(
            self._clock.monotonic()
        ):
            address = self._address_of(lender)
            if address is not None:
                self._send(request, (address,))

    def tick(self) -> None:
        """Does the periodic work of lender and borrower."""
        now = self._clock.monotonic()
        self._broadcast(self._lender.tick(now))
        self._borrower.tick(now)
        self.flush()

    def handle_own_request(self, request: LeaseRequest) -> LeaseGrant:
        """Returns the answer of this node's lender to its own borrower."""
        grant, shortages = self._lender.handle_request(
            request, self._clock.monotonic()
        )
        self._broadcast(shortages)
        return grant

    def ask_for_bucket(self, lender: str, request: BucketRequest) -> None:
        """Asks the previous lender of an account for its bucket."""
        address = self._address_of(lender)
        if address is not None:
            self._send(request, (address,))

    def _broadcast(self, shortages: tuple[ShortageNotice, ...]) -> None:
        """Sends the notices to all nodes and applies them in this one."""
        for notice in shortages:
            self._borrower.handle_shortage(notice, self._clock.monotonic())
            self._send(notice, tuple(self._other_addresses()))

    def _on_datagram(self, data: bytes, sender: Address) -> bool:
        if not self._is_in_use():
            # Other nodes may have a newer or older configuration in force; they
            # send their requests again.
            return True
        message = decode(data)
        if message is None:
            return False
        if isinstance(message, LeaseRequest):
            grant, shortages = self._lender.handle_request(
                message, self._clock.monotonic()
            )
            self._send(grant, (sender,))
            self._broadcast(shortages)
        elif isinstance(message, BucketRequest):
            now = self._clock.monotonic()
            transfer = self._lender.handle_transfer_request(message, now)
            if transfer is not None:
                self._send(transfer, (sender,))
        elif isinstance(message, BucketTransfer):
            self._lender.handle_transfer(message, self._clock.monotonic())
        elif isinstance(message, LeaseGrant):
            self._borrower.handle_grant(message, self._clock.monotonic())
        else:
            self._borrower.handle_shortage(message, self._clock.monotonic())
        return True

    def _send(self, message: QuotaMessage, peers: tuple[Address, ...]) -> None:
        data = encode(message)
        if self._socket.send(Channel.QUOTAS, data, peers):
            self.datagrams_sent += len(peers)
            self.bytes_sent += len(data) * len(peers)
