"""Receives the announcements of the backend server on the admin listener."""

from collections.abc import Callable

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError
from radishwind.http.types import read_body
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.outcomes.responses import problem_response
from radishwind.target.backend_server import Announcement
from radishwind.target.backend_server import AnnouncementRefusedError
from radishwind.target.backend_server import BackendServer
from radishwind.telemetry.part_logger import PartLogger

#: The largest body of an announcement (bytes); a larger one is not read.
MAX_ANNOUNCEMENT_BYTES = 4096

_decoder = JsonDecoder[Announcement](
    Announcement, "an announcement", MAX_ANNOUNCEMENT_BYTES
)
_NO_CONTENT = Response(204)


class AnnouncementHandler:
    """Handles `POST /v1/server`.

    Args:
      clock: the clock.
      server: accepts the announcements.
      on_started: called when a new process of the server has announced itself.
    """

    def __init__(
        self,
        clock: Clock,
        server: BackendServer,
        on_started: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._server = server
        self._on_started = on_started
        self._log = PartLogger("target", clock)
        self._reported_unlisted = False

    async def handle(self, request: Request) -> Response:
        """Handles one announcement; responds with 204 if it was accepted."""
        if (
            request.body_bytes is None
            or request.body_bytes > MAX_ANNOUNCEMENT_BYTES
        ):
            return _refused(
                f"expected a body of at most {MAX_ANNOUNCEMENT_BYTES} bytes"
            )
        try:
            announcement = _decoder.decode(await read_body(request.body))
            is_new = self._server.accept_announcement(
                announcement, self._clock.monotonic()
            )
        except MalformedInputError as exc:
            return _refused(str(exc.args[0]))
        except AnnouncementRefusedError as exc:
            self._log.warning("Refused an announcement.", reason=str(exc))
            return _refused(str(exc.args[0]))
        if is_new:
            self._log.info(
                "The server announced a new start.",
                address=announcement.address,
            )
            self._on_started()
        self._report_unlisted(announcement.target)
        return _NO_CONTENT

    def _report_unlisted(self, target: str) -> None:
        """Logs once that the inventory does not list the target."""
        unlisted = self._server.is_listed is False
        if unlisted and not self._reported_unlisted:
            self._log.error(
                "The server is not in the inventory and gets no requests.",
                target=target,
            )
        self._reported_unlisted = unlisted


def _refused(detail: str) -> Response:
    return problem_response(ResultCode.ANNOUNCEMENT_REFUSED, detail, "not-run")
