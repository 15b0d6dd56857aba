"""The server's answer as others get it."""

from radishwind.http.hygiene import NODE_FIELD_PREFIX
from radishwind.http.problems import CODE_FIELD
from radishwind.http.problems import OUTCOME_FIELD
from radishwind.http.types import Response

#: Fields by which a node tells what became of a request. A server that passes
#: on the answer of a call of its own must not tell them of this request.
_OUTCOME_FIELDS = frozenset({CODE_FIELD.lower(), OUTCOME_FIELD.lower()})


def incoming(response: Response) -> Response:
    """Returns the server's answer without fields that nodes alone may tell."""
    headers = [
        item for item in response.headers if not _of_nodes(item[0].lower())
    ]
    if len(headers) == len(response.headers):
        return response
    return Response(
        response.status, tuple(headers), response.body, response.body_bytes
    )


def _of_nodes(name: str) -> bool:
    """Returns whether the field `name`, in lower case, is of nodes alone."""
    if not name.startswith("radishwind-"):
        return False
    return name in _OUTCOME_FIELDS or name.startswith(NODE_FIELD_PREFIX)
