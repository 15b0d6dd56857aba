"""Takes a copy of a server's answer on its way to the caller."""

from collections.abc import AsyncIterator
import dataclasses

import msgspec

from radishwind.claims.claim_record import RecordedResponse
from radishwind.http.types import BodyStream
from radishwind.http.types import Response


@dataclasses.dataclass(frozen=True, slots=True)
class CapturedResponse:
    """An answer and what to keep of it.

    Attributes:
      response: what the caller gets.
      recorded: its copy, `None` where it is too large.
    """

    response: Response
    recorded: RecordedResponse | None


async def capture_response(
    response: Response, max_bytes: int
) -> CapturedResponse:
    """Reads an answer until it is whole or too large to keep.

    Args:
      response: the answer.
      max_bytes: the most to keep (bytes).

    Raises:
      ExchangeBrokenError: it broke off before that.
    """
    if isinstance(response.body, bytes):
        return _whole(response, response.body, max_bytes)
    stream = aiter(response.body)
    pieces: list[bytes] = []
    size = 0
    async for piece in stream:
        pieces.append(piece)
        size += len(piece)
        if size > max_bytes:
            body = _Rest(response.body, pieces, stream)
            passed_on = msgspec.structs.replace(response, body=body)
            return CapturedResponse(passed_on, None)
    return _whole(response, b"".join(pieces), max_bytes)


def _whole(response: Response, body: bytes, max_bytes: int) -> CapturedResponse:
    passed_on = msgspec.structs.replace(
        response, body=body, body_bytes=len(body)
    )
    recorded = RecordedResponse(response.status, response.headers, body)
    if recorded.size_bytes() > max_bytes:
        return CapturedResponse(passed_on, None)
    return CapturedResponse(passed_on, recorded)


class _Rest(BodyStream):
    """The pieces read already, then the rest of the stream."""

    def __init__(
        self,
        body: BodyStream,
        pieces: list[bytes],
        stream: AsyncIterator[bytes],
    ) -> None:
        self._body = body
        self._pieces = pieces
        self._stream = stream

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for piece in self._pieces:
            yield piece
        async for piece in self._stream:
            yield piece

    def abort(self) -> None:
        self._body.abort()
