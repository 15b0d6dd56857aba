"""Responses of the node as the platform's callers expect them."""

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

#: The family of codes by which a node refuses messages of its peers.
_PEER_FAMILY = 6

_CHALLENGE = ("WWW-Authenticate", KEY_SCHEME)


def caller_response(outcome: Outcome) -> Response:
    """Returns the final response to the caller for `outcome`.

    The platform's callers read fractions of a second in `Retry-After`, so that
    they can be asked to retry well within a second.
    """
    response = outcome_response(outcome)
    if isinstance(outcome, Done):
        return response
    if outcome.code // 1000 == _PEER_FAMILY:
        response = _peer_refusal_response(outcome)
    if outcome.retry_after_s is None:
        return response
    headers = [item for item in response.headers if item[0] != _RETRY_AFTER]
    if outcome.code is ResultCode.KEY_REFUSED:
        # A retry with the same key would fail again.
        return msgspec.structs.replace(response, headers=(*headers, _CHALLENGE))
    headers.append((_RETRY_AFTER, f"{outcome.retry_after_s:.3f}"))
    return Response(
        response.status, tuple(headers), response.body, response.body_bytes
    )


def _peer_refusal_response(outcome: NotRun | Unknown) -> Response:
    """Returns the response to the caller if one node refused another.

    The status that belongs to such a code addresses the refused node and would
    blame the caller, who did nothing wrong.
    """
    status, outcome_name = (
        (503, "not-run") if isinstance(outcome, NotRun) else (502, "unknown")
    )
    return make_problem_response(
        outcome.code,
        status,
        outcome.detail,
        outcome_name,
        outcome.retry_after_s,
    )
