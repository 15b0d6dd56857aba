"""Holds the whole body of a keyed request, so that a repeat can be compared."""

import dataclasses

import anyio
import msgspec

from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.types import abort_body
from radishwind.http.types import BodyStream
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.outcomes.model import Unknown


async def buffer_request_body(
    call: Call, max_bytes: int, left_s: float
) -> Call | Outcome:
    """Returns `call` with its body in memory, else what its caller is told.

    Args:
      call: a keyed call.
      max_bytes: the most to hold (bytes).
      left_s: how long reading may take (s).
    """
    body = call.request.body
    if isinstance(body, bytes):
        return call
    if (call.request.body_bytes or 0) > max_bytes:
        return _too_large(body, max_bytes)
    try:
        with anyio.fail_after(max(0.0, left_s)):
            content = await _read(body, max_bytes)
    except (ExchangeBrokenError, TimeoutError):
        abort_body(body)
        # Not "not run": an earlier sending with the same key may have run.
        return Unknown(
            ResultCode.SENDER_TOO_SLOW, "The request's body did not end."
        )
    if content is None:
        return _too_large(body, max_bytes)
    request = msgspec.structs.replace(
        call.request, body=content, body_bytes=len(content)
    )
    return dataclasses.replace(call, request=request)


async def _read(body: BodyStream, max_bytes: int) -> bytes | None:
    pieces: list[bytes] = []
    size = 0
    async for piece in body:
        pieces.append(piece)
        size += len(piece)
        if size > max_bytes:
            return None
    return b"".join(pieces)


def _too_large(body: BodyStream, max_bytes: int) -> Outcome:
    abort_body(body)
    return NotRun(
        ResultCode.REQUEST_TOO_LARGE,
        f"expected at most {max_bytes} bytes with an Idempotency-Key",
    )
