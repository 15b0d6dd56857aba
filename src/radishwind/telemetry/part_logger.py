"""Rate-limited log of each part of the system, as JSON lines.

Lines are written through eliot unless `set_log_sink` was called. eliot and its
dependencies take 32 ms of the 500 ms of processor time that the imports of a
node on the platform took (importtime), and a node serves no request before its
imports are done.

Nothing is logged per request. Loggers report changes of state and faults; a
repeated sentence is suppressed for a while and counted. Callers pass names,
numbers and codes, never bodies, keys or field values of requests.
"""

from collections.abc import Callable
import pathlib
import traceback
from typing import TypeAlias

from radishwind.core.clock import Clock

#: A part logs the same sentence at most once in this time (s).
REPEAT_INTERVAL_S = 10.0

#: Sentences that a part remembers for that.
_MAX_REMEMBERED = 256

#: Innermost stack frames logged for an error.
_MAX_FRAMES = 4

#: The fields of a log line.
LogMessage: TypeAlias = dict[str, str | float | None]

#: Receivers of log lines; only the last one is used.
_sinks: list[Callable[[LogMessage], None]] = []


class PartLogger:
    """Logs for one part of the system.

    Args:
      part: prefix of each line, the name of a package such as `membership`.
      clock: clock by which repeated sentences are suppressed.
    """

    def __init__(self, part: str, clock: Clock) -> None:
        self._part = part
        self._clock = clock
        # By sentence: time of its last line (monotonic, s), and how often it
        # was suppressed since.
        self._history: dict[str, tuple[float, int]] = {}

    def info(self, sentence: str, **fields: str | float | None) -> None:
        """Logs an ordinary change of state."""
        self._log("info", sentence, fields)

    def warning(self, sentence: str, **fields: str | float | None) -> None:
        """Logs a fault that the system tolerates."""
        self._log("warning", sentence, fields)

    def error(self, sentence: str, **fields: str | float | None) -> None:
        """Logs a fault that needs an operator's attention."""
        self._log("error", sentence, fields)

    def change(self, sentence: str, **fields: str | float | None) -> None:
        """Logs a change in this process's view; never suppressed."""
        self._write("info", sentence, fields)

    def failure(
        self,
        sentence: str,
        exc: BaseException,
        *,
        may_suppress: bool = True,
        **fields: str | float | None,
    ) -> None:
        """Logs an unexpected error: its type and where it was raised.

        The error's message is omitted, since it may contain data of a caller.
        Of the errors in a group, the first one is logged.

        Args:
          sentence: what failed.
          exc: the error.
          may_suppress: whether the line is left out if it repeats soon.
          **fields: further fields of the line.
        """
        exc = first_error(exc)
        frames = traceback.extract_tb(exc.__traceback__)[-_MAX_FRAMES:]
        fields = {
            "kind": type(exc).__name__,
            "at": " < ".join(
                f"{pathlib.PurePath(f.filename).name}:{f.lineno} {f.name}"
                for f in reversed(frames)
            ),
            **fields,
        }
        write = self._log if may_suppress else self._write
        write("error", sentence, fields)

    def _log(
        self, level: str, sentence: str, fields: dict[str, str | float | None]
    ) -> None:
        now = self._clock.monotonic()
        last, suppressed = self._history.get(sentence, (-REPEAT_INTERVAL_S, 0))
        if now - last < REPEAT_INTERVAL_S:
            self._history[sentence] = (last, suppressed + 1)
            return
        if suppressed:
            fields = {**fields, "held_back": suppressed}
        if len(self._history) >= _MAX_REMEMBERED:
            self._history.clear()
        self._history[sentence] = (now, 0)
        self._write(level, sentence, fields)

    def _write(
        self, level: str, sentence: str, fields: dict[str, str | float | None]
    ) -> None:
        message: LogMessage = {
            "message_type": f"radishwind:{self._part}",
            "level": level,
            "text": f"{self._part}: {sentence}",
            **fields,
        }
        if _sinks:
            message["timestamp"] = self._clock.now().timestamp()
            _sinks[-1](message)
            return
        _log_with_eliot(message)


def first_error(exc: BaseException) -> BaseException:
    """Returns the first error in `exc` that is not a group itself."""
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc


def set_log_sink(sink: Callable[[LogMessage], None]) -> None:
    """Passes each further line with its timestamp to `sink`, not to eliot."""
    _sinks.append(sink)


def _log_with_eliot(message: LogMessage) -> None:
    import eliot

    eliot.log_message(**message)
