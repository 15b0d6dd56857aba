"""Error responses as problem details in JSON (RFC 9457)."""

import math

import msgspec

from radishwind.core.codes import ResultCode
from radishwind.http.types import Headers
from radishwind.http.types import Response

#: Names of header fields that are part of the interface to callers.
CODE_FIELD = "Radishwind-Code"
OUTCOME_FIELD = "Radishwind-Outcome"


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Problem details with the extension members of this project.

    Attributes:
      title: the name of the code.
      status: the HTTP status.
      detail: an explanation for the caller.
      code: the numbered result code.
      outcome: `not-run` or `unknown`.
      retry_after_s: delay before a retry (s).
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
    """Returns an error response.

    Args:
      code: the numbered result code.
      status: the HTTP status.
      detail: an explanation for the caller.
      outcome: `not-run` or `unknown`.
      retry_after_s: delay before a retry (s); also sent as `Retry-After`, which
        requires whole seconds, rounded up.
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
