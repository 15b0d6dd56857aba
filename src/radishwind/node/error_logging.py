"""Logs what a listener's handler raises and ought not to."""

from radishwind.core.errors import RadishwindError
from radishwind.http import Handler
from radishwind.http import Request
from radishwind.http import Response
from radishwind.telemetry.part_logger import PartLogger


def with_error_logging(handler: Handler, log: PartLogger) -> Handler:
    """Returns `handler`, with its unexpected errors logged.

    The HTTP library answers them with RW-4007; it has nothing to log by.
    """

    async def handle(request: Request) -> Response:
        try:
            return await handler(request)
        except (RadishwindError, OSError):
            raise
        except Exception as exc:
            log.failure("A request failed inside the node.", exc)
            raise

    return handle
