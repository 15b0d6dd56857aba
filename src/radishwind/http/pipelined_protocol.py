"""Runs pipelined requests before their turn and answers them in order.

A caller may send further requests on a connection before the first one is
answered. The library below reads them, and hands each to the handler once the
one before it is answered. `PipelinedProtocol` runs those that may run more than
once at the same time; each answer waits for its turn on the connection.

An answer that closes the connection is the last one: what stands behind it was
not read, and its sender sends it again. So such an answer waits for the ones
that already run behind it, and nothing is read after it.

The library has no public way to look at requests that wait on a connection, so
`_messages` of its protocol is read here and nowhere else; the tests beside send
through sockets and fail if it changes.
"""

import asyncio
import collections
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler

from radishwind.http.server import Handler
from radishwind.http.server_connection import MayRunInParallel
from radishwind.http.server_limits import ServerLimits
from radishwind.http.types import abort_body
from radishwind.http.types import Request
from radishwind.http.types import Response

_BODILESS_METHODS = frozenset({"GET", "HEAD"})


class PipelinedProtocol(RequestHandler):
    """A connection whose pipelined requests may run at once.

    Attributes:
      has_announced_close: whether its last answer said that it closes.
    """

    __slots__ = (
        "_ahead",
        "_handler",
        "_in_turn",
        "_is_crowded",
        "_limits",
        "_linger",
        "_may_run_in_parallel",
        "has_announced_close",
    )

    def __init__(
        self,
        manager: web.Server,
        *,
        handler: Handler,
        limits: ServerLimits,
        may_run_in_parallel: MayRunInParallel,
        is_crowded: Callable[[], bool],
        **options: Any,
    ) -> None:
        """Makes the protocol of one connection.

        Args:
          manager: the library's server.
          handler: answers requests.
          limits: of the listener.
          may_run_in_parallel: decides which requests need not wait.
          is_crowded: returns whether the listener has connections enough, so
            that each answer is the last one on its connection.
          **options: of the library's protocol.
        """
        super().__init__(manager, **options)
        self._handler = handler
        self._limits = limits
        self._may_run_in_parallel = may_run_in_parallel
        self._is_crowded = is_crowded
        # Requests that began before their turn, in the order of their turns:
        # always the first ones that wait.
        self._ahead: collections.deque[asyncio.Task[Response]] = (
            collections.deque()
        )
        # The request whose turn it is.
        self._in_turn: Request | None = None
        self._linger: asyncio.TimerHandle | None = None
        self.has_announced_close = False

    @property
    def runs_ahead(self) -> int:
        """Requests that began before their turn."""
        return len(self._ahead)

    def data_received(self, data: bytes) -> None:
        if self.has_announced_close:
            return
        super().data_received(data)
        if self._messages and self._in_turn is not None:
            self.start_ahead()

    def connection_lost(self, exc: BaseException | None) -> None:
        for task in self._ahead:
            _give_up(task)
        if self._linger is not None:
            self._linger.cancel()
        super().connection_lost(exc)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        finished = await super().finish_response(request, resp, start_time)
        if self.has_announced_close and not self._ahead:
            # The caller closes; closing first could reset what it still reads.
            loop = asyncio.get_running_loop()
            self._linger = loop.call_later(
                self._limits.linger_s, self.force_close
            )
        return finished

    async def answer(self, received: Request) -> Response:
        """Returns the answer to the request whose turn it is."""
        self._in_turn = received
        try:
            if self._ahead:
                return self._in_order(await self._ahead.popleft())
            if self._messages:
                self.start_ahead()
            return self._in_order(await self._handler(received))
        finally:
            self._in_turn = None

    def start_ahead(self) -> None:
        """Begins the waiting requests that need not wait for their turn."""
        if self._in_turn is None or not self._limits.max_pipelined:
            return
        if not self._ahead and not self._is_read(self._in_turn):
            return
        for message, payload in list(self._messages)[len(self._ahead) :]:
            if (
                len(self._ahead) >= self._limits.max_pipelined
                or self.has_announced_close
            ):
                return
            if not isinstance(message, RawRequestMessage):
                return
            if payload is not EMPTY_PAYLOAD:
                return
            if message.should_close or message.upgrade:
                return
            request = read_head(message, self._in_turn.remote)
            if not self._is_read(request):
                return
            task = asyncio.get_running_loop().create_task(self._run(request))
            self._ahead.append(task)

    def _is_read(self, request: Request) -> bool:
        """Returns whether others may run beside `request`."""
        if request.method not in _BODILESS_METHODS:
            return False
        return self._may_run_in_parallel(request)

    async def _run(self, request: Request) -> Response:
        return await self._handler(request)

    def _in_order(self, response: Response) -> Response:
        """Returns the answer whose turn it is; only the last one closes."""
        closes = [x for x in response.headers if _closes(*x)]
        if (
            not closes
            and not self.has_announced_close
            and not self._is_crowded()
        ):
            return response
        kept = tuple(x for x in response.headers if not _closes(*x))
        self.stop_reading()
        if not self._ahead:
            kept += (("Connection", "close"),)
        return Response(
            response.status, kept, response.body, response.body_bytes
        )

    def stop_reading(self) -> None:
        """Reads no further request; what waits and has not begun is dropped."""
        self.has_announced_close = True
        while len(self._messages) > len(self._ahead):
            self._messages.pop()


def read_head(message: RawRequestMessage, remote: str) -> Request:
    """Returns the request of `message`, which has no body."""
    return Request(
        message.method,
        message.path,
        tuple(
            (key.decode("ascii"), value.decode("utf-8", "surrogateescape"))
            for key, value in message.raw_headers
        ),
        b"",
        0,
        remote,
    )


def _give_up(task: asyncio.Task[Response]) -> None:
    """Cancels a request; an answer nobody will read gives its slot back."""
    if not task.cancel() and not task.cancelled() and not task.exception():
        abort_body(task.result().body)


def _closes(name: str, value: str) -> bool:
    return name.lower() == "connection" and value.lower() == "close"
