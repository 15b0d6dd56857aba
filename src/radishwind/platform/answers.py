"""Answers of our own as the platform's callers read them."""

from radishwind.http.types import Response
from radishwind.outcomes import answer
from radishwind.outcomes import Done
from radishwind.outcomes import Outcome

_RETRY_AFTER = "Retry-After"


def respond(outcome: Outcome) -> Response:
    """Returns the final answer to the caller for `outcome`.

    Callers here read fractions of a second in `Retry-After`, which tells them
    to come back long before a whole second is over.
    """
    response = answer(outcome)
    if isinstance(outcome, Done) or outcome.retry_after_s is None:
        return response
    headers = [item for item in response.headers if item[0] != _RETRY_AFTER]
    headers.append((_RETRY_AFTER, f"{outcome.retry_after_s:.3f}"))
    return Response(
        response.status, tuple(headers), response.body, response.body_bytes
    )
