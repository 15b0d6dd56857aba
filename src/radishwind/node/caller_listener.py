"""The caller listener: takes a request clean, gives the answer clean."""

from radishwind.entry import EntryPipeline
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http.errors import RequestRejectedError
from radishwind.http.sanitization import strip_hop_by_hop_fields
from radishwind.http.sanitization import to_origin_form
from radishwind.http.sanitization import validate_request
from radishwind.outcomes import problem_response


class CallerListener:
    """Keeps callers from sending what only nodes may send."""

    def __init__(self, entry: EntryPipeline) -> None:
        self._entry = entry

    async def handle(self, request: Request) -> Response:
        """Answers one caller."""
        try:
            clean = sanitize_request(request)
        except RequestRejectedError as exc:
            return problem_response(exc.code, exc.args[0], "not-run")
        response = await self._entry.handle(clean)
        return Response(
            response.status,
            strip_hop_by_hop_fields(response.headers),
            response.body,
            response.body_bytes,
        )


def sanitize_request(request: Request) -> Request:
    """Returns `request` with only what may go on to a server.

    Raises:
      RequestRejectedError: it breaks a rule of `radishwind.http.sanitization`.
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
