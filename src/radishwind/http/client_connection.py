"""One connection of a sender and the exchange on it.

Bytes received while no exchange is in progress are not a response: the
connection is closed, so that they are not taken for the response to the next
request. A response without a length is complete only if its connection was
closed in order.
"""

import asyncio
import collections
from collections.abc import Callable
from typing import cast
from typing import TypeAlias

import httptools

from radishwind.http.byte_meter import ByteMeter
from radishwind.http.byte_meter import NO_METER
from radishwind.http.connection_memory import ConnectionMemory
from radishwind.http.connection_memory import MemoryHolder
from radishwind.http.connection_memory import REPORT_STEP_BYTES
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.errors import InvalidResponseError
from radishwind.http.errors import ResponseMismatchError
from radishwind.http.errors import ResponseTooLongError
from radishwind.http.framing_budget import FRAMING_ALLOWANCE_BYTES
from radishwind.http.framing_budget import FramingBudget
from radishwind.http.framing_budget import PIECE_BYTES
from radishwind.http.heads import decode_fields
from radishwind.http.heads import encode_chunk
from radishwind.http.heads import has_body
from radishwind.http.heads import LAST_CHUNK
from radishwind.http.heads import verify_response_head
from radishwind.http.incoming_body import IncomingResponseBody
from radishwind.http.received_bytes import read_received
from radishwind.http.reset_on_close import set_reset_on_close
from radishwind.http.response_check import ResponseCheck
from radishwind.http.response_sequence import CloseReason
from radishwind.http.response_sequence import MAX_SKIPPED_BYTES
from radishwind.http.response_sequence import ResponseSequence
from radishwind.http.response_sequence import Verdict
from radishwind.http.send_queue import unaccepted_bytes
from radishwind.http.tcp_keepalive import set_user_timeout
from radishwind.http.tcp_keepalive import USER_TIMEOUT_MS
from radishwind.http.types import BodyStream
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.http.types import SMALL_BODY_BYTES

#: Limit of the size of a response head (bytes).
MAX_RESPONSE_HEAD_BYTES = 256 * 1024

#: Limit of the number of fields of a response head.
MAX_RESPONSE_FIELDS = 1000

#: Approximate memory of a field beside its bytes: the objects that hold it
#: (bytes).
_FIELD_OVERHEAD_BYTES = 160

#: Approximate memory of a head in progress over its length: the parser copies a
#: field each time that it grows.
_HEAD_COPIES = 3

#: Limit of the length of a body that a response may announce (bytes).
MAX_BODY_BYTES = 1 << 30

#: Limit of what is read of a connection that was lost (bytes).
MAX_REST_BYTES = 512 * 1024

_SWITCHING = 101


#: How many connections were closed, by reason.
CloseCounts: TypeAlias = collections.Counter[CloseReason]


