"""Logs unexpected errors of a listener's request handler."""

import asyncio

from radishwind.core.errors import RadishwindError
from radishwind.http import Handler
from radishwind.http import Request
from radishwind.http import Response
from radishwind.supervision import is_cancelled
from radishwind.supervision import StrayCancellationError
from radishwind.telemetry.part_logger import PartLogger


def with_error_logging(handler: Handler, log: PartLogger) -> Handler:
    """Returns a handler that logs unexpected errors of `handler`.

    The errors are raised again; the HTTP server, which has no logger, responds
    to them with RW-4007. So it does if something that the request waited for
    was cancelled, which a server would take for the end of the request.
    """

    async def handle(request: Request) -> Response:
        try:
            return await handler(request)
        except (RadishwindError, OSError):
            raise
        except asyncio.CancelledError as exc:
            if is_cancelled():
                raise
            log.failure("A request failed inside the node.", exc)
            raise StrayCancellationError from exc
        except Exception as exc:
            log.failure("A request failed inside the node.", exc)
            raise

    return handle
