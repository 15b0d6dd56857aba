"""`Server` based on the low-level web server of aiohttp."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import socket

from aiohttp import HttpVersion11
from aiohttp import web
from aiohttp.web_protocol import RequestPayloadError
from multidict import CIMultiDict

from radishwind.core.codes import ResultCode
from radishwind.core.time_limit import TimeLimit
from radishwind.http.close_watcher import CloseWatcher
from radishwind.http.connection_memory import ConnectionMemory
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.errors import RequestRejectedError
from radishwind.http.pipelined_protocol import PipelinedProtocol
from radishwind.http.problems import make_problem_response
from radishwind.http.rejections import body_too_large_error
from radishwind.http.rejections import rejection_response
from radishwind.http.rejections import sender_too_slow_error
from radishwind.http.reset_on_close import set_reset_on_close
from radishwind.http.server import Handler
from radishwind.http.server import Server
from radishwind.http.server_connection import MayRunInParallel
from radishwind.http.server_limits import ServerLimits
from radishwind.http.types import Address
from radishwind.http.types import BodyStream
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.http.types import SMALL_BODY_BYTES

_SERVER_NAME = "radishwind"

#: Shortest time that `close` waits for requests in progress (s); aiohttp takes
#: 0 for no limit.
_MIN_GRACE_S = 0.01

#: Receive buffer of the kernel for each connection (bytes); it bounds what the
#: event loop reads from one at once.
_RECEIVE_BUFFER_BYTES = 32 * 1024

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class _RequestStream(BodyStream):
    """The body of a request that is being received."""

    def __init__(self, request: web.BaseRequest, limits: ServerLimits) -> None:
        self._request = request
        self._limits = limits
        self._is_kept = False

    def keep(self) -> None:
        self._is_kept = True

    async def __aiter__(self) -> AsyncIterator[bytes]:
        received_bytes = 0
        while True:
            piece = await self._read()
            if not piece:
                return
            received_bytes += len(piece)
            if received_bytes > self._limits.max_body_bytes:
                raise body_too_large_error(self._limits)
            connection = self._request.protocol
            if self._is_kept and isinstance(connection, PipelinedProtocol):
                connection.record_kept(len(piece))
            yield piece

    async def _read(self) -> bytes:
        try:
            with TimeLimit(self._limits.body_timeout_s):
                return await self._request.content.readany()
        except TimeoutError as exc:
            raise sender_too_slow_error(self._limits) from exc
        except (RequestPayloadError, OSError) as exc:
            raise ExchangeBrokenError(
                f"connection lost within the request: {exc!r}"
            ) from exc

    def abort(self) -> None:
        """Does nothing: aiohttp discards the rest after the response."""


class _PrefixedStream(BodyStream):
    """A body stream whose beginning was already read."""

    def __init__(self, beginning: bytes, rest: BodyStream) -> None:
        self._beginning = beginning
        self._rest = rest

    def keep(self) -> None:
        self._rest.keep()

    async def __aiter__(self) -> AsyncIterator[bytes]:
        yield self._beginning
        async for piece in self._rest:
            yield piece

    def abort(self) -> None:
        self._rest.abort()


class _Protocol(PipelinedProtocol):
    """Responds to malformed requests with a numbered result code."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if status == 400:
            code, detail = ResultCode.REQUEST_MALFORMED, message or str(exc)
            outcome = "not-run"
        else:
            code, detail = ResultCode.INTERNAL_ERROR, "The node failed."
            outcome = "unknown"
        response = make_problem_response(code, status, detail, outcome)
        out = _make_response(response)
        if not self.early_count:
            out.force_close()
        return out


