"""Writes responses to a connection with flow control."""

import asyncio
from collections.abc import Callable

from radishwind.http.byte_meter import ByteMeter
from radishwind.http.byte_meter import NO_METER
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.heads import encode_chunk
from radishwind.http.heads import encode_response_head
from radishwind.http.heads import has_body
from radishwind.http.heads import LAST_CHUNK
from radishwind.http.heads import MalformedHeadError
from radishwind.http.reset_on_close import set_reset_on_close
from radishwind.http.send_queue import unaccepted_bytes
from radishwind.http.types import abort_body
from radishwind.http.types import BodyStream
from radishwind.http.types import get_header
from radishwind.http.types import Response


class ResponseWriter:
    """Writes responses to one connection, one at a time.

    A response that cannot be written completely aborts the connection, so that
    its receiver cannot mistake it for a complete one.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        timeout_s: float,
        on_stalled: Callable[[], None],
        meter: ByteMeter = NO_METER,
    ) -> None:
        """Creates the writer of a connection.

        Args:
          transport: of the connection.
          timeout_s: time within which the receiver must accept some of what
            waits to be sent (s); otherwise the connection is aborted.
          on_stalled: called before that.
          meter: counts the bytes sent.
        """
        self._transport = transport
        self._timeout_s = timeout_s
        self._on_stalled = on_stalled
        self._meter = meter
        self._unaccepted_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._is_writable = True
        self._is_lost = False
        self._writable: asyncio.Future[None] | None = None

    @property
    def is_writable(self) -> bool:
        """Whether the receiver accepts what is written."""
        return self._is_writable

    def pause(self) -> None:
        """Pauses writing; the write buffer of the transport is full."""
        self._is_writable = False
        self._expect_progress()

    def resume(self) -> None:
        """Resumes writing; the write buffer has drained."""
        self._is_writable = True
        self._stop_timer()
        self._wake()

    def set_lost(self) -> None:
        """Records that the connection is lost."""
        self._is_lost = True
        self._stop_timer()
        self._wake()

    def _expect_progress(self) -> None:
        """Aborts the connection unless the receiver accepts some bytes."""
        self._unaccepted_bytes = unaccepted_bytes(self._transport)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._timeout_s, self._check_progress)

    def _check_progress(self) -> None:
        if unaccepted_bytes(self._transport) < self._unaccepted_bytes:
            self._expect_progress()
            return
        self._on_stalled()
        self._transport.abort()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    async def write(
        self, response: Response, *, to_head: bool, accepts_chunks: bool
    ) -> bool:
        """Writes a response and returns whether it was written completely.

        Args:
          response: what to write.
          to_head: whether the request was a HEAD request.
          accepts_chunks: whether the receiver supports chunked encoding.
        """
        try:
            head, is_chunked = encode_response_head(
                response, to_head=to_head, accepts_chunks=accepts_chunks
            )
        except MalformedHeadError:
            abort_body(response.body)
            self._transport.abort()
            return False
        body = response.body
        ends_with_connection = (
            isinstance(body, BodyStream)
            and not accepts_chunks
            and get_header(response.headers, "content-length") is None
        )
        if ends_with_connection:
            set_reset_on_close(self._transport, is_enabled=True)
        if isinstance(body, bytes):
            bodiless = to_head or not has_body(response.status)
            self._send(head if bodiless else head + body)
        elif not await self._stream(head, body, is_chunked):
            return False
        if not self._is_writable:
            await self._wait_writable()
        if self._is_lost:
            return False
        if ends_with_connection:
            set_reset_on_close(self._transport, is_enabled=False)
        return True

    async def _stream(
        self, head: bytes, body: BodyStream, is_chunked: bool
    ) -> bool:
        """Returns whether the body was received and sent to its end."""
        try:
            self._send(head)
            async for piece in body:
                if self._is_lost:
                    raise ExchangeBrokenError("the caller has disconnected")
                if piece:
                    self._send(encode_chunk(piece) if is_chunked else piece)
                if not self._is_writable:
                    await self._wait_writable()
            if is_chunked:
                self._send(LAST_CHUNK)
        except BaseException as exc:
            body.abort()
            self._transport.abort()
            if not isinstance(exc, ExchangeBrokenError | OSError):
                raise
            return False
        return True

    def _send(self, data: bytes) -> None:
        self._transport.write(data)
        self._meter.record_sent(len(data))

    def _wake(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    async def _wait_writable(self) -> None:
        """Waits until the write buffer drains or the connection is lost."""
        if self._is_lost:
            return
        self._writable = asyncio.get_running_loop().create_future()
        await self._writable
