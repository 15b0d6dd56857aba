"""Logs what libraries and the interpreter would print.

They write to the standard error, which may be a pipe that nobody reads: the
node would stand still in such a write.
"""

import logging
import sys
from typing import Any

from radishwind.telemetry.part_logger import PartLogger

#: Longest name of a library in a line (characters).
_MAX_NAME_CHARS = 40


def log_stray_errors(log: PartLogger) -> None:
    """Passes warnings of libraries and ignored errors on to `log`."""
    logging.getLogger().addHandler(LibraryLogHandler(log))
    sys.unraisablehook = lambda unraisable: _log_unraisable(log, unraisable)


class LibraryLogHandler(logging.Handler):
    """Logs that a library logged a warning, and where."""

    def __init__(self, log: PartLogger) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        # The message is omitted, since it may contain data of a caller.
        sentence = f"The library {record.name[:_MAX_NAME_CHARS]} warned."
        place = f"{record.filename}:{record.lineno} {record.funcName}"
        exc = record.exc_info[1] if record.exc_info else None
        if exc is None:
            self._log.warning(sentence, place=place)
            return
        self._log.failure(sentence, exc, place=place)


def _log_unraisable(log: PartLogger, unraisable: Any) -> None:
    if unraisable.exc_value is not None:
        log.failure("An error could not be raised.", unraisable.exc_value)
