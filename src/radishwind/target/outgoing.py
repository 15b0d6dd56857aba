"""The request as the server gets it, and its answer as others get it."""

import dataclasses

from radishwind.entry.call import Call
from radishwind.entry.call import nested_request
from radishwind.http.problems import CODE_FIELD
from radishwind.http.problems import OUTCOME_FIELD
from radishwind.http.types import Request
from radishwind.http.types import Response

#: Fields that only nodes may send start so; the server neither sees them nor
#: may send them.
_NODE_FIELD_PREFIX = "radishwind-node-"

#: Fields by which a node tells what became of a request. A server that passes
#: on the answer of a call of its own must not tell them of this request.
_OUTCOME_FIELDS = frozenset({CODE_FIELD.lower(), OUTCOME_FIELD.lower()})


def outgoing(call: Call, now: float) -> Request:
    """Returns the request of `call` for the server.

    It tells the time left and the depth, and no field of nodes among
    themselves.

    Args:
      call: the call.
      now: monotonic time (s).
    """
    request = nested_request(call, now)
    headers = tuple(h for h in request.headers if not _of_nodes(h[0]))
    return dataclasses.replace(request, headers=headers)


def incoming(response: Response) -> Response:
    """Returns the server's answer without fields that nodes alone may tell."""
    headers = tuple(
        (name, value)
        for name, value in response.headers
        if not _of_nodes(name) and name.lower() not in _OUTCOME_FIELDS
    )
    if len(headers) == len(response.headers):
        return response
    return dataclasses.replace(response, headers=headers)


def _of_nodes(name: str) -> bool:
    return name.lower().startswith(_NODE_FIELD_PREFIX)
