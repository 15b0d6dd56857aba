"""Takes from the server's answers what nodes alone may tell."""

from radishwind.http.hygiene import NODE_FIELD_PREFIX
from radishwind.http.problems import CODE_FIELD
from radishwind.http.problems import OUTCOME_FIELD
from radishwind.http.types import Response

#: Fields by which a node tells what became of a request. A server that passes
#: on the answer of a call of its own must not tell them of this request.
_OUTCOME_FIELDS = frozenset({CODE_FIELD.lower(), OUTCOME_FIELD.lower()})


def without_node_fields(response: Response) -> Response:
    """Returns the server's answer without fields that nodes alone may tell."""
    headers = [
        item for item in response.headers if not _is_node_field(item[0].lower())
    ]
    if len(headers) == len(response.headers):
        return response
    return Response(
        response.status, tuple(headers), response.body, response.body_bytes
    )


def _is_node_field(name: str) -> bool:
    """Returns whether nodes alone may send the field `name` (lower case)."""
    if not name.startswith("radishwind-"):
        return False
    return name in _OUTCOME_FIELDS or name.startswith(NODE_FIELD_PREFIX)
