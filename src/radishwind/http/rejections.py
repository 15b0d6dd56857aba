"""How a listener refuses what breaks its rules or limits."""

from radishwind.core.codes import ResultCode
from radishwind.http.errors import RequestRejectedError
from radishwind.http.errors import RequestTooLargeError
from radishwind.http.errors import SenderTooSlowError
from radishwind.http.limits import ServerLimits
from radishwind.http.problems import problem_body
from radishwind.http.types import Response

_STATUS = {
    ResultCode.REQUEST_TOO_LARGE: 413,
    ResultCode.SENDER_TOO_SLOW: 408,
}


def rejected(exc: RequestRejectedError) -> Response:
    """Returns the answer that tells why a request was not taken."""
    status = _STATUS.get(exc.code, 400)
    return problem_body(exc.code, status, str(exc.args[0]), "not-run")


def failed() -> Response:
    """Returns the answer where a handler failed."""
    return problem_body(
        ResultCode.INTERNAL_ERROR, 500, "The node failed.", "unknown"
    )


def too_slow(limits: ServerLimits) -> SenderTooSlowError:
    """Returns the error of a body that pauses too long."""
    return SenderTooSlowError(
        f"expected more of the body within {limits.body_pause_s:g} s"
    )


def too_large(limits: ServerLimits) -> RequestTooLargeError:
    """Returns the error of a body that is too large."""
    return RequestTooLargeError(
        f"expected a body of at most {limits.body_bytes} bytes, got more"
    )


def long_head(limits: ServerLimits) -> RequestRejectedError:
    """Returns the error of a line, or of a head, that is too long."""
    return RequestRejectedError(
        f"expected lines of at most {limits.field_bytes} bytes, got more"
    )
