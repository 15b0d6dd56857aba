"""Buffers the body of a request with an idempotency key.

The whole body is needed for the fingerprint by which a duplicate is compared
with the original request.
"""

import dataclasses

import anyio
import msgspec

from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.errors import ResponseTooLongError
from radishwind.http.types import abort_body
from radishwind.http.types import BodyStream
from radishwind.http.types import read_body
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.outcomes.model import Unknown


async def buffer_request_body(
    call: Call, max_bytes: int, timeout_s: float
) -> Call | Outcome:
    """Returns `call` with its body in memory, or the outcome if that failed.

    Args:
      call: a call with an idempotency key.
      max_bytes: maximum size of the body.
      timeout_s: how long reading may take (s).
    """
    body = call.request.body
    if isinstance(body, bytes):
        return call
    if (call.request.body_bytes or 0) > max_bytes:
        return _too_large(body, max_bytes)
    try:
        with anyio.fail_after(max(0.0, timeout_s)):
            content = await read_body(body, max_bytes)
    except ResponseTooLongError:
        return _too_large(body, max_bytes)
    except (ExchangeBrokenError, TimeoutError):
        abort_body(body)
        # The outcome is unknown rather than not run, since an earlier request
        # with the same key may have run.
        return Unknown(
            ResultCode.SENDER_TOO_SLOW, "The request's body was incomplete."
        )
    request = msgspec.structs.replace(
        call.request, body=content, body_bytes=len(content)
    )
    return dataclasses.replace(call, request=request)


def _too_large(body: BodyStream, max_bytes: int) -> Outcome:
    abort_body(body)
    return NotRun(
        ResultCode.REQUEST_TOO_LARGE,
        f"expected at most {max_bytes} bytes in the body of a request with an "
        "Idempotency-Key",
    )
