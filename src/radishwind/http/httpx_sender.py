"""`Sender` based on httpx."""

from collections.abc import AsyncIterator

import anyio
import httpx

from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.errors import InvalidResponseError
from radishwind.http.heads import verify_response_head
from radishwind.http.response_check import ResponseCheck
from radishwind.http.response_check import verify_head
from radishwind.http.sender import Sender
from radishwind.http.types import Address
from radishwind.http.types import Body
from radishwind.http.types import BodyStream
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.http.types import SMALL_BODY_BYTES

#: See `radishwind.http.tcp_keepalive.KEEPALIVE_S`.
KEEPALIVE_S = 4.0


class _ResponseStream(BodyStream):
    """The body of a response that is being received."""

    def __init__(self, response: httpx.Response) -> None:
        self._response = response
        self._aborted = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        try:
            async for piece in self._response.aiter_raw():
                if self._aborted:
                    break
                yield piece
        except httpx.HTTPError as exc:
            raise ExchangeBrokenError(
                f"connection lost within the response: {exc!r}"
            ) from exc
        finally:
            with anyio.CancelScope(shield=True):
                await self._response.aclose()

    def abort(self) -> None:
        self._aborted = True


class HttpxSender(Sender):
    """Sends requests with httpx; see `Sender`."""

    def __init__(self, connections: int) -> None:
        self._client = httpx.AsyncClient(
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=connections,
                keepalive_expiry=KEEPALIVE_S,
            ),
            trust_env=False,
        )

    async def send(
        self,
        address: Address,
        request: Request,
        connect_timeout_s: float,
        check: ResponseCheck | None = None,
    ) -> Response:
        try:
            outgoing = httpx.Request(
                request.method,
                f"http://{address.host}:{address.port}{request.path}",
                headers=_single_use(request.headers)
                if check is not None
                else list(request.headers),
                content=_content(request.body),
                extensions={"timeout": {"connect": connect_timeout_s}},
            )
        except httpx.InvalidURL as exc:
            raise ConnectFailedError(f"{address!r}: {exc}") from exc
        try:
            response = await self._client.send(outgoing, stream=True)
        except (
            httpx.ConnectError,
            httpx.ConnectTimeout,
            # The host can't be encoded for the lookup.
            UnicodeError,
        ) as exc:
            raise ConnectFailedError(f"{address}: {exc!r}") from exc
        except httpx.HTTPError as exc:
            raise ExchangeBrokenError(f"{address}: {exc!r}") from exc
        try:
            headers = tuple(response.headers.multi_items())
            verify_response_head(response.status_code, headers)
            verify_head(check, response.status_code, headers)
        except InvalidResponseError:
            await response.aclose()
            raise
        return await _read_response(response)

    async def close(self) -> None:
        await self._client.aclose()


def _single_use(headers: Headers) -> list[tuple[str, str]]:
    """Returns `headers` such that the connection is used only once."""
    kept = [item for item in headers if item[0].lower() != "connection"]
    return [*kept, ("Connection", "close")]


def _content(body: Body) -> bytes | AsyncIterator[bytes] | None:
    if isinstance(body, BodyStream):
        return aiter(body)
    return body or None


async def _read_response(response: httpx.Response) -> Response:
    headers = tuple(response.headers.multi_items())
    text = response.headers.get("content-length", "")
    length = int(text) if text.isdigit() else None
    stream = _ResponseStream(response)
    if length is None or length > SMALL_BODY_BYTES:
        return Response(response.status_code, headers, stream, length)
    body = b"".join([piece async for piece in stream])
    return Response(response.status_code, headers, body, len(body))
