"""What signs the messages to other nodes, and what checks theirs."""

import abc

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.http.types import Address
from radishwind.http.types import Headers
from radishwind.http.types import Response

AUTH_FIELD = "Radishwind-Node-Auth"


class PeerRefusedError(RadishwindError):
    """A request of a peer is refused; nothing of it was done."""

    code = ResultCode.PEER_UNAUTHENTICATED


class PeerReplayedError(PeerRefusedError):
    """The same request was received before."""

    code = ResultCode.PEER_REPLAYED


class PeerStaleError(PeerRefusedError):
    """The time of the request is outside the window."""

    code = ResultCode.PEER_STALE


class RequestSigner(abc.ABC):
    """Signs requests to other nodes."""

    @abc.abstractmethod
    def sign(
        self, to: Address, method: str, path: str, covered: bytes
    ) -> str | None:
        """Returns the value of `AUTH_FIELD`; `None` where nothing is signed.

        Args:
          to: the peer listener of the other node.
          method: of the request.
          path: of the request, with its query.
          covered: what else must not be altered.
        """

    def should_sign_again(self, to: Address, answer: Response) -> bool:
        """Returns whether a request that `to` refused may be sent once more.

        Args:
          to: the peer listener that answered.
          answer: the refusal, or any other answer.
        """
        return False


class RequestVerifier(abc.ABC):
    """Checks the requests of other nodes."""

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
        """Returns if the request may be taken for one of a node.

        Args:
          field: the value of `AUTH_FIELD`; `None` where there is none.
          method: of the request.
          path: of the request, with its query.
          covered: what else must not have been altered.
          at_most_once: whether a request that was sent to an earlier process
            at this address must be refused, since it may have run there.

        Raises:
          PeerRefusedError: it may not.
        """

    def refusal_headers(self) -> Headers:
        """Returns the header fields that a refusal carries."""
        return ()
