"""How a listener refuses what breaks its rules or limits."""

from radishwind.core.codes import ResultCode
from radishwind.http.errors import RequestRejectedError
from radishwind.http.errors import RequestTooLargeError
from radishwind.http.errors import SenderTooSlowError
from radishwind.http.problems import make_problem_response
from radishwind.http.server_limits import ServerLimits
from radishwind.http.types import Response

_STATUS = {
    ResultCode.REQUEST_TOO_LARGE: 413,
    ResultCode.SENDER_TOO_SLOW: 408,
}


def rejected(exc: RequestRejectedError) -> Response:
    """Returns the answer that tells why a request was not taken."""
    status = _STATUS.get(exc.code, 400)
    return make_problem_response(exc.code, status, str(exc.args[0]), "not-run")


def failed() -> Response:
    """Returns the answer where a handler failed."""
    return make_problem_response(
        ResultCode.INTERNAL_ERROR, 500, "The node failed.", "unknown"
    )


def sender_too_slow_error(limits: ServerLimits) -> SenderTooSlowError:
    """Returns the error of a body that pauses too long."""
    return SenderTooSlowError(
        f"expected more of the body within {limits.body_timeout_s:g} s"
    )


def body_too_large_error(limits: ServerLimits) -> RequestTooLargeError:
    """Returns the error of a body that is too large."""
    return RequestTooLargeError(
        f"expected a body of at most {limits.max_body_bytes} bytes, got more"
    )


def head_too_long_error(limits: ServerLimits) -> RequestRejectedError:
    """Returns the error of a line, or of a head, that is too long."""
    return RequestRejectedError(
        f"expected lines of at most {limits.max_field_bytes} bytes, got more"
    )
