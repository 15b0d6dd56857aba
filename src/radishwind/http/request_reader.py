"""Parses requests from the bytes of a connection.

The parser rejects most messages that two receivers could interpret
differently; the remaining ones are rejected here.
"""

import asyncio
from collections.abc import Callable
from typing import TypeAlias

import httptools

from radishwind.http.errors import RequestRejectedError
from radishwind.http.framing_budget import FRAMING_ALLOWANCE_BYTES
from radishwind.http.framing_budget import FramingBudget
from radishwind.http.framing_budget import PIECE_BYTES
from radishwind.http.heads import decode_fields
from radishwind.http.heads import Framing
from radishwind.http.heads import parse_framing
from radishwind.http.incoming_body import IncomingBody
from radishwind.http.incoming_body import IncomingRequestBody
from radishwind.http.read_gate import ReadGate
from radishwind.http.rejections import body_too_large_error
from radishwind.http.rejections import head_too_long_error
from radishwind.http.server_limits import ServerLimits
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import SMALL_BODY_BYTES

#: Called with a request, whether it is the last one of its sender on the
#: connection, and its body if that is still being received.
RequestCallback: TypeAlias = Callable[
    [Request, bool, IncomingBody | None], None
]

_VERSIONS = frozenset({"1.0", "1.1"})

#: Methods that the parser accepts but that cannot be served: SOURCE belongs to
#: another protocol (Icecast), and after CONNECT the parser reads no body even
#: if the head announces one.
_UNSUPPORTED_METHODS = frozenset({"SOURCE", "CONNECT"})

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_HEAD_END = b"\r\n\r\n"

#: Largest piece that is parsed at once outside of a body of known length
#: (bytes). It bounds the number of requests in a piece whose heads don't end as
#: usual.
_HEAD_PIECE_BYTES = 2048


class UpgradeRequestedError(Exception):
    """The sender wants to switch to another protocol after this request."""


