"""Errors and responses for requests that violate rules or limits."""

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


def rejection_response(exc: RequestRejectedError) -> Response:
    """Returns the response to a request that was rejected by `exc`."""
    status = _STATUS.get(exc.code, 400)
    return make_problem_response(exc.code, status, str(exc.args[0]), "not-run")


def internal_error_response() -> Response:
    """Returns the response to a request whose handler failed."""
    return make_problem_response(
        ResultCode.INTERNAL_ERROR, 500, "The node failed.", "unknown"
    )


def out_of_memory_response() -> Response:
    """Returns the response to a request whose body was dropped midway."""
    return make_problem_response(
        ResultCode.EXCHANGE_BROKEN,
        502,
        "The node needed the memory of the request's body.",
        "unknown",
    )


def sender_too_slow_error(limits: ServerLimits) -> SenderTooSlowError:
    """Returns the error for a body that paused too long."""
    return SenderTooSlowError(
        f"expected more of the body within {limits.body_timeout_s:g} s"
    )


def body_too_large_error(limits: ServerLimits) -> RequestTooLargeError:
    """Returns the error for a body that exceeds the limit."""
    return RequestTooLargeError(
        f"expected a body of at most {limits.max_body_bytes} bytes, got more"
    )


def head_too_long_error(limits: ServerLimits) -> RequestRejectedError:
    """Returns the error for a line, or a head, that exceeds the limit."""
    return RequestRejectedError(
        f"expected lines of at most {limits.max_field_bytes} bytes, got more"
    )
