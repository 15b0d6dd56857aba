"""A sender that hands requests to handlers in this process, without sockets.

It stands at the `Sender` interface, so that a store client, peers and targets
can be driven in a test with the faults named here, in a fixed order.
"""

import enum

import anyio

from radishwind.http import Address
from radishwind.http import ConnectFailedError
from radishwind.http import ExchangeBrokenError
from radishwind.http import Handler
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http import Sender


class Fault(enum.Enum):
    """What goes wrong with one exchange, or with all until cleared."""

    REFUSED = "no connection is made"
    REQUEST_LOST = "the connection breaks before the request is handled"
    RESPONSE_LOST = "the request is handled and its answer is lost"
    HANGS = "the request is never answered"


class InProcessSender(Sender):
    """Sends to handlers by address; counts what was sent."""

    def __init__(self) -> None:
        self.handlers: dict[Address, Handler] = {}
        self.faults: dict[Address, Fault] = {}
        self.next_faults: list[Fault | None] = []
        self.sent: list[tuple[Address, Request]] = []

    async def send(
        self, address: Address, request: Request, connect_timeout_s: float
    ) -> Response:
        self.sent.append((address, request))
        fault = self.faults.get(address)
        if self.next_faults:
            fault = self.next_faults.pop(0) or fault
        handler = self.handlers.get(address)
        if handler is None or fault is Fault.REFUSED:
            raise ConnectFailedError(f"{address}: refused")
        if fault is Fault.REQUEST_LOST:
            raise ExchangeBrokenError(f"{address}: cut before it was handled")
        if fault is Fault.HANGS:
            await anyio.sleep_forever()
        response = await handler(request)
        if fault is Fault.RESPONSE_LOST:
            raise ExchangeBrokenError(f"{address}: answer lost")
        return response

    async def close(self) -> None:
        """Does nothing."""
