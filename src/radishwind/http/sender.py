"""The interface of an HTTP client."""

import abc

from radishwind.http.response_check import ResponseCheck
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.http.types import Response


class Sender(abc.ABC):
    """Sends requests over pooled connections, one exchange at a time on each.

    A sender never retries a request by itself. A connection whose exchange was
    cancelled, broken or aborted is closed and never reused.
    """

    @abc.abstractmethod
    async def send(
        self,
        address: Address,
        request: Request,
        connect_timeout_s: float,
        check: ResponseCheck | None = None,
    ) -> Response:
        """Sends `request` and returns once the response head was received.

        Args:
          address: where to send it.
          request: what to send; its header fields are sent unchanged.
          connect_timeout_s: timeout for opening a new connection (s).
          check: tells whether a response is that to `request`. Its connection
            is used again only after a response that names the request. `None`
            if responses don't name their requests.

        Raises:
          ConnectFailedError: no byte of the request was sent.
          ResponseMismatchError: the response is not that to `request`.
          ExchangeBrokenError: the exchange failed after that.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
