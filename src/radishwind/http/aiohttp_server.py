"""`Server` by aiohttp's low-level web server."""

import contextlib
from collections.abc import AsyncIterator

from aiohttp import web
from aiohttp.web_protocol import RequestPayloadError
from multidict import CIMultiDict

from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.server import Handler
from radishwind.http.server import Server
from radishwind.http.types import Address
from radishwind.http.types import BodyStream
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.http.types import SMALL_BODY_BYTES

#: Kept longer than any sender of ours keeps an idle connection.
KEEPALIVE_S = 75.0

MAX_FIELD_BYTES = 8190


class _RequestStream(BodyStream):
    """The body of a request that is still arriving."""

    def __init__(self, request: web.BaseRequest) -> None:
        self._request = request

    async def __aiter__(self) -> AsyncIterator[bytes]:
        try:
            async for piece in self._request.content.iter_chunked(
                SMALL_BODY_BYTES
            ):
                yield piece
        except (RequestPayloadError, OSError) as exc:
            raise ExchangeBrokenError(f"request cut: {exc!r}") from exc

    def abort(self) -> None:
        transport = self._request.transport
        if transport is not None:
            transport.abort()


class AiohttpServer(Server):
    """Receives by aiohttp; see `Server` for what it promises."""

    def __init__(self) -> None:
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None

    async def start(self, handler: Handler, listen: Address) -> Address:
        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            return await _serve(handler, request)

        server = web.Server(
            serve,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_S,
            access_log=None,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            auto_decompress=False,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0.0)
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner, listen.host, listen.port, backlog=1024
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
        self._runner._shutdown_timeout = grace_s
        await self._runner.cleanup()
        self._runner = None


async def _serve(
    handler: Handler, request: web.BaseRequest
) -> web.StreamResponse:
    response = await handler(await _received(request))
    headers = CIMultiDict(response.headers)
    if isinstance(response.body, BodyStream):
        return await _stream(request, response, response.body, headers)
    headers.popall("Content-Length", None)
    return web.Response(
        status=response.status, headers=headers, body=response.body
    )


async def _received(request: web.BaseRequest) -> Request:
    length = request.content_length
    body: bytes | BodyStream = b""
    if not request.body_exists:
        length = 0
    elif length is not None and length <= SMALL_BODY_BYTES:
        body = await request.content.read(-1)
    else:
        body = _RequestStream(request)
    headers = tuple(
        (key.decode("ascii"), value.decode("utf-8", "surrogateescape"))
        for key, value in request.raw_headers
    )
    return Request(
        request.method,
        request.raw_path,
        headers,
        body,
        length,
        request.remote or "",
    )


async def _stream(
    request: web.BaseRequest,
    response: Response,
    body: BodyStream,
    headers: CIMultiDict[str],
) -> web.StreamResponse:
    out = web.StreamResponse(status=response.status, headers=headers)
    try:
        await out.prepare(request)
        async for piece in body:
            await out.write(piece)
        await out.write_eof()
    except BaseException as exc:
        # A cut answer cuts the caller's connection: it must not end neatly.
        body.abort()
        with contextlib.suppress(AttributeError):
            request.transport.abort()  # type: ignore[union-attr]
        if not isinstance(exc, ExchangeBrokenError | OSError):
            raise
    return out
