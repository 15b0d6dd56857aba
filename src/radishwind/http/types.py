"""Requests and responses as values, independent of any HTTP library."""

import abc
from collections.abc import AsyncIterator
import re
from typing import NamedTuple
from typing import TypeAlias

import msgspec

from radishwind.http.errors import ResponseTooLongError

#: Bodies up to this size are buffered; larger ones are streamed.
SMALL_BODY_BYTES = 64 * 1024

#: Largest body of a message that is read as a whole, unless stated otherwise
#: (bytes).
MAX_MESSAGE_BYTES = 8 << 20

_FIRST_SERVER_ERROR = 500

Headers: TypeAlias = tuple[tuple[str, str], ...]


#: Length of the longest host name (characters).
MAX_HOST_CHARS = 253

_LABEL = "[A-Za-z0-9_-]{1,63}"
_PORT = (
    "(?:[0-9]{1,4}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}"
    "|655[0-2][0-9]|6553[0-5])"
)

#: What `Address.parse` accepts: a host name whose labels can be looked up, or
#: an IP literal, and a port.
ADDRESS_PATTERN = (
    rf"^(?:{_LABEL}(?:\.{_LABEL})*\.?|\[[0-9A-Fa-f:.]+\]"
    rf"|[0-9A-Fa-f]*:[0-9A-Fa-f]*:[0-9A-Fa-f:.]*):{_PORT}\Z"
)
_ADDRESS = re.compile(ADDRESS_PATTERN)


class Address(NamedTuple):
    """A host, mostly an IP address, and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parses `HOST:PORT`.

        Raises:
          ValueError: `text` is not of that form, the host can't be looked up,
            or the port is not 0 to 65535.
        """
        host, _, port = text.rpartition(":")
        if len(host) > MAX_HOST_CHARS or not _ADDRESS.search(text):
            raise ValueError(f"expected HOST:PORT, got {text[:80]!r}")
        return cls(host, int(port))


class BodyStream(abc.ABC):
    """A body that is read once, piece by piece, by one reader."""

    @abc.abstractmethod
    def __aiter__(self) -> AsyncIterator[bytes]:
        """Yields the pieces; raises `ExchangeBrokenError` if it is cut off."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Aborts the exchange; its connection is closed and never reused."""

    def keep(self) -> None:  # noqa: B027
        """Announces that the reader keeps what it reads in memory.

        By default it is not counted.
        """

    def claim(self) -> None:  # noqa: B027
        """Announces that reading begins, before anything else is sent."""

    @property
    def is_dropped(self) -> bool:
        """Whether it was dropped, so that it can't be read any more."""
        return False

    @property
    def is_unread(self) -> bool:
        """Whether reading has not started; `False` where unknown."""
        return False

    @property
    def is_fully_buffered(self) -> bool:
        """Whether it is buffered completely, so that it cannot be cut off."""
        return False


Body: TypeAlias = bytes | BodyStream


def get_header(headers: Headers, name: str) -> str | None:
    """Returns the first value of the field `name` (lower case), or `None`."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def is_server_error(status: int) -> bool:
    """Returns whether the HTTP `status` is a server error."""
    return status >= _FIRST_SERVER_ERROR


class Request(msgspec.Struct, frozen=True):
    """A request, received or to be sent.

    Attributes:
      method: the HTTP method, upper case.
      path: the request target: path and query as on the wire.
      headers: the field lines in order, names as received.
      body: the body; empty if there is none.
      body_bytes: the length of the body (bytes), `None` if not stated.
      remote: the IP address of the peer; empty if the request is to be sent.
    """

    method: str
    path: str
    headers: Headers = ()
    body: Body = b""
    body_bytes: int | None = 0
    remote: str = ""


class Response(msgspec.Struct, frozen=True):
    """A response, received or to be sent.

    Attributes:
      status: the HTTP status, 100 to 599.
      headers: the field lines in order.
      body: the body; a stream must be read to its end or aborted.
      body_bytes: the length of the body (bytes), `None` if not stated.
    """

    status: int
    headers: Headers = ()
    body: Body = b""
    body_bytes: int | None = None


async def read_body(body: Body, max_bytes: int = MAX_MESSAGE_BYTES) -> bytes:
    """Reads the complete `body`; for messages known to be small.

    Args:
      body: the body of a request or a response.
      max_bytes: its largest size (bytes).

    Raises:
      ResponseTooLongError: it is larger; its connection is closed.
    """
    if isinstance(body, bytes):
        return body
    pieces: list[bytes] = []
    size = 0
    body.keep()
    try:
        async for piece in body:
            pieces.append(piece)
            size += len(piece)
            if size > max_bytes:
                body.abort()
                raise ResponseTooLongError(
                    f"expected a body of {max_bytes} bytes at most, got more"
                )
    except BaseException:
        # The traceback refers to the pieces.
        pieces.clear()
        raise
    return b"".join(pieces)


def is_dropped(body: Body) -> bool:
    """Returns whether `body` was dropped and can't be sent any more."""
    return isinstance(body, BodyStream) and body.is_dropped


def is_resendable(body: Body) -> bool:
    """Returns whether `body` can still be sent from its start."""
    return isinstance(body, bytes) or body.is_unread


def abort_body(body: Body) -> None:
    """Aborts `body` if it is a stream."""
    if isinstance(body, BodyStream):
        body.abort()
