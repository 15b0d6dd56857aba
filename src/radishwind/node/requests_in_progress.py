"""Counts requests in progress, so that a planned stop can drain them."""

from collections.abc import Callable

import anyio

from radishwind.core import Clock
from radishwind.http import Handler
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http.notifying_stream import NotifyingStream
from radishwind.http.types import BodyStream

_CLOSE = ("Connection", "close")

#: After a stall of the event loop, timers run before requests are read. Each
#: step lets the loop accept connections or read from them.
_READ_STEPS = 5
_READ_STEP_S = 0.01


class RequestsInProgress:
    """Wraps a handler and tracks when its last request has ended.

    A request is in progress until its response has been handed over
    completely, even if it runs at another target.
    """

    def __init__(
        self,
        handler: Handler,
        clock: Clock,
        is_counted: Callable[[Request], bool] = lambda request: True,
        make_refusal: Callable[[], Response] | None = None,
    ) -> None:
        """Wraps a handler.

        Args:
          handler: handles the requests.
          clock: times the arrivals.
          is_counted: whether a stop waits for a request. Others are passed on
            without being counted or refused, and their responses don't request
            to close the connection.
          make_refusal: creates the response to requests that are refused; by
            default none is refused.
        """
        self._handler = handler
        self._clock = clock
        self._is_counted = is_counted
        self._count = 0
        self._last_arrival = clock.monotonic()
        self._make_refusal = make_refusal
        self._is_closing = False
        self._is_refusing = False
        self._ended = anyio.Event()

    @property
    def count(self) -> int:
        """Number of requests in progress."""
        return self._count

    def request_connection_close(self) -> None:
        """Adds `Connection: close` to each response from now on."""
        self._is_closing = True

    def refuse_new_requests(self) -> None:
        """Refuses requests from now on; those in progress continue."""
        self._is_refusing = True

    async def wait_idle(self) -> None:
        """Returns once no request is in progress."""
        while self._count:
            self._ended = anyio.Event()
            await self._ended.wait()

    async def wait_quiet(self, period_s: float) -> None:
        """Returns once no counted request has arrived for `period_s` (s).

        Senders that don't know of the stop yet continue to send. Closing the
        connections earlier would lose requests that were sent but not read,
        and their senders would have to assume that they may have run.
        """
        await self.read_arrivals()
        while (wait_s := self._remaining_s(period_s)) > 0:
            await anyio.sleep(wait_s)
            await self.read_arrivals()

    async def read_arrivals(self) -> None:
        """Lets the event loop read what arrived while it did not run."""
        for _ in range(_READ_STEPS):
            await anyio.sleep(_READ_STEP_S)

    def _remaining_s(self, period_s: float) -> float:
        return self._last_arrival + period_s - self._clock.monotonic()

    async def handle(self, request: Request) -> Response:
        """Passes a request to the handler, unless it is refused."""
        if not self._is_counted(request):
            return await self._handler(request)
        if self._is_refusing and self._make_refusal is not None:
            refusal = self._make_refusal()
            headers = (*refusal.headers, _CLOSE)
            return Response(
                refusal.status, headers, refusal.body, refusal.body_bytes
            )
        self._count += 1
        self._last_arrival = self._clock.monotonic()
        try:
            response = await self._handler(request)
        except BaseException:
            self._end_request()
            raise
        body = response.body
        if not isinstance(body, BodyStream):
            self._end_request()
            if not self._is_closing:
                return response
        else:
            body = NotifyingStream(body, self._end_request)
        headers = response.headers
        if self._is_closing:
            headers += (_CLOSE,)
        return Response(response.status, headers, body, response.body_bytes)

    def _end_request(self) -> None:
        self._count -= 1
        self._ended.set()
