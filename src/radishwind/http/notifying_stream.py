"""A body stream that reports its end."""

from collections.abc import AsyncIterator
from collections.abc import Callable

from radishwind.http.types import BodyStream


class NotifyingStream(BodyStream):
    """Wraps a stream and calls `on_ended` once, at its end or abort."""

    def __init__(self, body: BodyStream, on_ended: Callable[[], None]) -> None:
        self._body = body
        self._on_ended: Callable[[], None] | None = on_ended

    async def __aiter__(self) -> AsyncIterator[bytes]:
        try:
            async for piece in self._body:
                yield piece
        finally:
            self._finish()

    @property
    def is_fully_buffered(self) -> bool:
        return self._body.is_fully_buffered

    def abort(self) -> None:
        self._body.abort()
        self._finish()

    def _finish(self) -> None:
        on_ended, self._on_ended = self._on_ended, None
        if on_ended is not None:
            on_ended()
