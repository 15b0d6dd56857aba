"""Reads requests from the bytes of a connection.

The parser refuses most of what two receivers could read differently; the rest
is refused here.
"""

import asyncio
from collections.abc import Callable
from typing import TypeAlias

import httptools

from radishwind.http.errors import RequestRejectedError
from radishwind.http.heads import decode_fields
from radishwind.http.heads import Framing
from radishwind.http.heads import parse_framing
from radishwind.http.incoming_body import IncomingBody
from radishwind.http.rejections import body_too_large_error
from radishwind.http.rejections import head_too_long_error
from radishwind.http.server_limits import ServerLimits
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import SMALL_BODY_BYTES

#: Takes a request, whether its sender asks for no more on this connection, and
#: the body that is still arriving, if one is.
Deliver: TypeAlias = Callable[[Request, bool, IncomingBody | None], None]

_VERSIONS = frozenset({"1.0", "1.1"})

#: One is of a protocol that is none of ours; behind the other the parser reads
#: no body, whatever the head says of one.
_FOREIGN_METHODS = frozenset({"SOURCE", "CONNECT"})

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

#: The longest head, in longest lines.
_MOST_LINES = 8


class UpgradeRequestedError(Exception):
    """The sender asks to speak another protocol from here on."""


class RequestReader:
    """Reads one request after the other, small bodies whole.

    Attributes:
      takes_chunks: whether the sender of the last one reads chunks; one that
        does not is answered once, and its connection closed.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        remote: str,
        limits: ServerLimits,
        deliver: Deliver,
    ) -> None:
        """Makes a reader of a new connection.

        Args:
          transport: of the connection.
          remote: the IP address of its other end.
          limits: of the listener.
          deliver: takes the requests.
        """
        self._transport = transport
        self._remote = remote
        self._limits = limits
        self._deliver = deliver
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._fields: list[tuple[bytes, bytes]] = []
        self._in_head = True
        self._head_bytes = 0
        # The request whose body is arriving, without it.
        self._arriving: Request | None = None
        self._closes = False
        self._body: IncomingBody | None = None
        self._body_bytes = 0
        self._delivered = False
        self._stopped = False
        self.takes_chunks = True

    @property
    def is_in_body(self) -> bool:
        """Whether a body is arriving."""
        return self._body is not None

    @property
    def is_buffering_body(self) -> bool:
        """Whether a request waits for the rest of its small body."""
        return self._body is not None and not self._delivered

    def stop(self) -> None:
        """Takes no request any more; a body that arrives is read to its end."""
        self._stopped = True

    def feed(self, data: bytes) -> None:
        """Takes bytes as they came.

        Raises:
          RequestRejectedError: they are no request to be taken.
          UpgradeRequestedError: what stands behind the last request is none.
        """
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise UpgradeRequestedError from exc
        except httptools.HttpParserError as exc:
            self._refuse_unparsed(exc)
        most = _MOST_LINES * self._limits.max_field_bytes
        if self._in_head and self._head_bytes > most:
            raise head_too_long_error(self._limits)

    def end_body(self, exc: Exception) -> bool:
        """Ends the body that arrives; returns whether its reader hears of it.

        Args:
          exc: what its reader gets.
        """
        body, self._body = self._body, None
        self._arriving = None
        if body is None:
            return False
        body.fail(exc)
        body.discard()
        return self._delivered

    def discard_body(self) -> None:
        """Throws away what still comes of the body."""
        if self._body is not None:
            self._body.discard()

    def _refuse_unparsed(self, exc: httptools.HttpParserError) -> None:
        """Refuses what the parser, or a callback within it, did not take."""
        cause = exc.__context__
        if isinstance(cause, RequestRejectedError):
            raise cause
        if not self._stopped:
            raise RequestRejectedError(str(exc)) from exc

    # What the parser calls.

    def on_message_begin(self) -> None:
        self._url = b""
        self._fields = []
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        self._url += url
        if len(self._url) > self._limits.max_field_bytes:
            raise head_too_long_error(self._limits)

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_head:
            return
        self._fields.append((name, value))
        if len(name) + len(value) > self._limits.max_field_bytes:
            raise head_too_long_error(self._limits)
        if len(self._fields) > self._limits.max_fields:
            raise RequestRejectedError(
                f"expected {self._limits.max_fields} fields at most, got more"
            )

    def on_headers_complete(self) -> None:
        self._in_head = False
        self._head_bytes = 0
        if self._stopped:
            return
        headers = decode_fields(self._fields)
        framing = parse_framing(headers)
        method = self._parser.get_method().decode("ascii")
        self._check(method, framing)
        self.takes_chunks = self._parser.get_http_version() != "1.0"
        closes = framing.closes or not self.takes_chunks
        closes = closes or not self._parser.should_keep_alive()
        request = self._request(method, headers)
        if framing.length is None and not framing.chunked:
            self._deliver(request, closes, None)
            return
        self._arriving, self._closes = request, closes
        self._begin_body(framing)

    def on_body(self, piece: bytes) -> None:
        body = self._body
        if body is None:
            return
        self._body_bytes += len(piece)
        if self._body_bytes > self._limits.max_body_bytes:
            raise body_too_large_error(self._limits)
        body.feed(piece)
        if not self._delivered and self._body_bytes > SMALL_BODY_BYTES:
            self._deliver_stream(body, None)

    def on_message_complete(self) -> None:
        request, body = self._arriving, self._body
        self._arriving = self._body = None
        if request is None or body is None:
            return
        body.end()
        if self._delivered:
            return
        whole = body.taken()
        self._deliver(
            _with_body(request, whole, len(whole)), self._closes, None
        )

    def _check(self, method: str, framing: Framing) -> None:
        """Refuses what two receivers could read differently.

        Raises:
          RequestRejectedError: it may be.
        """
        version = self._parser.get_http_version()
        if version not in _VERSIONS or method in _FOREIGN_METHODS:
            raise RequestRejectedError(
                f"expected a method of HTTP/1.0 or HTTP/1.1, got {method} "
                f"{version}"
            )
        if framing.hosts != 1 and (framing.hosts or version == "1.1"):
            raise RequestRejectedError(
                f"expected one field host, got {framing.hosts}"
            )
        if not framing.clean or (framing.chunked and version == "1.0"):
            raise RequestRejectedError(
                "expected a body in chunks or of a told length, got another"
            )
        if (framing.length or 0) > self._limits.max_body_bytes:
            raise body_too_large_error(self._limits)

    def _request(self, method: str, headers: Headers) -> Request:
        path = self._url.decode("ascii")
        return Request(method, path, headers, b"", 0, self._remote)

    def _begin_body(self, framing: Framing) -> None:
        """Waits for a small body; a larger one streams at once."""
        is_large = (framing.length or 0) > SMALL_BODY_BYTES
        asked = self._continue if framing.continues and is_large else None
        body = self._body = IncomingBody(self._transport, asked)
        self._body_bytes = 0
        self._delivered = False
        if is_large:
            self._deliver_stream(body, framing.length)
        elif framing.continues:
            self._continue()

    def _continue(self) -> None:
        """Tells a sender that waits to go on with its body."""
        if not self._transport.is_closing():
            self._transport.write(_CONTINUE)

    def _deliver_stream(self, body: IncomingBody, length: int | None) -> None:
        """Hands on the request whose body is still arriving."""
        assert self._arriving is not None, "a request arrives"
        self._delivered = True
        request = _with_body(self._arriving, body, length)
        self._deliver(request, self._closes, body)


def _with_body(
    request: Request, body: bytes | IncomingBody, length: int | None
) -> Request:
    return Request(
        request.method,
        request.path,
        request.headers,
        body,
        length,
        request.remote,
    )
