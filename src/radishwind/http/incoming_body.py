"""The body of a message that is being received.

The connection of a response belongs to whoever reads its body: without a reader
it is closed. The connection of a request belongs to its listener, which still
has to respond: without a reader the rest of the body is discarded.
"""

import abc
import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable

from radishwind.http.read_gate import PauseReason
from radishwind.http.read_gate import ReadGate
from radishwind.http.types import BodyStream

#: Bytes buffered for a slow reader; above this, reading from the connection
#: pauses.
HIGH_WATER_BYTES = 128 * 1024


class IncomingBody(BodyStream, abc.ABC):
    """Yields a body as it arrives; a slow reader slows the sender down.

    Attributes:
      is_complete: whether the end of the body was received.
      is_kept: whether its reader keeps what it reads in memory.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        on_read: Callable[[], None] | None = None,
        gate: ReadGate | None = None,
    ) -> None:
        """Creates a body of which nothing was received yet.

        Args:
          transport: of the connection that the body is received on.
          on_read: called when somebody starts to read a body of which nothing
            was received yet.
          gate: pauses reading from the connection; by default only this body
            does so.
        """
        self._gate = gate or ReadGate(transport)
        self._on_read = on_read
        self._is_reading = False
        self._pieces: list[bytes] = []
        self._buffered_bytes = 0
        # What was read but is still kept by its reader.
        self._kept_bytes = 0
        self.is_kept = False
        self._is_discarding = False
        self._error: BaseException | None = None
        self._changed: asyncio.Future[None] | None = None
        self.is_complete = False

    def feed(self, piece: bytes) -> None:
        """Adds a received piece."""
        if self._is_discarding:
            return
        self._pieces.append(piece)
        self._buffered_bytes += len(piece)
        if self._buffered_bytes > HIGH_WATER_BYTES:
            self._gate.pause(PauseReason.BODY)
        self._wake()

    def end(self) -> None:
        """Marks the body as received completely."""
        self.is_complete = True
        self._gate.resume(PauseReason.BODY)
        self._wake()

    def fail(self, error: BaseException) -> None:
        """Ends an incomplete body; the reader gets `error`."""
        if not self.is_complete and self._error is None:
            self._error = error
            self._wake()

    def discard(self) -> None:
        """Discards what is buffered and what is received from now on."""
        self._is_discarding = True
        self._pieces.clear()
        self._buffered_bytes = 0
        self._gate.resume(PauseReason.BODY)

    def drop(self, error: BaseException) -> None:
        """Frees the body for good; a reader of it gets `error`."""
        self._error = error
        self.discard()
        self._wake()

    def claim(self) -> None:
        self._is_reading = True

    @property
    def is_dropped(self) -> bool:
        return self._error is not None

    def get_buffered(self) -> bytes:
        """Returns the buffered pieces as one; all of a complete unread body."""
        return self._pieces[0] if len(self._pieces) == 1 else self._join()

    @property
    def held_bytes(self) -> int:
        """Bytes that are buffered here, or kept by a reader that says so."""
        return self._buffered_bytes + self._kept_bytes

    def keep(self) -> None:
        self.is_kept = True

    @property
    def is_unread(self) -> bool:
        return not self._is_reading and not self._is_discarding

    async def __aiter__(self) -> AsyncIterator[bytes]:
        is_finished = False
        self._is_reading = True
        if self._on_read is not None and not self._buffered_bytes:
            self._on_read()
        try:
            while True:
                while self._pieces:
                    yield self._take_buffered()
                if self._error is not None:
                    raise self._error
                if self.is_complete:
                    break
                self._changed = asyncio.get_running_loop().create_future()
                await self._changed
            is_finished = True
        finally:
            # After an error the connection ends by itself, or still gets the
            # response to a request that was rejected.
            if not is_finished and self._error is None:
                self.abort()

    def _join(self) -> bytes:
        return b"".join(self._pieces)

    def _take_buffered(self) -> bytes:
        """Removes and returns the buffered pieces as one."""
        pieces = self.get_buffered()
        if self.is_kept:
            self._kept_bytes += self._buffered_bytes
        self._pieces.clear()
        self._buffered_bytes = 0
        self._gate.resume(PauseReason.BODY)
        return pieces

    def _wake(self) -> None:
        changed, self._changed = self._changed, None
        if changed is not None and not changed.done():
            changed.set_result(None)


class IncomingRequestBody(IncomingBody):
    """The body of a request, on a connection of a listener."""

    def abort(self) -> None:
        self.discard()


class IncomingResponseBody(IncomingBody):
    """The body of a response, on a connection of a sender."""

    def __init__(
        self, transport: asyncio.Transport, on_kept: Callable[[], None]
    ) -> None:
        """Creates a body of which nothing was received yet.

        Args:
          transport: of the connection that the body is received on.
          on_kept: called when a reader announces that it keeps what it reads.
        """
        super().__init__(transport)
        self._transport = transport
        self._on_kept = on_kept

    def keep(self) -> None:
        super().keep()
        self._on_kept()

    def abort(self) -> None:
        self._pieces.clear()
        # Once the body is complete, the connection may already serve another
        # exchange.
        if not self.is_complete:
            self._transport.abort()
