"""The interface of an HTTP client."""

import abc

from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.http.types import Response


class Sender(abc.ABC):
    """Sends requests over connections kept warm, one exchange on each.

    A sender never sends a request twice. A connection whose exchange was
    cancelled, cut or aborted is closed and never reused.
    """

    @abc.abstractmethod
    async def send(
        self, address: Address, request: Request, connect_timeout_s: float
    ) -> Response:
        """Sends `request` and returns once the header of the answer is there.

        Args:
          address: where to.
          request: what; its header fields are sent as they are.
          connect_timeout_s: how long a new connection may take (s).

        Raises:
          ConnectFailedError: no byte was sent.
          ExchangeBrokenError: anything later.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes every connection."""