class ClientConnection(asyncio.Protocol, MemoryHolder):
    """A connection that carries one exchange at a time.

    Attributes:
      is_usable: whether another exchange may start.
      idle_since: when the last exchange ended (s, time of the loop).
      has_received: whether anything was received in the current exchange.
    """

    def __init__(
        self,
        on_released: Callable[["ClientConnection"], None],
        meter: ByteMeter = NO_METER,
        close_counts: CloseCounts | None = None,
        memory: ConnectionMemory | None = None,
    ) -> None:
        """Creates the protocol of a connection that is not open yet.

        Args:
          on_released: called when an exchange has ended or the connection is
            lost; see `is_usable`.
          meter: counts the bytes of the connection.
          close_counts: counts why connections were closed.
          memory: bounds what all connections hold; by default only this one is
            counted.
        """
        self._memory = memory or ConnectionMemory()
        # What the memory of all connections knows of this one (bytes).
        self._reported_bytes = 0
        self._on_released = on_released
        self._meter = meter
        self._close_counts = (
            CloseCounts() if close_counts is None else close_counts
        )
        self._transport: asyncio.Transport
        self._parser = httptools.HttpResponseParser(self)
        self._response: asyncio.Future[Response] | None = None
        self._body: IncomingResponseBody | None = None
        self._body_sender: asyncio.Task[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._is_writable = True
        self._user_timeout_ms = USER_TIMEOUT_MS
        self._fields: list[tuple[bytes, bytes]] = []
        # Parsed pieces of the body that were not passed on yet.
        self._pieces: list[bytes] = []
        self._status = 0
        self._head_bytes = 0
        self._in_head = True
        self._until_close = False
        self._buffered_length: int | None = None
        self._to_head = False
        self._is_lost = False
        self._sequence = ResponseSequence()
        self._framing = FramingBudget()
        # Whether the response being received is skipped, and how much of its
        # body was received so far.
        self._is_skipping = False
        self._skipped_bytes = 0
        self.is_usable = True
        self.idle_since = 0.0
        self.has_received = False

    # Called by the sender.

    async def exchange(
        self,
        head: bytes,
        request: Request,
        check: ResponseCheck | None = None,
    ) -> Response:
        """Sends `request` and returns once the response head was received.

        Args:
          head: encoded head of `request`.
          request: what to send.
          check: tells whether a response is that to `request`; `None` if
            responses don't name their requests.

        Raises:
          ResponseMismatchError: the response is not that to `request`.
          ExchangeBrokenError: the connection broke or the response is invalid.
        """
        loop = asyncio.get_running_loop()
        self._response = loop.create_future()
        self._sequence.start(check)
        self._to_head = request.method == "HEAD"
        self.has_received = False
        self.is_usable = False
        if isinstance(request.body, BodyStream):
            self._set_user_timeout(0)
            request.body.claim()
            self._send(head)
            self._body_sender = loop.create_task(self._send_body(request))
        else:
            self._send(head + request.body)
        response = self._response
        try:
            return await response
        except BaseException:
            # Once the exchange has ended, the connection may already serve
            # another one.
            if self._response is response:
                self._reset_unaccepted()
                self.abort()
            raise

    def abort(self) -> None:
        """Closes the connection at once."""
        self.is_usable = False
        if not self._is_lost:
            self._transport.abort()

    def _set_user_timeout(self, timeout_ms: int) -> None:
        """Sets the user timeout (ms); none while a body waits to be read.

        The request may wait for its turn there, and the body with it; then its
        deadline is the limit.
        """
        sock = self._transport.get_extra_info("socket")
        if sock is not None and timeout_ms != self._user_timeout_ms:
            set_user_timeout(sock, timeout_ms)
            self._user_timeout_ms = timeout_ms

    def _reset_unaccepted(self) -> None:
        """Lets a close reset the connection if the server reads nothing.

        A server that does not read the request would learn of an ordinary close
        only once it has read everything before it.
        """
        if self._is_lost or not unaccepted_bytes(self._transport):
            return
        set_reset_on_close(self._transport, is_enabled=True)

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # A stream transport; uvloop's class does not derive from
        # `asyncio.Transport`.
        self._transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        if self._response is None:
            # No exchange is in progress, so this is not a response.
            self._abort_for(CloseReason.UNSOLICITED)
            return
        self.has_received = True
        self._meter.record_received(len(data))
        for start in range(0, len(data), PIECE_BYTES):
            if not self._feed(data[start : start + PIECE_BYTES]):
                return

    def _feed(self, data: bytes) -> bool:
        """Parses received bytes; returns whether more may be parsed."""
        if self._in_head:
            self._head_bytes += len(data)
        else:
            self._framing.record_received(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._fail_with(
                InvalidResponseError(f"expected a response of HTTP/1.1: {exc}")
            )
            return False
        self._flush_body()
        self._update_memory()
        if self._in_head and self._head_bytes > MAX_RESPONSE_HEAD_BYTES:
            self._fail_too_long(
                f"expected a head of {MAX_RESPONSE_HEAD_BYTES} bytes at most"
            )
        elif len(self._fields) > MAX_RESPONSE_FIELDS:
            self._fail_too_long(
                f"expected {MAX_RESPONSE_FIELDS} fields at most, got more"
            )
        elif self._framing.is_exceeded:
            self._fail_too_long(
                "expected chunk sizes and trailers shorter than the body, got "
                f"more than {FRAMING_ALLOWANCE_BYTES} bytes"
            )
        return not self._transport.is_closing()

    def _update_memory(self) -> None:
        """Reports what is held of the response that is being received.

        A body that is passed on is counted where it is passed on to.
        """
        held = len(self._fields) * _FIELD_OVERHEAD_BYTES
        if self._in_head:
            held += self._head_bytes * _HEAD_COPIES
        body = self._body
        is_small = self._buffered_length is not None
        if body is not None and (body.is_kept or is_small):
            held += body.held_bytes
        if abs(held - self._reported_bytes) >= REPORT_STEP_BYTES:
            self._report_memory(held)

    def _report_memory(self, held: int) -> None:
        if held != self._reported_bytes:
            self._reported_bytes = held
            self._memory.update(self, held)

    def close_to_free_memory(self) -> str:
        peer = self._transport.get_extra_info("peername")
        self._reported_bytes = 0
        self._close_counts[CloseReason.MEMORY] += 1
        self._fail_with(
            ResponseTooLongError(
                "closed to free the memory of responses not complete yet"
            )
        )
        return peer[0] if peer else ""

    def eof_received(self) -> None:
        if self._until_close:
            self._complete()

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_lost = True
        if exc is not None and self._response is not None:
            self._read_rest()
        self._memory.release(self)
        if self._until_close and exc is None:
            self._complete()
        self._fail(f"connection lost: {exc!r}")
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        # Parser and connection refer to each other, so that what the parser
        # holds would be kept until the next garbage collection.
        del self._parser
        self.is_usable = False
        self._on_released(self)

    def _read_rest(self) -> None:
        """Parses what was received before the connection was lost."""
        for data in read_received(self._transport, MAX_REST_BYTES):
            self.has_received = True
            self._meter.record_received(len(data))
            for start in range(0, len(data), PIECE_BYTES):
                if self._response is not None:
                    self._feed(data[start : start + PIECE_BYTES])

    def pause_writing(self) -> None:
        self._is_writable = False

    def resume_writing(self) -> None:
        self._is_writable = True
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    # Called by the parser.

    def on_message_begin(self) -> None:
        if self._response is None:
            # A second response after the first.
            self._abort_for(CloseReason.UNSOLICITED)
        self._fields = []

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:
            self._fields.append((name, value))

    def on_headers_complete(self) -> None:
        self._status = self._parser.get_status_code()
        if self._is_informational() or self._response is None:
            return
        self._in_head = False
        self._head_bytes = 0
        self._framing.start()
        headers = decode_fields(self._fields)
        try:
            framing = verify_response_head(self._status, headers)
        except InvalidResponseError as exc:
            self._fail_with(exc)
            return
        verdict = self._sequence.judge(
            self._status, headers, framing, to_head=self._to_head
        )
        if verdict is Verdict.REJECT:
            self._fail_mismatch()
            return
        self._is_skipping = verdict is Verdict.SKIP
        if self._is_skipping:
            self._skipped_bytes = 0
            return
        if framing.length is not None and framing.length > MAX_BODY_BYTES:
            self._fail_too_long(
                f"expected a body of {MAX_BODY_BYTES} bytes at most, got "
                f"{framing.length}"
            )
            return
        if self._to_head or not has_body(self._status):
            self._resolve(Response(self._status, headers, b"", 0))
            if self._to_head:
                # The parser waits for the body that the head announces.
                self._reset()
                self._transport.close()
            return
        self._body = IncomingResponseBody(self._transport, self._update_memory)
        self._until_close = not framing.is_chunked and framing.length is None
        length = None if framing.is_chunked else framing.length
        if length is not None and length <= SMALL_BODY_BYTES:
            self._buffered_length = length
            self._buffered_headers = headers
            return
        self._resolve(Response(self._status, headers, self._body, length))

    def on_body(self, piece: bytes) -> None:
        self._framing.record_body(len(piece))
        if self._is_skipping:
            self._skipped_bytes += len(piece)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                self._fail_mismatch()
        else:
            self._pieces.append(piece)

    def on_message_complete(self) -> None:
        if self._status == _SWITCHING:
            self._fail("expected a response, got a switch of protocols")
            return
        if self._is_skipping:
            self._is_skipping = False
            self._in_head = True
        elif not self._is_informational():
            self._complete()

    def _is_informational(self) -> bool:
        return 100 <= self._status < 200

    # End of an exchange.

    def _resolve(self, response: Response) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_result(response)

    def _complete(self) -> None:
        """Completes the response and releases the connection."""
        if self._response is None:
            return
        self._flush_body()
        body, self._body = self._body, None
        if body is not None:
            body.end()
        if self._buffered_length is not None and body is not None:
            content = body.get_buffered()
            self._resolve(
                Response(
                    self._status, self._buffered_headers, content, len(content)
                )
            )
        keeps_alive = not self._until_close and self._parser.should_keep_alive()
        # If the request body was not sent completely, the next request cannot
        # be sent on this connection.
        is_sent = self._body_sender is None or self._body_sender.done()
        self._reset()
        if self._is_lost:
            return
        if self._sequence.close_reason is not None:
            self._abort_for(self._sequence.close_reason)
            return
        if not is_sent:
            # The server may never read what waits to be sent, so that closing
            # in order might not end.
            self.abort()
            return
        if not keeps_alive:
            self._transport.close()
            return
        self._set_user_timeout(USER_TIMEOUT_MS)
        self.idle_since = asyncio.get_running_loop().time()
        self.is_usable = True
        self._on_released(self)

    def _flush_body(self) -> None:
        """Passes the parsed pieces on as one, however small they are."""
        pieces, self._pieces = self._pieces, []
        if pieces and self._body is not None:
            self._body.feed(pieces[0] if len(pieces) == 1 else b"".join(pieces))

    def _reset(self) -> None:
        self._fields = []
        self._pieces = []
        self._report_memory(0)
        if self._body_sender is not None:
            self._body_sender.cancel()
            self._body_sender = None
        self._response = None
        self._buffered_length = None
        self._until_close = False
        self._is_skipping = False
        self._in_head = True

    def _abort_for(self, reason: CloseReason) -> None:
        """Closes the connection at once and counts why."""
        if not self._is_lost and not self._transport.is_closing():
            self._close_counts[reason] += 1
        self.abort()

    def _fail_mismatch(self) -> None:
        """Fails the exchange; the response is that to another request."""
        self._close_counts[CloseReason.FOREIGN] += 1
        self._fail_with(
            ResponseMismatchError("expected the response to the request sent")
        )

    def _fail_too_long(self, reason: str) -> None:
        """Fails the exchange; the response exceeds a limit."""
        self._close_counts[CloseReason.TOO_LONG] += 1
        self._fail_with(ResponseTooLongError(reason))

    def _fail(self, reason: str) -> None:
        """Fails the exchange and closes the connection."""
        self._fail_with(ExchangeBrokenError(reason))

    def _fail_with(self, error: ExchangeBrokenError) -> None:
        if self._body is not None:
            self._body.fail(error)
            self._body = None
        response = self._response
        self._reset()
        if response is not None and not response.done():
            response.set_exception(error)
        self.abort()

    def _send(self, data: bytes) -> None:
        self._transport.write(data)
        self._meter.record_sent(len(data))

    async def _send_body(self, request: Request) -> None:
        """Sends the request body as it arrives."""
        assert isinstance(request.body, BodyStream)
        is_chunked = request.body_bytes is None
        try:
            async for piece in request.body:
                if not piece:
                    continue
                self._send(encode_chunk(piece) if is_chunked else piece)
                if not self._is_writable:
                    loop = asyncio.get_running_loop()
                    self._writable = loop.create_future()
                    await self._writable
            if is_chunked:
                self._send(LAST_CHUNK)
        except asyncio.CancelledError:
            raise
        except Exception as exc:
            # Reading the body failed: the response would be to an incomplete
            # request.
            self._fail(f"reading the request body failed: {exc!r}")
