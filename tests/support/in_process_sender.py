"""A sender that passes requests to handlers in this process, without sockets.

It implements `Sender`, so that tests can run a store client, peers and targets
and inject the faults of `Fault` in a fixed order.
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
from radishwind.http.response_check import ResponseCheck


class Fault(enum.Enum):
    """A failure of one exchange, or of all exchanges until it is cleared."""

    REFUSED = "the connection is refused"
    REQUEST_LOST = "the connection breaks before the request is handled"
    RESPONSE_LOST = "the request is handled and its response is lost"
    HANGS = "no response is ever sent"


class InProcessSender(Sender):
    """Passes requests to the handler of their address.

    Attributes:
      handlers: handlers by address; other addresses refuse connections.
      faults: faults of all exchanges with an address.
      next_faults: faults of the next exchanges, in order; `None` for none. They
        take precedence over `faults`.
      sent: address and request of each exchange so far.
    """

    def __init__(self) -> None:
        self.handlers: dict[Address, Handler] = {}
        self.faults: dict[Address, Fault] = {}
        self.next_faults: list[Fault | None] = []
        self.sent: list[tuple[Address, Request]] = []

    async def send(
        self,
        address: Address,
        request: Request,
        connect_timeout_s: float,
        check: ResponseCheck | None = None,
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
            raise ExchangeBrokenError(f"{address}: response lost")
        return response

    async def close(self) -> None:
        """Does nothing."""
