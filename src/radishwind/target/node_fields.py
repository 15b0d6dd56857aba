"""Removes fields from a server's response that only nodes may send."""

from radishwind.http.problems import CODE_FIELD
from radishwind.http.problems import OUTCOME_FIELD
from radishwind.http.sanitization import NODE_FIELD_PREFIX
from radishwind.http.types import Response

#: Fields by which a node states the outcome of a request. A server that passes
#: on the response to one of its own calls must not state them for this request.
_OUTCOME_FIELDS = frozenset({CODE_FIELD.lower(), OUTCOME_FIELD.lower()})


def strip_node_fields(response: Response) -> Response:
    """Returns the server's response without fields that only nodes may send."""
    headers = [
        item for item in response.headers if not _is_node_field(item[0].lower())
    ]
    if len(headers) == len(response.headers):
        return response
    return Response(
        response.status, tuple(headers), response.body, response.body_bytes
    )


def _is_node_field(name: str) -> bool:
    """Returns whether only nodes may send the field `name` (lower case)."""
    if not name.startswith("radishwind-"):
        return False
    return name in _OUTCOME_FIELDS or name.startswith(NODE_FIELD_PREFIX)
