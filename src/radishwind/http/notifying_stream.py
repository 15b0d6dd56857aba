"""A stream around another that tells when it ends."""

from collections.abc import AsyncIterator
from collections.abc import Callable

from radishwind.http.types import BodyStream


class NotifyingStream(BodyStream):
    """A stream that calls `ended` once, when it ends or is aborted."""

    def __init__(self, body: BodyStream, ended: Callable[[], None]) -> None:
        self._body = body
        self._ended: Callable[[], None] | None = ended

    async def __aiter__(self) -> AsyncIterator[bytes]:
        try:
            async for piece in self._body:
                yield piece
        finally:
            self._finish()

    def abort(self) -> None:
        self._body.abort()
        self._finish()

    def _finish(self) -> None:
        ended, self._ended = self._ended, None
        if ended is not None:
            ended()
