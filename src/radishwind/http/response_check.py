"""Decides by the head of a response which request it answers.

A server may send a second copy of an earlier response where the next one is
expected. From then on, each response on the connection is read as that of the
request after it. A response therefore has to prove that it answers the request
that waits before its connection may carry another one.
"""

import abc
import enum

from radishwind.http.errors import ResponseMismatchError
from radishwind.http.types import Headers


class ResponseMatch(enum.Enum):
    """What the head of a response proves about the request it answers."""

    #: It names the request.
    OWN = "own"
    #: It names no request. It may be the response, but a copy of it could be
    #: taken for the response to the next request on the connection.
    UNIDENTIFIED = "unidentified"
    #: It is not the response to the request.
    FOREIGN = "foreign"


class ResponseCheck(abc.ABC):
    """Compares the heads of responses with one request."""

    @abc.abstractmethod
    def match(self, status: int, headers: Headers) -> ResponseMatch:
        """Returns what a response head proves about the request."""


def verify_head(
    check: ResponseCheck | None, status: int, headers: Headers
) -> None:
    """Verifies a response whose connection is not used again.

    Raises:
      ResponseMismatchError: the response is that to another request.
    """
    if check is None:
        return
    if check.match(status, headers) is ResponseMatch.FOREIGN:
        raise ResponseMismatchError("expected the response to the request sent")
