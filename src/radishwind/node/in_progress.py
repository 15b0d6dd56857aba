"""Counts callers' requests in progress, for the planned stop."""

import anyio

from radishwind.http import Handler
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http.streams import NotifyingStream
from radishwind.http.types import BodyStream

_CLOSE = ("Connection", "close")


class CallersInProgress:
    """Passes callers' requests on and knows when the last one is answered.

    A request counts until its answer is handed over whole, wherever it runs:
    also one that is in flight at another target.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._count = 0
        self._closing = False
        self._changed = anyio.Event()

    @property
    def count(self) -> int:
        """Requests in progress."""
        return self._count

    def ask_to_close(self) -> None:
        """Asks callers, with each answer, to use this connection no more."""
        self._closing = True

    async def finished(self) -> None:
        """Returns once no request is in progress."""
        while self._count:
            self._changed = anyio.Event()
            await self._changed.wait()

    async def handle(self, request: Request) -> Response:
        """Answers one request."""
        self._count += 1
        try:
            response = await self._handler(request)
        except BaseException:
            self._ended()
            raise
        headers = response.headers
        if self._closing:
            headers += (_CLOSE,)
        body = response.body
        if isinstance(body, BodyStream):
            body = NotifyingStream(body, self._ended)
        else:
            self._ended()
        return Response(response.status, headers, body, response.body_bytes)

    def _ended(self) -> None:
        self._count -= 1
        self._changed.set()
