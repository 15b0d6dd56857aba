"""Answers to the caller made from outcomes, as problem details in JSON."""

import math

import msgspec

from radishwind.core.codes import ResultCode
from radishwind.http.types import Headers
from radishwind.http.types import Response
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome

#: Field names that callers may rely on.
CODE_FIELD = "Radishwind-Code"
OUTCOME_FIELD = "Radishwind-Outcome"

_STATUS_BY_CODE = {
    ResultCode.REQUEST_MALFORMED: 400,
    ResultCode.REQUEST_TOO_LARGE: 413,
    ResultCode.SERVICE_UNKNOWN: 404,
    ResultCode.KEY_REUSED: 422,
    ResultCode.SENDER_TOO_SLOW: 408,
    ResultCode.EXCHANGE_TIMEOUT: 504,
    ResultCode.CLAIM_RUNNING: 409,
    ResultCode.CLAIM_UNKNOWN: 409,
    ResultCode.CLAIM_UNCHECKED: 503,
    ResultCode.PEER_UNAUTHENTICATED: 401,
    ResultCode.PEER_MALFORMED: 400,
}
_STATUS_NOT_RUN = 503
_STATUS_UNKNOWN = 502


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Problem details (RFC 9457) with our fields.

    Attributes:
      title: the name of the code.
      status: the HTTP status.
      detail: a sentence for the caller.
      code: the numbered result code.
      outcome: `not-run` or `unknown`.
      retry_after_s: when to come back (s).
    """

    title: str
    status: int
    detail: str
    code: int
    outcome: str
    retry_after_s: float | None = None


def answer(outcome: Outcome) -> Response:
    """Returns the final answer to the caller for `outcome`."""
    if isinstance(outcome, Done):
        return outcome.response
    if isinstance(outcome, NotRun):
        return problem(
            outcome.code, outcome.detail, "not-run", outcome.retry_after_s
        )
    return problem(
        outcome.code, outcome.detail, "unknown", outcome.retry_after_s
    )


def problem(
    code: ResultCode,
    detail: str,
    outcome: str,
    retry_after_s: float | None = None,
) -> Response:
    """Returns an error answer.

    Args:
      code: the numbered result code; it decides the status.
      detail: a sentence for the caller.
      outcome: `not-run` or `unknown`.
      retry_after_s: when to come back (s); sent as `Retry-After` too, in
        whole seconds rounded up, as that field asks.
    """
    default = _STATUS_NOT_RUN if outcome == "not-run" else _STATUS_UNKNOWN
    status = _STATUS_BY_CODE.get(code, default)
    body = Problem(
        code.name.lower().replace("_", "-"),
        status,
        detail,
        int(code),
        outcome,
        retry_after_s,
    )
    headers: Headers = (
        ("Content-Type", "application/problem+json"),
        (CODE_FIELD, str(int(code))),
        (OUTCOME_FIELD, outcome),
    )
    if retry_after_s is not None:
        headers += (("Retry-After", str(max(1, math.ceil(retry_after_s)))),)
    return Response(status, headers, msgspec.json.encode(body))
