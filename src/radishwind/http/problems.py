"""Error answers as problem details in JSON (RFC 9457)."""

import math

import msgspec

from radishwind.core.codes import ResultCode
from radishwind.http.types import Headers
from radishwind.http.types import Response

#: Field names that callers may rely on.
CODE_FIELD = "Radishwind-Code"
OUTCOME_FIELD = "Radishwind-Outcome"


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Problem details with our fields.

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


def make_problem_response(
    code: ResultCode,
    status: int,
    detail: str,
    outcome: str,
    retry_after_s: float | None = None,
) -> Response:
    """Returns an error answer.

    Args:
      code: the numbered result code.
      status: the HTTP status.
      detail: a sentence for the caller.
      outcome: `not-run` or `unknown`.
      retry_after_s: when to come back (s); sent as `Retry-After` too, in
        whole seconds rounded up, as that field asks.
    """
    title = code.name.lower().replace("_", "-")
    body = Problem(title, status, detail, int(code), outcome, retry_after_s)
    headers: Headers = (
        ("Content-Type", "application/problem+json"),
        (CODE_FIELD, str(int(code))),
        (OUTCOME_FIELD, outcome),
    )
    if retry_after_s is not None:
        headers += (("Retry-After", str(max(1, math.ceil(retry_after_s)))),)
    return Response(status, headers, msgspec.json.encode(body))
