"""Writes answers to a connection, as fast as its reader takes them."""

import asyncio

from radishwind.http.byte_meter import ByteMeter
from radishwind.http.byte_meter import NO_METER
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.heads import encode_chunk
from radishwind.http.heads import encode_response_head
from radishwind.http.heads import has_body
from radishwind.http.heads import LAST_CHUNK
from radishwind.http.heads import MalformedHeadError
from radishwind.http.types import abort_body
from radishwind.http.types import BodyStream
from radishwind.http.types import Response


class ResponseWriter:
    """Writes one answer after the other.

    What can't be written whole cuts the connection: it must not end neatly.
    """

    def __init__(
        self, transport: asyncio.Transport, meter: ByteMeter = NO_METER
    ) -> None:
        self._transport = transport
        self._meter = meter
        self._writes = True
        self._lost = False
        self._writable: asyncio.Future[None] | None = None

    def pause(self) -> None:
        """Takes that the reader is slow."""
        self._writes = False

    def resume(self) -> None:
        """Takes that the reader has read enough."""
        self._writes = True
        self._wake()

    def lose(self) -> None:
        """Takes that the connection is lost."""
        self._lost = True
        self._wake()

    async def write(
        self, response: Response, *, to_head: bool, chunks: bool
    ) -> bool:
        """Returns whether the answer was written to its end.

        Args:
          response: the answer.
          to_head: whether it answers a HEAD.
          chunks: whether the reader reads chunks.
        """
        try:
            head, in_chunks = encode_response_head(
                response, to_head=to_head, chunks=chunks
            )
        except MalformedHeadError:
            abort_body(response.body)
            self._transport.abort()
            return False
        body = response.body
        if isinstance(body, bytes):
            bodiless = to_head or not has_body(response.status)
            self._send(head if bodiless else head + body)
        elif not await self._stream(head, body, in_chunks):
            return False
        if not self._writes:
            await self._until_writable()
        return not self._lost

    async def _stream(
        self, head: bytes, body: BodyStream, in_chunks: bool
    ) -> bool:
        """Returns whether the body came and was sent to its end."""
        try:
            self._send(head)
            async for piece in body:
                if self._lost:
                    raise ExchangeBrokenError("the caller has left")
                if piece:
                    self._send(encode_chunk(piece) if in_chunks else piece)
                if not self._writes:
                    await self._until_writable()
            if in_chunks:
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

    async def _until_writable(self) -> None:
        """Waits until a slow reader has read enough."""
        if self._lost:
            return
        self._writable = asyncio.get_running_loop().create_future()
        await self._writable
