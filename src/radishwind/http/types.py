"""Requests and responses as values, independent of any HTTP library."""

import abc
from collections.abc import AsyncIterator
from typing import NamedTuple
from typing import TypeAlias

import msgspec

#: Bodies up to this size (bytes) are held whole; larger ones are streamed.
SMALL_BODY_BYTES = 64 * 1024

_FIRST_SERVER_ERROR = 500

Headers: TypeAlias = tuple[tuple[str, str], ...]


class Address(NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parses `HOST:PORT`.

        Raises:
          ValueError: `text` is not of that form or the port is not 0 to 65535.
        """
        host, sep, port = text.rpartition(":")
        if not sep or not host or not port.isdigit() or int(port) > 65535:
            raise ValueError(f"expected HOST:PORT, got {text!r}")
        return cls(host, int(port))


class BodyStream(abc.ABC):
    """A body read piece by piece, by one reader, once."""

    @abc.abstractmethod
    def __aiter__(self) -> AsyncIterator[bytes]:
        """Yields the pieces; raises `ExchangeBrokenError` if it is cut."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Gives the exchange up; its connection is closed, never reused."""

    @property
    def is_unread(self) -> bool:
        """Whether nobody began to read it; some streams can't tell."""
        return False

    @property
    def is_fully_buffered(self) -> bool:
        """Whether all of it has come, so that it can't break off."""
        return False


Body: TypeAlias = bytes | BodyStream


def get_header(headers: Headers, name: str) -> str | None:
    """Returns the first value of the field `name` (lower case), or `None`."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def is_server_error(status: int) -> bool:
    """Returns whether the HTTP `status` says that the server failed."""
    return status >= _FIRST_SERVER_ERROR


class Request(msgspec.Struct, frozen=True):
    """A request as received or as to be sent.

    Attributes:
      method: the HTTP method, upper case.
      path: the request target: path and query as on the wire.
      headers: the field lines in order, names as received.
      body: the body; empty bytes where there is none.
      body_bytes: the length of the body (bytes), `None` where not told.
      remote: the IP address of the other end, empty when sending.
    """

    method: str
    path: str
    headers: Headers = ()
    body: Body = b""
    body_bytes: int | None = 0
    remote: str = ""


class Response(msgspec.Struct, frozen=True):
    """A response as received or as to be sent.

    Attributes:
      status: the HTTP status, 100 to 599.
      headers: the field lines in order.
      body: the body; a stream must be read to its end or aborted.
      body_bytes: the length of the body (bytes), `None` where not told.
    """

    status: int
    headers: Headers = ()
    body: Body = b""
    body_bytes: int | None = None


async def read_body(body: Body) -> bytes:
    """Returns the whole of `body`; for messages known to be small."""
    if isinstance(body, bytes):
        return body
    return b"".join([piece async for piece in body])


def is_resendable(body: Body) -> bool:
    """Returns whether the whole of `body` can still be sent."""
    return isinstance(body, bytes) or body.is_unread


def abort_body(body: Body) -> None:
    """Aborts `body` if it is a stream."""
    if isinstance(body, BodyStream):
        body.abort()
