"""Answers of our own as the platform's callers read them."""

import msgspec

from radishwind.core.codes import ResultCode
from radishwind.http.problems import make_problem_response
from radishwind.http.types import Response
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun
from radishwind.outcomes import Outcome
from radishwind.outcomes import outcome_response
from radishwind.outcomes import Unknown
from radishwind.platform.header_fields import KEY_SCHEME

_RETRY_AFTER = "Retry-After"

#: The family of codes by which one node refuses what another sent.
_OF_PEERS = 6

_CHALLENGE = ("WWW-Authenticate", KEY_SCHEME)


def respond(outcome: Outcome) -> Response:
    """Returns the final answer to the caller for `outcome`.

    Callers here read fractions of a second in `Retry-After`, which tells them
    to come back long before a whole second is over.
    """
    response = outcome_response(outcome)
    if isinstance(outcome, Done):
        return response
    if outcome.code // 1000 == _OF_PEERS:
        response = _refused_by_peer(outcome)
    if outcome.retry_after_s is None:
        return response
    headers = [item for item in response.headers if item[0] != _RETRY_AFTER]
    if outcome.code is ResultCode.KEY_REFUSED:
        # To come back with the same key is of no use.
        return msgspec.structs.replace(response, headers=(*headers, _CHALLENGE))
    headers.append((_RETRY_AFTER, f"{outcome.retry_after_s:.3f}"))
    return Response(
        response.status, tuple(headers), response.body, response.body_bytes
    )


def _refused_by_peer(outcome: NotRun | Unknown) -> Response:
    """Returns the answer for what one node refused another.

    The status of such a code is for the node; the caller did nothing wrong.
    """
    status, said = (
        (503, "not-run") if isinstance(outcome, NotRun) else (502, "unknown")
    )
    return make_problem_response(
        outcome.code, status, outcome.detail, said, outcome.retry_after_s
    )
