"""Takes a copy of a server's answer on its way to the caller."""

from collections.abc import AsyncIterator
import dataclasses

import msgspec

from radishwind.claims.record import RecordedAnswer
from radishwind.http.types import BodyStream
from radishwind.http.types import Response


@dataclasses.dataclass(frozen=True, slots=True)
class Captured:
    """An answer and what to keep of it.

    Attributes:
      response: what the caller gets.
      kept: its copy, `None` where it is too large.
    """

    response: Response
    kept: RecordedAnswer | None


async def capture(response: Response, limit_bytes: int) -> Captured:
    """Reads an answer until it is whole or too large to keep.

    Args:
      response: the answer.
      limit_bytes: the most to keep (bytes).

    Raises:
      ExchangeBrokenError: it broke off before that.
    """
    if isinstance(response.body, bytes):
        return _whole(response, response.body, limit_bytes)
    stream = aiter(response.body)
    pieces: list[bytes] = []
    size = 0
    async for piece in stream:
        pieces.append(piece)
        size += len(piece)
        if size > limit_bytes:
            body = _Rest(response.body, pieces, stream)
            passed_on = msgspec.structs.replace(response, body=body)
            return Captured(passed_on, None)
    return _whole(response, b"".join(pieces), limit_bytes)


def _whole(response: Response, body: bytes, limit_bytes: int) -> Captured:
    passed_on = msgspec.structs.replace(
        response, body=body, body_bytes=len(body)
    )
    kept = RecordedAnswer(response.status, response.headers, body)
    if kept.size_bytes() > limit_bytes:
        return Captured(passed_on, None)
    return Captured(passed_on, kept)


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
