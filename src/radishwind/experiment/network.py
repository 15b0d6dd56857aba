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
class _Listener:
    """Who listens at an address, and the exchanges there."""

    handler: Handler
    exchanges: set[anyio.CancelScope] = dataclasses.field(default_factory=set)


class Network:
    """Knows who listens where."""

    def __init__(self) -> None:
        self._listeners: dict[Address, _Listener] = {}

    def listen(self, address: Address, handler: Handler) -> None:
        """Hands what comes to `address` to `handler`."""
        self._listeners[address] = _Listener(handler)

    def close_listener(self, address: Address) -> None:
        """Ends who listens at `address`, with all exchanges there."""
        listener = self._listeners.pop(address, None)
        if listener is None:
            return
        for scope in listener.exchanges:
            scope.cancel()

    async def exchange(
        self, address: Address, request: Request, delay_s: float
    ) -> Response:
        """Returns the answer from `address`.

        Args:
          address: where to.
          request: what.
          delay_s: one way there (s).

        Raises:
          ConnectFailedError: nobody listens there.
          ExchangeBrokenError: who listened there ended meanwhile.
        """
        await anyio.sleep(delay_s)
        listener = self._listeners.get(address)
        if listener is None:
            raise ConnectFailedError(f"nobody listens at {address}")
        with anyio.CancelScope() as scope:
            listener.exchanges.add(scope)
            try:
                response = await listener.handler(request)
                await anyio.sleep(delay_s)
            finally:
                listener.exchanges.discard(scope)
            return response
        raise ExchangeBrokenError(f"{address} ended")


class NetworkSender(Sender):
    """Sends from one instance."""

    def __init__(
        self, network: Network, host: str, delay_s: Callable[[Address], float]
    ) -> None:
        """Makes a sender.

        Args:
          network: carries it.
          host: where it sends from.
          delay_s: returns how long one way takes to an address (s).
        """
        self._network = network
        self._host = host
        self._delay_s = delay_s

    async def send(
        self, address: Address, request: Request, connect_timeout_s: float
    ) -> Response:
        sent = msgspec.structs.replace(request, remote=self._host)
        return await self._network.exchange(
            address, sent, self._delay_s(address)
        )

    async def close(self) -> None:
        """Has nothing to close."""
