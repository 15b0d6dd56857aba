"""Errors that reach the event loop itself: in callbacks and transports."""

import asyncio
from typing import Any

from radishwind.supervision.failure_log import failure_log

#: Name of these errors in the log and in the metrics.
NAME = "event_loop"

#: Longest description of what failed (characters).
_MAX_CHARS = 80


class UnraisedError(Exception):
    """The event loop reported a fault without an exception."""


def handle_loop_errors(loop: asyncio.AbstractEventLoop) -> None:
    """Logs and counts errors in `loop`, in place of the text on stderr."""
    loop.set_exception_handler(_record)


def _record(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    exc = context.get("exception") or UnraisedError()
    # What follows a bracket shows arguments, which may be data of a caller.
    message = str(context.get("message", ""))
    what = message.split("(")[0].split("<")[0].strip()
    failure_log().record(NAME, exc, what=what[:_MAX_CHARS])
