"""`Server` based on hypercorn, through ASGI."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import socket
from typing import Any
from typing import TypeAlias

import anyio
import anyio.abc
from hypercorn.asyncio import serve
from hypercorn.config import Config
import msgspec

from radishwind.core.codes import ResultCode
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.problems import make_problem_response
from radishwind.http.server import Handler
from radishwind.http.server import Server
from radishwind.http.server_limits import ServerLimits
from radishwind.http.types import Address
from radishwind.http.types import BodyStream
from radishwind.http.types import get_header
from radishwind.http.types import read_body
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.http.types import SMALL_BODY_BYTES

_Receive: TypeAlias = Callable[[], Awaitable[dict[str, Any]]]
_Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]


class _RequestStream(BodyStream):
    """The body of a request that is being received."""

    def __init__(self, receive: _Receive) -> None:
        self._receive = receive
        self._is_complete = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        while not self._is_complete:
            message = await self._receive()
            if message["type"] != "http.request":
                raise ExchangeBrokenError("connection lost within the request")
            self._is_complete = not message.get("more_body", False)
            yield message.get("body", b"")

    async def discard_rest(self, timeout_s: float) -> None:
        """Reads and discards the rest, for `timeout_s` at most.

        hypercorn closes the connection after a response to an incomplete
        request, which would reset it before its sender has read the response.
        """
        with anyio.move_on_after(timeout_s):
            while not self._is_complete:
                message = await self._receive()
                self._is_complete = not message.get("more_body", False)

    def abort(self) -> None:
        """Does nothing: the rest is discarded after the response."""


class HypercornServer(Server):
    """Receives requests with hypercorn; see `Server`."""

    def __init__(self, limits: ServerLimits) -> None:
        self._limits = limits
        self._stop = anyio.Event()
        self._done = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._cfg = Config()

    async def start(self, handler: Handler, listen: Address) -> Address:
        listener = socket.create_server(listen, backlog=1024)
        listener.setblocking(False)
        host, port = listener.getsockname()[:2]
        self._cfg.bind = [f"fd://{listener.detach()}"]
        self._cfg.keep_alive_timeout = self._limits.idle_timeout_s
        self._cfg.keep_alive_max_requests = 2**31
        self._cfg.accesslog = None
        self._cfg.errorlog = None
        self._cfg.include_server_header = False
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        self._tasks.start_soon(self._serve, handler)
        return Address(host, port)

    async def _serve(self, handler: Handler) -> None:
        async def app(
            scope: dict[str, Any], receive: _Receive, send: _Send
        ) -> None:
            if scope["type"] == "http":
                stream = _RequestStream(receive)
                await _exchange(handler, scope, stream, send, self._limits)

        try:
            await serve(app, self._cfg, shutdown_trigger=self._stop.wait)  # type: ignore[arg-type]
        finally:
            self._done.set()

    async def stop_listening(self) -> None:
        self._stop.set()

    async def close(self, grace_s: float) -> None:
        if self._tasks is None:
            return
        self._cfg.graceful_timeout = grace_s
        self._stop.set()
        with anyio.move_on_after(grace_s + 1.0):
            await self._done.wait()
        self._tasks.cancel_scope.cancel()
        await self._tasks.__aexit__(None, None, None)
        self._tasks = None


async def _exchange(
    handler: Handler,
    scope: dict[str, Any],
    stream: _RequestStream,
    send: _Send,
    limits: ServerLimits,
) -> None:
    response = await handler(await _read_request(scope, stream))
    if scope["http_version"] == "1.0" and response.body_bytes is None:
        response = await _complete(response)
    headers = [
        (key.lower().encode(), value.encode("utf-8", "surrogateescape"))
        for key, value in response.headers
        if key.lower() != "content-length"
    ]
    length = response.body_bytes
    if isinstance(response.body, bytes) and scope["method"] != "HEAD":
        length = len(response.body)
    if length is not None:
        headers.append((b"content-length", str(length).encode()))
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )
    await _send_body(response, send)
    await stream.discard_rest(limits.linger_s)
    await send({"type": "http.response.body", "body": b""})


async def _complete(response: Response) -> Response:
    """Returns `response` with its whole body.

    The end of the connection would delimit a streamed body, and hypercorn
    offers no way to reset the connection if the body is cut off.
    """
    try:
        body = await read_body(response.body)
    except ExchangeBrokenError:
        return make_problem_response(
            ResultCode.EXCHANGE_BROKEN,
            502,
            "The response was cut off, or is too large for HTTP/1.0.",
            "unknown",
        )
    return msgspec.structs.replace(response, body=body, body_bytes=len(body))


async def _send_body(response: Response, send: _Send) -> None:
    """Sends the body without its end."""
    if isinstance(response.body, bytes):
        await send(
            {
                "type": "http.response.body",
                "body": response.body,
                "more_body": True,
            }
        )
        return
    try:
        async for piece in response.body:
            await send(
                {"type": "http.response.body", "body": piece, "more_body": True}
            )
    except BaseException:
        response.body.abort()
        raise


async def _read_request(
    scope: dict[str, Any], stream: _RequestStream
) -> Request:
    headers = tuple(
        (key.decode("ascii"), value.decode("utf-8", "surrogateescape"))
        for key, value in scope["headers"]
    )
    text = get_header(headers, "content-length")
    length = int(text) if text is not None else None
    chunked = get_header(headers, "transfer-encoding") is not None
    if length is None and not chunked:
        length = 0
    body: bytes | BodyStream = stream
    if length is not None and length <= SMALL_BODY_BYTES:
        body = b"".join([piece async for piece in stream])
    path = scope["raw_path"].decode("ascii")
    if scope["query_string"]:
        path += "?" + scope["query_string"].decode("ascii")
    client = scope.get("client") or ("", 0)
    return Request(scope["method"], path, headers, body, length, client[0])
