"""Interfaces that sign and verify requests between nodes."""

import abc

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.http.types import Address
from radishwind.http.types import Headers
from radishwind.http.types import Response

AUTH_FIELD = "Radishwind-Node-Auth"


class PeerRefusedError(RadishwindError):
    """A request of a peer is refused; it had no effect."""

    code = ResultCode.PEER_UNAUTHENTICATED


class PeerReplayedError(PeerRefusedError):
    """The same request was received before."""

    code = ResultCode.PEER_REPLAYED


class PeerStaleError(PeerRefusedError):
    """The request is too old, or for an earlier process at this address."""

    code = ResultCode.PEER_STALE


class RequestSigner(abc.ABC):
    """Signs requests to other nodes."""

    @abc.abstractmethod
    def sign(
        self, to: Address, method: str, path: str, covered: bytes
    ) -> str | None:
        """Returns the value of `AUTH_FIELD`; `None` if nothing is signed.

        Args:
          to: address of the peer listener of the other node.
          method: method of the request.
          path: path of the request, with its query.
          covered: further bytes that the signature covers.
        """

    def should_sign_again(self, to: Address, response: Response) -> bool:
        """Returns whether to sign a refused request again and resend it.

        Args:
          to: address of the peer listener that responded.
          response: the refusal, or any other response.
        """
        return False


class RequestVerifier(abc.ABC):
    """Verifies the requests of other nodes."""

    @abc.abstractmethod
    def verify(
        self,
        field: str | None,
        method: str,
        path: str,
        covered: bytes,
        *,
        at_most_once: bool = False,
    ) -> None:
        """Returns if the request may be accepted as one of another node.

        Args:
          field: value of `AUTH_FIELD`; `None` if the request has none.
          method: method of the request.
          path: path of the request, with its query.
          covered: further bytes that the signature covers.
          at_most_once: whether a request that was sent to an earlier process
            at this address must be refused, since it may have run there.

        Raises:
          PeerRefusedError: it must be refused.
        """

    def refusal_headers(self) -> Headers:
        """Returns the header fields to add to a refusal."""
        return ()
