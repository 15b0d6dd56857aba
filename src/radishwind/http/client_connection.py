"""One connection of a sender, and the exchange on it.

What comes while no request waits is no answer: the connection is closed, so
that it is never taken for the answer to the next one. An answer without a
length is whole only if its connection was ended in order.
"""

import asyncio
from collections.abc import Callable
from typing import cast

import httptools

from radishwind.http.byte_meter import ByteMeter
from radishwind.http.byte_meter import NO_METER
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.heads import decode_fields
from radishwind.http.heads import encode_chunk
from radishwind.http.heads import has_body
from radishwind.http.heads import LAST_CHUNK
from radishwind.http.heads import parse_framing
from radishwind.http.incoming_body import IncomingBody
from radishwind.http.types import BodyStream
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.http.types import SMALL_BODY_BYTES

#: The longest head of an answer (bytes).
MAX_RESPONSE_HEAD_BYTES = 256 * 1024

_SWITCHING = 101


class ClientConnection(asyncio.Protocol):
    """A connection that carries one exchange at a time.

    Attributes:
      usable: whether a further exchange may begin on it.
      idle_since: when the last exchange ended (s, of the loop).
      answered: whether anything came for the exchange that runs.
    """

    def __init__(
        self,
        released: Callable[["ClientConnection"], None],
        meter: ByteMeter = NO_METER,
    ) -> None:
        """Makes a connection that is not made yet.

        Args:
          released: called once an exchange has ended, or the connection is
            lost; see `usable`.
          meter: counts its bytes.
        """
        self._released = released
        self._meter = meter
        self._transport: asyncio.Transport
        self._parser = httptools.HttpResponseParser(self)
        self._answer: asyncio.Future[Response] | None = None
        self._body: IncomingBody | None = None
        self._pump: asyncio.Task[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._writes = True
        self._fields: list[tuple[bytes, bytes]] = []
        self._status = 0
        self._head_bytes = 0
        self._in_head = True
        self._until_close = False
        self._whole_length: int | None = None
        self._to_head = False
        self._lost = False
        self.usable = True
        self.idle_since = 0.0
        self.answered = False

    # What the sender calls.

    async def exchange(self, head: bytes, request: Request) -> Response:
        """Sends `request` and returns its answer once the head is there.

        Args:
          head: of `request`, as it is written.
          request: what is sent.

        Raises:
          ExchangeBrokenError: the connection broke, or what came is no answer.
        """
        loop = asyncio.get_running_loop()
        self._answer = loop.create_future()
        self._to_head = request.method == "HEAD"
        self.answered = False
        self.usable = False
        if isinstance(request.body, BodyStream):
            self._send(head)
            self._pump = loop.create_task(self._send_body(request))
        else:
            self._send(head + request.body)
        answer = self._answer
        try:
            return await answer
        except BaseException:
            # Given up after its end the connection may carry another already.
            if self._answer is answer:
                self.abort()
            raise

    def abort(self) -> None:
        """Closes the connection at once."""
        self.usable = False
        if not self._lost:
            self._transport.abort()

    # What the event loop calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # A stream's; uvloop's own type is not derived from it.
        self._transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        if self._answer is None:
            # Nobody asked; what is said now is no answer.
            self.abort()
            return
        self.answered = True
        self._meter.record_received(len(data))
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._broke(f"expected an answer of HTTP/1.1: {exc}")
            return
        if self._in_head and self._head_bytes > MAX_RESPONSE_HEAD_BYTES:
            self._broke(
                f"expected a head of {MAX_RESPONSE_HEAD_BYTES} bytes at most"
            )

    def eof_received(self) -> None:
        if self._until_close:
            self._end()

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost = True
        if self._until_close and exc is None:
            self._end()
        self._broke(f"connection lost: {exc!r}")
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self.usable = False
        self._released(self)

    def pause_writing(self) -> None:
        self._writes = False

    def resume_writing(self) -> None:
        self._writes = True
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    # What the parser calls.

    def on_message_begin(self) -> None:
        if self._answer is None:
            # A second answer behind the first.
            self.abort()
        self._fields = []

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:
            self._fields.append((name, value))

    def on_headers_complete(self) -> None:
        self._status = self._parser.get_status_code()
        if self._status < 200 or self._answer is None:
            return
        self._in_head = False
        self._head_bytes = 0
        headers = decode_fields(self._fields)
        framing = parse_framing(headers)
        if not framing.is_unambiguous:
            self._broke("expected a body in chunks or of a told length")
            return
        if self._to_head or not has_body(self._status):
            self._resolve(Response(self._status, headers, b"", 0))
            if self._to_head:
                # The parser waits for the body that the head tells of.
                self._reset()
                self._transport.close()
            return
        self._body = IncomingBody(self._transport)
        self._until_close = not framing.is_chunked and framing.length is None
        length = None if framing.is_chunked else framing.length
        if length is not None and length <= SMALL_BODY_BYTES:
            self._whole_length = length
            self._whole_headers = headers
            return
        self._resolve(Response(self._status, headers, self._body, length))

    def on_body(self, piece: bytes) -> None:
        if self._body is not None:
            self._body.feed(piece)

    def on_message_complete(self) -> None:
        if self._status == _SWITCHING:
            self._broke("expected an answer, got another protocol")
            return
        if self._status >= 200:
            self._end()

    # Ends of an exchange.

    def _resolve(self, response: Response) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(response)

    def _end(self) -> None:
        """Takes that the answer is whole."""
        if self._answer is None:
            return
        body, self._body = self._body, None
        if body is not None:
            body.end()
        if self._whole_length is not None and body is not None:
            whole = body.get_buffered()
            self._resolve(
                Response(self._status, self._whole_headers, whole, len(whole))
            )
        keeps = not self._until_close and self._parser.should_keep_alive()
        # The rest of a body that was not sent whole is due before the next
        # request could be.
        sent = self._pump is None or self._pump.done()
        self._reset()
        if self._lost:
            return
        if not keeps or not sent:
            self._transport.close()
            return
        self.idle_since = asyncio.get_running_loop().time()
        self.usable = True
        self._released(self)

    def _reset(self) -> None:
        if self._pump is not None:
            self._pump.cancel()
            self._pump = None
        self._answer = None
        self._whole_length = None
        self._until_close = False
        self._in_head = True

    def _broke(self, reason: str) -> None:
        """Takes that no answer, or no more of it, will come."""
        error = ExchangeBrokenError(reason)
        if self._body is not None:
            self._body.fail(error)
            self._body = None
        answer = self._answer
        self._reset()
        if answer is not None and not answer.done():
            answer.set_exception(error)
        self.abort()

    def _send(self, data: bytes) -> None:
        self._transport.write(data)
        self._meter.record_sent(len(data))

    async def _send_body(self, request: Request) -> None:
        """Sends the pieces of a body as they come."""
        assert isinstance(request.body, BodyStream)
        in_chunks = request.body_bytes is None
        try:
            async for piece in request.body:
                if not piece:
                    continue
                self._send(encode_chunk(piece) if in_chunks else piece)
                if not self._writes:
                    loop = asyncio.get_running_loop()
                    self._writable = loop.create_future()
                    await self._writable
            if in_chunks:
                self._send(LAST_CHUNK)
        except asyncio.CancelledError:
            raise
        except Exception as exc:
            # The sender of the body failed: the answer will be to a part.
            self._broke(f"the body of the request broke off: {exc!r}")
