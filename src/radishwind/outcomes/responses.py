"""Answers to the caller made from outcomes, as problem details in JSON."""

from radishwind.core.codes import ResultCode
from radishwind.http.problems import problem_body
from radishwind.http.types import Response
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome

_STATUS_BY_CODE = {
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
    """Returns the final answer to the caller for `outcome`."""
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
    """Returns an error answer with the status that its code has.

    Args:
      code: the numbered result code; it decides the status.
      detail: a sentence for the caller.
      outcome: `not-run` or `unknown`.
      retry_after_s: when to come back (s).
    """
    default = _STATUS_NOT_RUN if outcome == "not-run" else _STATUS_UNKNOWN
    status = _STATUS_BY_CODE.get(code, default)
    return problem_body(code, status, detail, outcome, retry_after_s)
