"""Counts requests in progress, for the planned stop."""

from collections.abc import Callable

import anyio

from radishwind.core import Clock
from radishwind.http import Handler
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http.notifying_stream import NotifyingStream
from radishwind.http.types import BodyStream

_CLOSE = ("Connection", "close")


class RequestsInProgress:
    """Passes requests on and knows when the last one is answered.

    A request counts until its answer is handed over whole, wherever it runs:
    also one that is in flight at another target.
    """

    def __init__(
        self,
        handler: Handler,
        clock: Clock,
        is_counted: Callable[[Request], bool] = lambda request: True,
        make_refusal: Callable[[], Response] | None = None,
    ) -> None:
        """Stands before a handler.

        Args:
          handler: answers the requests.
          clock: times the arrivals.
          is_counted: whether a request is work that a stop waits for.
          make_refusal: makes the answer to what comes too late in a stop.
        """
        self._handler = handler
        self._clock = clock
        self._is_counted = is_counted
        self._count = 0
        self._arrived = clock.monotonic()
        self._make_refusal = make_refusal
        self._closing = False
        self._refusing = False
        self._changed = anyio.Event()

    @property
    def count(self) -> int:
        """Requests in progress."""
        return self._count

    def request_connection_close(self) -> None:
        """Asks senders, with each answer, to use this connection no more."""
        self._closing = True

    def refuse_new_requests(self) -> None:
        """Refuses what comes from now on; what is in progress goes on."""
        self._refusing = True

    async def wait_idle(self) -> None:
        """Returns once no request is in progress."""
        while self._count:
            self._changed = anyio.Event()
            await self._changed.wait()

    async def wait_quiet(self, period_s: float) -> None:
        """Returns once no work has arrived for `period_s` (s).

        Who has not heard of the stop yet still sends. Closing before that
        would cut what was sent and not read, which the sender must take for
        something that may have run.
        """
        while (wait_s := self._quiet_in_s(period_s)) > 0:  # noqa: ASYNC110
            await anyio.sleep(wait_s)

    def _quiet_in_s(self, period_s: float) -> float:
        return self._arrived + period_s - self._clock.monotonic()

    async def handle(self, request: Request) -> Response:
        """Answers one request."""
        if not self._is_counted(request):
            return await self._handler(request)
        if self._refusing and self._make_refusal is not None:
            late = self._make_refusal()
            headers = (*late.headers, _CLOSE)
            return Response(late.status, headers, late.body, late.body_bytes)
        self._count += 1
        self._arrived = self._clock.monotonic()
        try:
            response = await self._handler(request)
        except BaseException:
            self._ended()
            raise
        body = response.body
        if not isinstance(body, BodyStream):
            self._ended()
            if not self._closing:
                return response
        else:
            body = NotifyingStream(body, self._ended)
        headers = response.headers
        if self._closing:
            headers += (_CLOSE,)
        return Response(response.status, headers, body, response.body_bytes)

    def _ended(self) -> None:
        self._count -= 1
        self._changed.set()