class _WebServer(web.Server):
    """Creates `_Protocol` and closes connections above the limit."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        may_run_in_parallel: MayRunInParallel,
        memory: ConnectionMemory,
    ) -> None:
        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            return await _serve(request, limits, self.close_watcher)

        super().__init__(serve, handler_cancellation=True)
        self._handler = handler
        self._limits = limits
        self._may_run_in_parallel = may_run_in_parallel
        self._memory = memory
        self.close_watcher = CloseWatcher()

    def __call__(self) -> PipelinedProtocol:
        return _Protocol(
            self,
            handler=self._handler,
            limits=self._limits,
            may_run_in_parallel=self._may_run_in_parallel,
            is_crowded=self._is_crowded,
            memory=self._memory,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=self._limits.idle_timeout_s,
            access_log=None,  # type: ignore[arg-type]
            max_line_size=self._limits.max_field_bytes,
            max_field_size=self._limits.max_field_bytes,
            max_headers=self._limits.max_fields,
            auto_decompress=False,
            lingering_time=self._limits.linger_s,
        )

    def _is_crowded(self) -> bool:
        threshold = self._limits.max_connections * self._limits.crowded_fraction
        return len(self.connections) > threshold

    def connection_made(  # type: ignore[override]
        self, handler: PipelinedProtocol, transport: asyncio.Transport
    ) -> None:
        super().connection_made(handler, transport)
        if len(self.connections) > self._limits.max_connections:
            transport.abort()


class AiohttpServer(Server):
    """Receives requests with aiohttp; see `Server`."""

    def __init__(
        self,
        limits: ServerLimits,
        may_run_in_parallel: MayRunInParallel | None = None,
        memory: ConnectionMemory | None = None,
    ) -> None:
        """Creates a listener.

        Args:
          limits: limits of connections and requests.
          may_run_in_parallel: whether a pipelined request may run before the
            ones ahead of it are answered; by default none may.
          memory: bounds what the connections of all listeners hold; by default
            only those of this one are counted.
        """
        self._memory = memory or ConnectionMemory()
        self._limits = limits
        self._may_run_in_parallel = may_run_in_parallel or _never
        self._runner: web.ServerRunner | None = None
        self._site: web.SockSite | None = None

    async def start(self, handler: Handler, listen: Address) -> Address:
        server = _WebServer(
            handler, self._limits, self._may_run_in_parallel, self._memory
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0.0)
        await self._runner.setup()
        self._site = web.SockSite(
            self._runner, _listening_socket(listen), backlog=1024
        )
        await self._site.start()
        host, port = self._runner.addresses[0][:2]
        return Address(host, port)

    async def stop_listening(self) -> None:
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def close(self, grace_s: float) -> None:
        if self._runner is None:
            return
        self._runner._shutdown_timeout = max(grace_s, _MIN_GRACE_S)
        await self._runner.cleanup()
        self._runner = None


def _listening_socket(listen: Address) -> socket.socket:
    """Returns a socket whose connections receive little at once."""
    family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    sock.bind(tuple(listen))
    return sock


def _never(request: Request) -> bool:
    return False


async def _serve(
    request: web.BaseRequest, limits: ServerLimits, close_watcher: CloseWatcher
) -> web.StreamResponse:
    try:
        received = await _read_request(request, limits)
    except RequestRejectedError as exc:
        return _rejection(exc)
    connection = request.protocol
    assert isinstance(connection, PipelinedProtocol)
    if isinstance(received.body, BodyStream):
        # aiohttp reads a body no further than its reader allows.
        with _watching(close_watcher, _transport(request)):
            response = await connection.respond(received)
    else:
        response = await connection.respond(received)
    if isinstance(response.body, BodyStream):
        return await _stream(request, response, response.body)
    return _make_response(response, request.method == "HEAD")


@contextlib.contextmanager
def _watching(
    close_watcher: CloseWatcher, transport: asyncio.Transport
) -> Iterator[None]:
    """Aborts the connection, and so its request, if its peer closes it."""
    close_watcher.watch(transport, transport.abort)
    try:
        yield
    finally:
        close_watcher.unwatch(transport)


async def _read_request(
    request: web.BaseRequest, limits: ServerLimits
) -> Request:
    length = request.content_length
    if length is not None and length > limits.max_body_bytes:
        raise body_too_large_error(limits)
    headers = [
        (key.decode("ascii"), value.decode("utf-8", "surrogateescape"))
        for key, value in request.raw_headers
    ]
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(_CONTINUE)
    body: bytes | BodyStream = b""
    if not request.body_exists:
        length = 0
    elif length is not None and length <= SMALL_BODY_BYTES:
        body = await _read_small_body(request, limits)
    elif length is None:
        body, length = await _read_unsized_body(request, limits)
    else:
        body = _RequestStream(request, limits)
    return Request(
        request.method,
        request.raw_path,
        tuple(headers),
        body,
        length,
        request.remote or "",
    )


async def _read_unsized_body(
    request: web.BaseRequest, limits: ServerLimits
) -> tuple[bytes | BodyStream, int | None]:
    """Returns a body of unknown length, buffered if it is small.

    Only a buffered body can be sent again. A larger one is streamed after the
    part already read.
    """
    stream = _RequestStream(request, limits)
    pieces: list[bytes] = []
    size = 0
    try:
        async for piece in stream:
            pieces.append(piece)
            size += len(piece)
            if size > SMALL_BODY_BYTES:
                return _PrefixedStream(b"".join(pieces), stream), None
    except ExchangeBrokenError as exc:
        raise RequestRejectedError(
            "expected a complete body, got a part of it"
        ) from exc
    return b"".join(pieces), size


async def _read_small_body(
    request: web.BaseRequest, limits: ServerLimits
) -> bytes:
    content = request.content
    if content.is_eof() or content.total_bytes == request.content_length:
        return await content.read(-1)
    try:
        with TimeLimit(limits.body_timeout_s):
            return await content.read(-1)
    except TimeoutError as exc:
        raise sender_too_slow_error(limits) from exc
    except (RequestPayloadError, OSError) as exc:
        raise RequestRejectedError(
            "expected a complete body, got a part of it"
        ) from exc


def _rejection(exc: RequestRejectedError) -> web.Response:
    response = rejection_response(exc)
    out = _make_response(response)
    out.force_close()
    return out


def _make_response(response: Response, head: bool = False) -> web.Response:
    headers = CIMultiDict(response.headers)
    if not head:
        headers.popall("Content-Length", None)
    headers.setdefault("Server", _SERVER_NAME)
    assert isinstance(response.body, bytes)
    return web.Response(
        status=response.status, headers=headers, body=response.body
    )


def _transport(request: web.BaseRequest) -> asyncio.Transport:
    """Returns the transport of the connection.

    Raises:
      ExchangeBrokenError: the connection is lost.
    """
    transport = request.transport
    if transport is None:
        raise ExchangeBrokenError("the caller has disconnected")
    return transport


async def _stream(
    request: web.BaseRequest, response: Response, body: BodyStream
) -> web.StreamResponse:
    headers = CIMultiDict(response.headers)
    headers.setdefault("Server", _SERVER_NAME)
    out = web.StreamResponse(status=response.status, headers=headers)
    ends_with_connection = (
        request.version < HttpVersion11 and "Content-Length" not in headers
    )
    try:
        if ends_with_connection:
            set_reset_on_close(_transport(request), is_enabled=True)
        await out.prepare(request)
        async for piece in body:
            await out.write(piece)
        await out.write_eof()
        if ends_with_connection:
            await request.writer.drain()
            set_reset_on_close(_transport(request), is_enabled=False)
    except BaseException as exc:
        # The connection to the caller is aborted, so that the caller does not
        # mistake a partial response for a complete one.
        body.abort()
        with contextlib.suppress(AttributeError):
            request.transport.abort()  # type: ignore[union-attr]
        if not isinstance(exc, ExchangeBrokenError | OSError):
            raise
    return out
