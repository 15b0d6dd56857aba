"""Client for control messages to other nodes."""

import abc

import anyio

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import SendError
from radishwind.http.sender import Sender
from radishwind.http.types import Address
from radishwind.http.types import Headers
from radishwind.http.types import read_body
from radishwind.http.types import Request
from radishwind.peers.peer_traffic import PeerTraffic
from radishwind.peers.signing import AUTH_FIELD
from radishwind.peers.signing import RequestSigner

#: Prefix of the paths of control messages on the peer listener.
CONTROL_PREFIX = "/radishwind/v1/"

#: Timeout for a new connection to a peer (s).
CONNECT_TIMEOUT_S = 0.5


class PeerError(RadishwindError):
    """A control message failed; the peer may have received it."""

    code = ResultCode.PEER_MALFORMED


class PeerUnreachableError(PeerError):
    """The connection failed, so the peer received nothing of the message."""


class PeerClient(abc.ABC):
    """Sends control messages to the peer listeners of other nodes."""

    @abc.abstractmethod
    async def call(
        self, address: Address, name: str, payload: bytes, timeout_s: float
    ) -> bytes:
        """Sends `payload` to the control path `name` of the node at `address`.

        Args:
          address: address of the peer listener of the other node.
          name: the name under which the other node registered its handler, see
            `PeerListener.add_control_handler`.
          payload: the message, JSON.
          timeout_s: timeout for the whole exchange (s).

        Returns:
          The body of the response.

        Raises:
          PeerUnreachableError: no connection was established.
          PeerError: there was no response, or its status was not 200.
        """


class HttpPeerClient(PeerClient):
    """Sends control messages over HTTP, signed if a signer is given."""

    def __init__(
        self,
        sender: Sender,
        signer: RequestSigner | None = None,
        traffic: PeerTraffic | None = None,
    ) -> None:
        self._sender = sender
        self._signer = signer
        self._traffic = traffic or PeerTraffic()

    async def call(
        self, address: Address, name: str, payload: bytes, timeout_s: float
    ) -> bytes:
        try:
            with anyio.fail_after(timeout_s):
                response = await self._sender.send(
                    address,
                    self._signed_request(address, name, payload),
                    CONNECT_TIMEOUT_S,
                )
                body = await read_body(response.body)
            size = len(payload) + len(body)
            self._traffic.record_control(address, name, size)
        except ConnectFailedError as exc:
            raise PeerUnreachableError(f"{address} {name}: {exc}") from exc
        except (SendError, TimeoutError) as exc:
            raise PeerError(f"{address} {name}: {exc!r}") from exc
        if response.status != 200:
            raise PeerError(
                f"{address} {name}: expected status 200, got {response.status}"
            )
        return body

    def _signed_request(
        self, address: Address, name: str, payload: bytes
    ) -> Request:
        path = CONTROL_PREFIX + name
        headers: Headers = (("Content-Type", "application/json"),)
        if self._signer is not None:
            auth = self._signer.sign(address, "POST", path, payload)
            if auth is not None:
                headers += ((AUTH_FIELD, auth),)
        return Request("POST", path, headers, payload, len(payload))
