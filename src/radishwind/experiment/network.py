"""The network of a play: requests reach handlers after a delay, or break."""

from collections.abc import Callable
import dataclasses

import anyio
import msgspec

from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.sender import Sender
from radishwind.http.server import Handler
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.http.types import Response


@dataclasses.dataclass(slots=True, eq=False)
class _Place:
    """Who listens at an address, and the exchanges there."""

    handler: Handler
    exchanges: set[anyio.CancelScope] = dataclasses.field(default_factory=set)


class Network:
    """Knows who listens where."""

    def __init__(self) -> None:
        self._places: dict[Address, _Place] = {}

    def listen(self, address: Address, handler: Handler) -> None:
        """Hands what comes to `address` to `handler`."""
        self._places[address] = _Place(handler)

    def cut(self, address: Address) -> None:
        """Ends who listens at `address`, with all exchanges there."""
        place = self._places.pop(address, None)
        if place is None:
            return
        for scope in place.exchanges:
            scope.cancel()

    async def exchange(
        self, address: Address, request: Request, way_s: float
    ) -> Response:
        """Returns the answer from `address`.

        Args:
          address: where to.
          request: what.
          way_s: one way there (s).

        Raises:
          ConnectFailedError: nobody listens there.
          ExchangeBrokenError: who listened there ended meanwhile.
        """
        await anyio.sleep(way_s)
        place = self._places.get(address)
        if place is None:
            raise ConnectFailedError(f"nobody listens at {address}")
        with anyio.CancelScope() as scope:
            place.exchanges.add(scope)
            try:
                response = await place.handler(request)
                await anyio.sleep(way_s)
            finally:
                place.exchanges.discard(scope)
            return response
        raise ExchangeBrokenError(f"{address} ended")


class NetworkSender(Sender):
    """Sends from one instance."""

    def __init__(
        self, network: Network, host: str, way_s: Callable[[Address], float]
    ) -> None:
        """Makes a sender.

        Args:
          network: carries it.
          host: where it sends from.
          way_s: returns how long one way takes to an address (s).
        """
        self._network = network
        self._host = host
        self._way_s = way_s

    async def send(
        self, address: Address, request: Request, connect_timeout_s: float
    ) -> Response:
        sent = msgspec.structs.replace(request, remote=self._host)
        return await self._network.exchange(address, sent, self._way_s(address))

    async def close(self) -> None:
        """Has nothing to close."""
