"""The listener for external callers; sanitizes requests and responses."""

from radishwind.entry import EntryPipeline
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http.errors import RequestRejectedError
from radishwind.http.sanitization import strip_hop_by_hop_fields
from radishwind.http.sanitization import to_origin_form
from radishwind.http.sanitization import validate_request
from radishwind.outcomes import problem_response


class CallerListener:
    """Handles requests of external callers.

    Hop-by-hop header fields, and those that only nodes may send or receive, are
    removed from requests and responses.
    """

    def __init__(self, entry: EntryPipeline) -> None:
        self._entry = entry

    async def handle(self, request: Request) -> Response:
        """Handles a request; responds with an error if it is malformed."""
        try:
            sanitized = sanitize_request(request)
        except RequestRejectedError as exc:
            return problem_response(exc.code, exc.args[0], "not-run")
        response = await self._entry.handle(sanitized)
        return Response(
            response.status,
            strip_hop_by_hop_fields(response.headers),
            response.body,
            response.body_bytes,
        )


def sanitize_request(request: Request) -> Request:
    """Returns `request` with only what may be forwarded to a server.

    Raises:
      RequestRejectedError: it violates a rule of
        `radishwind.http.sanitization`.
    """
    validate_request(request)
    return Request(
        request.method,
        to_origin_form(request.path),
        strip_hop_by_hop_fields(request.headers),
        request.body,
        request.body_bytes,
        request.remote,
    )
