"""The body of a message that is still arriving."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable

from radishwind.http.types import BodyStream

#: Bytes held for a slow reader; beyond them nothing more is read (bytes).
HIGH_WATER_BYTES = 128 * 1024


class IncomingBody(BodyStream):
    """Pieces as they come; its reader's pace is the sender's.

    Attributes:
      complete: whether its end has come.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        asked: Callable[[], None] | None = None,
    ) -> None:
        """Makes a body of which nothing has come.

        Args:
          transport: of the connection that it comes from.
          asked: called once somebody begins to read it.
        """
        self._transport = transport
        self._asked = asked
        self._begun = False
        self._pieces: list[bytes] = []
        self._held = 0
        self._paused = False
        self._discards = False
        self._error: BaseException | None = None
        self._news: asyncio.Future[None] | None = None
        self.complete = False

    def feed(self, piece: bytes) -> None:
        """Takes a piece."""
        if self._discards:
            return
        self._pieces.append(piece)
        self._held += len(piece)
        if self._held > HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._tell()

    def end(self) -> None:
        """Takes that the end has come."""
        self.complete = True
        self._resume()
        self._tell()

    def fail(self, error: BaseException) -> None:
        """Takes that no more will come; the reader gets `error`."""
        if not self.complete and self._error is None:
            self._error = error
            self._tell()

    def discard(self) -> None:
        """Throws away what is there and what comes."""
        self._discards = True
        self._pieces.clear()
        self._resume()

    def taken(self) -> bytes:
        """Returns the whole of a body whose end has come."""
        return self._pieces[0] if len(self._pieces) == 1 else self._joined()

    @property
    def is_unread(self) -> bool:
        return not self._begun and not self._discards

    async def __aiter__(self) -> AsyncIterator[bytes]:
        whole = False
        self._begun = True
        if self._asked is not None and not self._held:
            self._asked()
        try:
            while True:
                while self._pieces:
                    yield self._next()
                if self._error is not None:
                    raise self._error
                if self.complete:
                    break
                self._news = asyncio.get_running_loop().create_future()
                await self._news
            whole = True
        finally:
            if not whole:
                self.abort()

    def abort(self) -> None:
        self._pieces.clear()
        # After its end the connection may carry another exchange already.
        if not self.complete:
            self._transport.abort()

    def _joined(self) -> bytes:
        return b"".join(self._pieces)

    def _next(self) -> bytes:
        """Returns what is there, as one piece."""
        pieces = self.taken()
        self._pieces.clear()
        self._held = 0
        self._resume()
        return pieces

    def _resume(self) -> None:
        if not self._paused:
            return
        self._paused = False
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _tell(self) -> None:
        news, self._news = self._news, None
        if news is not None and not news.done():
            news.set_result(None)
