"""Runs pipelined requests of aiohttp in parallel and responds in order.

A caller may pipeline requests, that is, send further ones before the first is
answered. aiohttp parses them but passes each to the handler only after the one
before it is answered. `PipelinedProtocol` starts those early that may safely
run more than once; the responses are written in the order of the requests.

A response with `Connection: close` is the last one: requests behind it are not
processed, and their sender has to send them again. Therefore, while requests
behind such a response are already running, the field moves to the last of
their responses, and nothing is read any more.

aiohttp has no public interface to the requests queued on a connection, so the
attribute `_messages` of its protocol is read here and nowhere else; the tests
of this package send through sockets and fail if it changes.
"""

import asyncio
import collections
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler

from radishwind.http.connection_memory import ConnectionMemory
from radishwind.http.connection_memory import MemoryHolder
from radishwind.http.server import Handler
from radishwind.http.server_connection import MayRunInParallel
from radishwind.http.server_limits import ServerLimits
from radishwind.http.types import abort_body
from radishwind.http.types import Request
from radishwind.http.types import Response

_BODILESS_METHODS = frozenset({"GET", "HEAD"})


class PipelinedProtocol(RequestHandler, MemoryHolder):
    """A connection whose pipelined requests may run in parallel.

    Attributes:
      has_announced_close: whether no further request is processed; the last
        response says `Connection: close`.
    """

    __slots__ = (
        "_close_timer",
        "_early_tasks",
        "_handler",
        "_head_bytes",
        "_is_crowded",
        "_kept_bytes",
        "_limits",
        "_may_run_in_parallel",
        "_memory",
        "_next_request",
        "_payload",
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
        memory: ConnectionMemory,
        **options: Any,
    ) -> None:
        """Creates the protocol of one connection.

        Args:
          manager: the server of aiohttp.
          handler: answers requests.
          limits: of the listener.
          may_run_in_parallel: whether a pipelined request may run before the
            ones ahead of it are answered.
          is_crowded: returns whether the listener has so many connections that
            each response closes its connection.
          memory: bounds what all connections hold.
          **options: of the protocol of aiohttp.
        """
        super().__init__(manager, **options)
        self._handler = handler
        self._limits = limits
        self._may_run_in_parallel = may_run_in_parallel
        self._is_crowded = is_crowded
        # Requests started early, in order: always the first of those queued.
        self._early_tasks: collections.deque[asyncio.Task[Response]] = (
            collections.deque()
        )
        # The request whose response is next.
        self._next_request: Request | None = None
        self._close_timer: asyncio.TimerHandle | None = None
        self._memory = memory
        # Length of the head in progress, and of the body that the handler of
        # the current request keeps in memory (bytes).
        self._head_bytes = self._kept_bytes = 0
        # The body of the latest request.
        self._payload: StreamReader = EMPTY_PAYLOAD
        self.has_announced_close = False

    @property
    def early_count(self) -> int:
        """Number of requests that were started early."""
        return len(self._early_tasks)

    def data_received(self, data: bytes) -> None:
        if self.has_announced_close or self.transport is None:
            return
        if self.transport.is_closing():
            return
        parsed_count = len(self._messages)
        super().data_received(data)
        self._count_head(data, parsed_count)
        if self._messages and self._next_request is not None:
            self.start_early()

    def _count_head(self, data: bytes, parsed_count: int) -> None:
        """Records the length of the head in progress.

        Args:
          data: what was received.
          parsed_count: number of queued requests before.
        """
        if len(self._messages) > parsed_count:
            self._payload = self._messages[-1][1]
            self._head_bytes = 0
        elif self._payload.is_eof():
            self._head_bytes += len(data)
        self._update_memory()

    def record_kept(self, size: int) -> None:
        """Records that the handler keeps `size` more bytes of the body."""
        self._kept_bytes += size
        self._update_memory()

    def _update_memory(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self._memory.update(self, self._head_bytes + self._kept_bytes)

    def close_to_free_memory(self) -> str:
        transport = self.transport
        if transport is None:
            return ""
        peer = transport.get_extra_info("peername")
        transport.abort()
        # The parser keeps the head in progress.
        self._parser = None
        return str(peer[0]) if peer else ""

    def connection_lost(self, exc: BaseException | None) -> None:
        self._memory.release(self)
        for task in self._early_tasks:
            _cancel(task)
        if self._close_timer is not None:
            self._close_timer.cancel()
        super().connection_lost(exc)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        finished = await super().finish_response(request, resp, start_time)
        self._kept_bytes = 0
        self._update_memory()
        if self.has_announced_close and not self._early_tasks:
            # The caller closes first: closing here could reset the connection
            # while the caller still reads the response.
            loop = asyncio.get_running_loop()
            self._close_timer = loop.call_later(
                self._limits.linger_s, self.force_close
            )
        return finished

    async def respond(self, received: Request) -> Response:
        """Returns the response to the request that is next in order."""
        self._next_request = received
        try:
            if self._early_tasks:
                return self._with_connection_field(
                    await self._early_tasks.popleft()
                )
            if self._messages:
                self.start_early()
            return self._with_connection_field(await self._handler(received))
        finally:
            self._next_request = None

    def start_early(self) -> None:
        """Starts the queued requests that may run in parallel."""
        if self._next_request is None or not self._limits.max_pipelined:
            return
        if not self._early_tasks and not self._may_overlap(self._next_request):
            return
        for message, payload in list(self._messages)[len(self._early_tasks) :]:
            if (
                len(self._early_tasks) >= self._limits.max_pipelined
                or self.has_announced_close
            ):
                return
            if not isinstance(message, RawRequestMessage):
                return
            if payload is not EMPTY_PAYLOAD:
                return
            if message.should_close or message.upgrade:
                return
            request = make_request(message, self._next_request.remote)
            if not self._may_overlap(request):
                return
            task = asyncio.get_running_loop().create_task(self._run(request))
            self._early_tasks.append(task)

    def _may_overlap(self, request: Request) -> bool:
        """Returns whether other requests may run at the same time."""
        if request.method not in _BODILESS_METHODS:
            return False
        return self._may_run_in_parallel(request)

    async def _run(self, request: Request) -> Response:
        return await self._handler(request)

    def _with_connection_field(self, response: Response) -> Response:
        """Returns the response; only the last one says `Connection: close`."""
        closes = [x for x in response.headers if _is_close(*x)]
        if (
            not closes
            and not self.has_announced_close
            and not self._is_crowded()
        ):
            return response
        kept = tuple(x for x in response.headers if not _is_close(*x))
        self.announce_close()
        if not self._early_tasks:
            kept += (("Connection", "close"),)
        return Response(
            response.status, kept, response.body, response.body_bytes
        )

    def announce_close(self) -> None:
        """Stops reading requests; drops queued ones that have not started."""
        self.has_announced_close = True
        while len(self._messages) > len(self._early_tasks):
            self._messages.pop()


def make_request(message: RawRequestMessage, remote: str) -> Request:
    """Creates the request from `message`, which has no body."""
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


def _cancel(task: asyncio.Task[Response]) -> None:
    """Cancels a request; aborts a response that will not be read.

    Aborting its body releases the slot that the response holds.
    """
    if not task.cancel() and not task.cancelled() and not task.exception():
        abort_body(task.result().body)


def _is_close(name: str, value: str) -> bool:
    return name.lower() == "connection" and value.lower() == "close"