class RequestReader:
    """Parses requests one by one; small bodies are buffered completely.

    Attributes:
      accepts_chunks: whether the sender of the latest request supports chunked
        encoding; if not, its connection is closed after the response.
      head_bytes: length of the head of the latest request (bytes).
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        remote: str,
        limits: ServerLimits,
        on_request: RequestCallback,
        gate: ReadGate | None = None,
    ) -> None:
        """Creates the reader of a new connection.

        Args:
          transport: of the connection.
          remote: IP address of the peer.
          limits: of the listener.
          on_request: called with each request.
          gate: pauses reading from the connection.
        """
        self._transport = transport
        self._gate = gate or ReadGate(transport)
        self._remote = remote
        self._limits = limits
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._fields: list[tuple[bytes, bytes]] = []
        # What was received but not parsed yet, and where it begins.
        self._received = b""
        self._start = 0
        self._in_head = True
        self._head_bytes = 0
        self.head_bytes = 0
        # Length of the body in progress, if it is known (bytes).
        self._length: int | None = None
        # The request whose body is being received, without the body.
        self._pending: Request | None = None
        self._closes_connection = False
        self._body: IncomingBody | None = None
        self._body_bytes = 0
        self._framing = FramingBudget()
        self._is_delivered = False
        self._is_stopped = False
        self.accepts_chunks = True

    @property
    def is_in_body(self) -> bool:
        """Whether a body is being received."""
        return self._body is not None

    @property
    def is_buffering_body(self) -> bool:
        """Whether a request waits for the rest of its small body."""
        return self._body is not None and not self._is_delivered

    @property
    def has_unfinished_head(self) -> bool:
        """Whether a part of a head was received."""
        return self._head_bytes > 0

    @property
    def unparsed_bytes(self) -> int:
        """Length of what was received but not parsed yet (bytes)."""
        return len(self._received) - self._start

    @property
    def held_bytes(self) -> int:
        """Bytes of requests that were not passed on yet."""
        held = self.unparsed_bytes + self._head_bytes
        if self._body is not None and not self._is_delivered:
            held += self._body_bytes
        return held

    def stop(self) -> None:
        """Ignores further requests; a partly received body is still read."""
        self._is_stopped = True

    def receive(self, data: bytes) -> None:
        """Adds received bytes to what `parse` parses."""
        if self.unparsed_bytes:
            self._received = self._received[self._start :] + data
        else:
            self._received = data
        self._start = 0

    def discard_unparsed(self) -> None:
        """Discards what was received but not parsed yet."""
        self._received, self._start = b"", 0

    def close(self) -> None:
        """Frees what was received; nothing is parsed any more.

        Parser and reader refer to each other, so that it would be kept until
        the next garbage collection.
        """
        self.discard_unparsed()
        self._url = b""
        self._fields = []

    def parse(self) -> None:
        """Parses received bytes up to the end of the next head, at most.

        Raises:
          RequestRejectedError: they violate the rules or limits.
          UpgradeRequestedError: the bytes after the last request belong to
            another protocol.
        """
        end = self._piece_end()
        piece = self._received[self._start : end]
        self._start = end
        if not self.unparsed_bytes:
            self.discard_unparsed()
        self._feed(piece)

    def _piece_end(self) -> int:
        """Returns the end of the next piece to parse.

        No piece has more than one request, unless a body in chunks ends in it
        or heads don't end as usual.
        """
        start, size = self._start, len(self._received)
        if not self._in_head and self._length is not None:
            left = self._length - self._body_bytes
            if left > 0:
                return min(size, start + left, start + PIECE_BYTES)
        limit = min(size, start + _HEAD_PIECE_BYTES)
        if not self._in_head:
            return limit
        found = self._received.find(_HEAD_END, start, limit)
        return limit if found < 0 else found + len(_HEAD_END)

    def _feed(self, data: bytes) -> None:
        """Parses a piece of received bytes; see `parse`."""
        if self._in_head:
            self._head_bytes += len(data)
        else:
            self._framing.record_received(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise UpgradeRequestedError from exc
        except httptools.HttpParserError as exc:
            self._raise_parser_error(exc)
        if self._in_head and self._head_bytes > self._limits.max_head_bytes:
            raise head_too_long_error(self._limits)
        if not self._in_head and self._framing.is_exceeded:
            raise RequestRejectedError(
                "expected chunk sizes and trailers shorter than the body, got "
                f"more than {FRAMING_ALLOWANCE_BYTES} bytes"
            )

    def end_body(self, exc: Exception) -> bool:
        """Ends the body in progress; returns whether its reader gets `exc`.

        Args:
          exc: error for the reader of the body.
        """
        body, self._body = self._body, None
        self._pending = None
        if body is None:
            return False
        body.fail(exc)
        body.discard()
        return self._is_delivered

    def discard_body(self) -> None:
        """Discards the rest of the body in progress."""
        if self._body is not None:
            self._body.discard()

    def _raise_parser_error(self, exc: httptools.HttpParserError) -> None:
        """Raises the error of the parser or of a callback that it called."""
        cause = exc.__context__
        if isinstance(cause, RequestRejectedError):
            raise cause
        # After the last request, what follows its body is not parsed.
        if not self._is_stopped or self._body is not None:
            raise RequestRejectedError(str(exc)) from exc

    # Called by the parser.

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
                f"expected at most {self._limits.max_fields} fields, got more"
            )

    def on_headers_complete(self) -> None:
        self._in_head = False
        self.head_bytes, self._head_bytes = self._head_bytes, 0
        self._length = None
        self._framing.start()
        if self._is_stopped:
            return
        headers = decode_fields(self._fields)
        framing = parse_framing(headers)
        method = self._parser.get_method().decode("ascii")
        self._check(method, framing)
        self.accepts_chunks = self._parser.get_http_version() != "1.0"
        closes = framing.closes_connection or not self.accepts_chunks
        closes = closes or not self._parser.should_keep_alive()
        request = self._make_request(method, headers)
        if framing.length is None and not framing.is_chunked:
            self._on_request(request, closes, None)
            return
        self._pending, self._closes_connection = request, closes
        self._length = framing.length
        self._start_body(framing)

    def on_body(self, piece: bytes) -> None:
        self._framing.record_body(len(piece))
        body = self._body
        if body is None:
            return
        self._body_bytes += len(piece)
        if self._body_bytes > self._limits.max_body_bytes:
            raise body_too_large_error(self._limits)
        body.feed(piece)
        if not self._is_delivered and self._body_bytes > SMALL_BODY_BYTES:
            self._deliver_stream(body, None)

    def on_message_complete(self) -> None:
        self._in_head = True
        request, body = self._pending, self._body
        self._pending = self._body = None
        if request is None or body is None:
            return
        body.end()
        if self._is_delivered:
            return
        content = body.get_buffered()
        self._on_request(
            _with_body(request, content, len(content)),
            self._closes_connection,
            None,
        )

    def _check(self, method: str, framing: Framing) -> None:
        """Rejects requests that two receivers could interpret differently.

        Raises:
          RequestRejectedError: the request is ambiguous or not supported.
        """
        version = self._parser.get_http_version()
        if version not in _VERSIONS or method in _UNSUPPORTED_METHODS:
            raise RequestRejectedError(
                f"expected a method of HTTP/1.0 or HTTP/1.1, got {method} "
                f"{version}"
            )
        if framing.host_count != 1 and (framing.host_count or version == "1.1"):
            raise RequestRejectedError(
                f"expected one Host field, got {framing.host_count}"
            )
        if not framing.is_unambiguous or (
            framing.is_chunked and version == "1.0"
        ):
            raise RequestRejectedError(
                "expected a chunked body or one with Content-Length, got "
                "another encoding"
            )
        if (framing.length or 0) > self._limits.max_body_bytes:
            raise body_too_large_error(self._limits)

    def _make_request(self, method: str, headers: Headers) -> Request:
        path = self._url.decode("ascii")
        return Request(method, path, headers, b"", 0, self._remote)

    def _start_body(self, framing: Framing) -> None:
        """Buffers a small body; delivers a larger one as a stream at once."""
        is_large = (framing.length or 0) > SMALL_BODY_BYTES
        on_read = (
            self._send_continue
            if framing.expects_continue and is_large
            else None
        )
        body = self._body = IncomingRequestBody(
            self._transport, on_read, self._gate
        )
        self._body_bytes = 0
        self._is_delivered = False
        if is_large:
            self._deliver_stream(body, framing.length)
        elif framing.expects_continue:
            self._send_continue()

    def _send_continue(self) -> None:
        """Sends 100 (Continue) to a sender that waits with its body."""
        if not self._transport.is_closing():
            self._transport.write(_CONTINUE)

    def _deliver_stream(self, body: IncomingBody, length: int | None) -> None:
        """Delivers the request whose body is still being received."""
        assert self._pending is not None, "a request must be in progress"
        self._is_delivered = True
        request = _with_body(self._pending, body, length)
        self._on_request(request, self._closes_connection, body)


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
