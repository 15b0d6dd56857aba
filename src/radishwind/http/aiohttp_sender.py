"""`Sender` based on the client of aiohttp."""

import asyncio
from collections.abc import AsyncIterator
import functools
import socket

import aiohttp
from multidict import CIMultiDict
import yarl

from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.errors import InvalidResponseError
from radishwind.http.heads import verify_response_head
from radishwind.http.response_check import ResponseCheck
from radishwind.http.response_check import verify_head
from radishwind.http.sender import Sender
from radishwind.http.strict_response_handler import StrictResponseHandler
from radishwind.http.tcp_keepalive import enable_dead_peer_detection
from radishwind.http.tcp_keepalive import KEEPALIVE_S
from radishwind.http.types import Address
from radishwind.http.types import Body
from radishwind.http.types import BodyStream
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.http.types import SMALL_BODY_BYTES

_SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")


class _ResponseStream(BodyStream):
    """The body of a response that is being received."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response

    async def __aiter__(self) -> AsyncIterator[bytes]:
        finished = False
        try:
            async for piece in self._response.content.iter_chunked(
                SMALL_BODY_BYTES
            ):
                yield piece
            finished = True
        except (aiohttp.ClientError, OSError) as exc:
            raise ExchangeBrokenError(
                f"connection lost within the response: {exc}"
            ) from exc
        finally:
            if not finished:
                self._response.close()

    def abort(self) -> None:
        self._response.close()


class AiohttpSender(Sender):
    """Sends requests with aiohttp; see `Sender`."""

    def __init__(
        self, connections: int, keepalive_s: float = KEEPALIVE_S
    ) -> None:
        """Creates a sender.

        Args:
          connections: maximum number of connections to one address.
          keepalive_s: time after which idle connections are closed (s).
        """
        self._connections = connections
        self._keepalive_s = keepalive_s
        # By the timeout of a new connection (s), and whether connections are
        # used only once.
        self._sessions: dict[tuple[float, bool], aiohttp.ClientSession] = {}

    def _session(
        self, connect_timeout_s: float, *, is_single_use: bool
    ) -> aiohttp.ClientSession:
        session = self._sessions.get((connect_timeout_s, is_single_use))
        if session is not None:
            return session
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=self._connections,
            keepalive_timeout=None if is_single_use else self._keepalive_s,
            force_close=is_single_use,
            use_dns_cache=False,
            socket_factory=_make_socket,
        )
        # aiohttp has no public way to set the protocol class.
        connector._factory = functools.partial(  # type: ignore[assignment]
            StrictResponseHandler, loop=asyncio.get_running_loop()
        )
        session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=connect_timeout_s
            ),
        )
        # aiohttp by itself resends GET, PUT and DELETE when a reused connection
        # breaks. Retries are decided by the retry policy instead.
        session._retry_connection = False
        self._sessions[connect_timeout_s, is_single_use] = session
        return session

    async def send(
        self,
        address: Address,
        request: Request,
        connect_timeout_s: float,
        check: ResponseCheck | None = None,
    ) -> Response:
        # A complete response has released its connection before it can be
        # checked.
        session = self._session(
            connect_timeout_s, is_single_use=check is not None
        )
        try:
            url = yarl.URL(
                f"http://{address.host}:{address.port}{request.path}",
                encoded=True,
            )
        except ValueError as exc:
            raise ConnectFailedError(f"{address!r}: {exc}") from exc
        try:
            response = await session.request(
                request.method,
                url,
                headers=CIMultiDict(request.headers),
                data=_payload(request.body),
                allow_redirects=False,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
            # The host can't be encoded for the lookup.
            UnicodeError,
        ) as exc:
            raise ConnectFailedError(f"{address}: {exc}") from exc
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise ExchangeBrokenError(f"{address}: {exc!r}") from exc
        try:
            headers = _decode_headers(response)
            verify_response_head(response.status, headers)
            verify_head(check, response.status, headers)
        except InvalidResponseError:
            response.close()
            raise
        return await _read_response(response)

    async def close(self) -> None:
        for session in self._sessions.values():
            await session.close()


def _make_socket(addr_info: aiohttp.AddrInfoType) -> socket.socket:
    """Creates a socket that detects a dead peer."""
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family=family, type=kind, proto=proto)
    sock.setblocking(False)
    enable_dead_peer_detection(sock)
    return sock


def _payload(body: Body) -> bytes | AsyncIterator[bytes] | None:
    if isinstance(body, BodyStream):
        return aiter(body)
    return body or None


def _decode_headers(response: aiohttp.ClientResponse) -> Headers:
    return tuple(
        (key.decode("ascii"), value.decode("utf-8", "surrogateescape"))
        for key, value in response.raw_headers
    )


async def _read_response(response: aiohttp.ClientResponse) -> Response:
    headers = _decode_headers(response)
    length = response.content_length
    if length is None or length > SMALL_BODY_BYTES:
        return Response(
            response.status, headers, _ResponseStream(response), length
        )
    try:
        body = await response.read()
    except (aiohttp.ClientError, OSError) as exc:
        response.close()
        raise ExchangeBrokenError(
            f"connection lost within the response: {exc!r}"
        ) from exc
    except BaseException:
        response.close()
        raise
    return Response(response.status, headers, body, len(body))
