"""Creates the responses to callers from outcomes, as JSON problem details."""

from radishwind.core.codes import ResultCode
from radishwind.http.problems import make_problem_response
from radishwind.http.types import Response
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome

_STATUS_BY_CODE = {
    ResultCode.PLATFORM_MALFORMED: 400,
    ResultCode.REQUEST_MALFORMED: 400,
    ResultCode.REQUEST_TOO_LARGE: 413,
    ResultCode.SERVICE_UNKNOWN: 404,
    ResultCode.KEY_REUSED: 422,
    ResultCode.SENDER_TOO_SLOW: 408,
    ResultCode.ANNOUNCEMENT_REFUSED: 400,
    ResultCode.KEY_REFUSED: 401,
    ResultCode.QUOTA_EXCEEDED: 429,
    ResultCode.EXCHANGE_TIMEOUT: 504,
    ResultCode.CLAIM_RUNNING: 409,
    ResultCode.CLAIM_UNKNOWN: 409,
    ResultCode.CLAIM_UNCHECKED: 503,
    ResultCode.PEER_UNAUTHENTICATED: 401,
    ResultCode.PEER_MALFORMED: 400,
    ResultCode.PEER_REPLAYED: 401,
    ResultCode.PEER_STALE: 401,
    ResultCode.PEER_TOO_LARGE: 413,
}
_STATUS_NOT_RUN = 503
_STATUS_UNKNOWN = 502


def outcome_response(outcome: Outcome) -> Response:
    """Returns the response to the caller for `outcome`."""
    if isinstance(outcome, Done):
        return outcome.response
    if isinstance(outcome, NotRun):
        return problem_response(
            outcome.code, outcome.detail, "not-run", outcome.retry_after_s
        )
    return problem_response(
        outcome.code, outcome.detail, "unknown", outcome.retry_after_s
    )


def problem_response(
    code: ResultCode,
    detail: str,
    outcome: str,
    retry_after_s: float | None = None,
) -> Response:
    """Returns an error response with the HTTP status of `code`.

    Args:
      code: the result code.
      detail: explanation for the caller, one sentence.
      outcome: `not-run` or `unknown`.
      retry_after_s: time after which the caller should retry (s); `None` for no
        Retry-After.
    """
    default_status = (
        _STATUS_NOT_RUN if outcome == "not-run" else _STATUS_UNKNOWN
    )
    status = _STATUS_BY_CODE.get(code, default_status)
    return make_problem_response(code, status, detail, outcome, retry_after_s)
