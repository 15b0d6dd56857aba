"""Simulated network: delays requests to handlers and breaks connections."""

from collections.abc import Callable
import dataclasses

import anyio
import msgspec

from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.response_check import ResponseCheck
from radishwind.http.sender import Sender
from radishwind.http.server import Handler
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.http.types import Response


@dataclasses.dataclass(slots=True, eq=False)
class _Listener:
    """A listener and the exchanges in progress there."""

    handler: Handler
    exchanges: set[anyio.CancelScope] = dataclasses.field(default_factory=set)


class Network:
    """Delivers requests to the handlers that listen at their addresses."""

    def __init__(self) -> None:
        self._listeners: dict[Address, _Listener] = {}

    def listen(self, address: Address, handler: Handler) -> None:
        """Delivers requests for `address` to `handler`."""
        self._listeners[address] = _Listener(handler)

    def close_listener(self, address: Address) -> None:
        """Closes the listener at `address` and breaks its exchanges."""
        listener = self._listeners.pop(address, None)
        if listener is None:
            return
        for scope in listener.exchanges:
            scope.cancel()

    async def exchange(
        self, address: Address, request: Request, delay_s: float
    ) -> Response:
        """Sends a request and returns the response.

        Args:
          address: destination.
          request: request to send.
          delay_s: one-way network delay (s).

        Raises:
          ConnectFailedError: nothing listens at `address`.
          ExchangeBrokenError: the listener was closed during the exchange.
        """
        await anyio.sleep(delay_s)
        listener = self._listeners.get(address)
        if listener is None:
            raise ConnectFailedError(
                f"connection refused: nothing listens at {address}"
            )
        with anyio.CancelScope() as scope:
            listener.exchanges.add(scope)
            try:
                response = await listener.handler(request)
                await anyio.sleep(delay_s)
            finally:
                listener.exchanges.discard(scope)
            return response
        raise ExchangeBrokenError(f"connection to {address} was closed")


class NetworkSender(Sender):
    """Sends requests of one instance over the simulated network."""

    def __init__(
        self, network: Network, host: str, delay_s: Callable[[Address], float]
    ) -> None:
        """Initializes the sender.

        Args:
          network: network that delivers the requests.
          host: IP address of the sending instance.
          delay_s: returns the one-way delay to an address (s).
        """
        self._network = network
        self._host = host
        self._delay_s = delay_s

    async def send(
        self,
        address: Address,
        request: Request,
        connect_timeout_s: float,
        check: ResponseCheck | None = None,
    ) -> Response:
        sent = msgspec.structs.replace(request, remote=self._host)
        return await self._network.exchange(
            address, sent, self._delay_s(address)
        )

    async def close(self) -> None:
        """Does nothing: the simulated network keeps no connections."""
