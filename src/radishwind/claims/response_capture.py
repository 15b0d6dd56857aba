"""Copies a server's response while it is passed on to the caller."""

from collections.abc import AsyncIterator
import dataclasses

import msgspec

from radishwind.claims.claim_record import RecordedResponse
from radishwind.http.types import BodyStream
from radishwind.http.types import Response


@dataclasses.dataclass(frozen=True, slots=True)
class CapturedResponse:
    """A response and the copy of it to record with the claim.

    Attributes:
      response: the response for the caller.
      recorded: the copy, `None` if the response is too large to be recorded.
    """

    response: Response
    recorded: RecordedResponse | None


async def capture_response(
    response: Response, max_bytes: int
) -> CapturedResponse:
    """Reads a response until it is complete or too large to be recorded.

    Args:
      response: the server's response.
      max_bytes: maximum size of a recorded response.

    Returns:
      The response with its body in memory, or, if it is too large, with a body
      that streams what was read already and then the rest.

    Raises:
      ExchangeBrokenError: the connection broke before that.
    """
    if isinstance(response.body, bytes):
        return _capture_whole(response, response.body, max_bytes)
    stream = aiter(response.body)
    chunks: list[bytes] = []
    size_bytes = 0
    async for chunk in stream:
        chunks.append(chunk)
        size_bytes += len(chunk)
        if size_bytes > max_bytes:
            body = _PartlyReadBody(response.body, chunks, stream)
            forwarded = msgspec.structs.replace(response, body=body)
            return CapturedResponse(forwarded, None)
    return _capture_whole(response, b"".join(chunks), max_bytes)


def _capture_whole(
    response: Response, body: bytes, max_bytes: int
) -> CapturedResponse:
    forwarded = msgspec.structs.replace(
        response, body=body, body_bytes=len(body)
    )
    recorded = RecordedResponse(response.status, response.headers, body)
    if recorded.size_bytes() > max_bytes:
        return CapturedResponse(forwarded, None)
    return CapturedResponse(forwarded, recorded)


class _PartlyReadBody(BodyStream):
    """A body stream that yields the chunks read already, then the rest.

    Args:
      body: the original body, which is aborted with this one.
      chunks: the chunks read from `stream` already.
      stream: iterator over `body`.
    """

    def __init__(
        self,
        body: BodyStream,
        chunks: list[bytes],
        stream: AsyncIterator[bytes],
    ) -> None:
        self._body = body
        self._chunks = chunks
        self._stream = stream

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for chunk in self._chunks:
            yield chunk
        async for chunk in self._stream:
            yield chunk

    def abort(self) -> None:
        self._body.abort()
