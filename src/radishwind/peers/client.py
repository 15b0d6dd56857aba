"""Control messages to other nodes."""

import abc

import anyio

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.http.errors import SendError
from radishwind.http.sender import Sender
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.http.types import whole_body

#: Paths below this one on the peer listener are control messages.
CONTROL_PREFIX = "/radishwind/v1/"


class PeerError(RadishwindError):
    """A control message got no good answer; it may have arrived."""

    code = ResultCode.PEER_MALFORMED


class PeerClient(abc.ABC):
    """Sends control messages; `PeerListener.add_control` receives them."""

    @abc.abstractmethod
    async def call(
        self, address: Address, name: str, payload: bytes, timeout_s: float
    ) -> bytes:
        """Sends `payload` to the control path `name` of the node there.

        Args:
          address: the peer listener of the other node.
          name: the name given to `add_control`.
          payload: the message, JSON.
          timeout_s: how long the whole exchange may take (s).

        Returns:
          The body of the answer.

        Raises:
          PeerError: no answer, or not one of success.
        """


class HttpPeerClient(PeerClient):
    """Sends control messages by a `Sender`."""

    def __init__(self, sender: Sender) -> None:
        self._sender = sender

    async def call(
        self, address: Address, name: str, payload: bytes, timeout_s: float
    ) -> bytes:
        request = Request(
            "POST",
            CONTROL_PREFIX + name,
            (("Content-Type", "application/json"),),
            payload,
            len(payload),
        )
        try:
            with anyio.fail_after(timeout_s):
                response = await self._sender.send(address, request, timeout_s)
                body = await whole_body(response.body)
        except (SendError, TimeoutError) as exc:
            raise PeerError(f"{address} {name}: {exc!r}") from exc
        if response.status != 200:
            raise PeerError(
                f"{address} {name}: expected status 200, got {response.status}"
            )
        return body
