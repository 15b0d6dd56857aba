"""Short sentences with a fixed prefix for each part, as JSON lines.

eliot writes them, but for a process that takes them by `set_log_sink`: eliot
and what it brings take 32 ms of the 500 ms of processor time that the imports
of a node on the platform took (importtime), and nobody is served before.

Nothing is logged per request; what is logged are changes of state and faults,
and a sentence that comes again is held back for a while and counted. Callers
pass names, numbers and codes, never bodies, keys or field values of requests.
"""

from collections.abc import Callable
import pathlib
import traceback
from typing import TextIO
from typing import TypeAlias

from radishwind.core.clock import Clock

#: The same sentence of the same part is logged once in this time (s).
REPEAT_S = 10.0

#: Sentences remembered for that, a part.
_REMEMBERED = 256

#: Innermost calls told of an error.
_FRAMES = 4


#: The fields of a line.
LogMessage: TypeAlias = dict[str, str | float | None]

#: Who takes the lines; the last one does.
_sinks: list[Callable[[LogMessage], None]] = []


class PartLogger:
    """Logs for one part of the system.

    Args:
      part: the prefix, a slice's name such as `membership`.
      clock: for holding back what comes again.
    """

    def __init__(self, part: str, clock: Clock) -> None:
        self._part = part
        self._clock = clock
        # By sentence: when it was logged last (monotonic, s), and how often it
        # was held back since.
        self._seen: dict[str, tuple[float, int]] = {}

    def info(self, sentence: str, **fields: str | float | None) -> None:
        """Logs an ordinary change of state."""
        self._log("info", sentence, fields)

    def warning(self, sentence: str, **fields: str | float | None) -> None:
        """Logs a fault that the system lives with."""
        self._log("warning", sentence, fields)

    def error(self, sentence: str, **fields: str | float | None) -> None:
        """Logs a fault that an operator must look at."""
        self._log("error", sentence, fields)

    def change(self, sentence: str, **fields: str | float | None) -> None:
        """Logs a change of what this process believes; none is held back."""
        self._write("info", sentence, fields)

    def failure(self, sentence: str, exc: BaseException) -> None:
        """Logs an error that ought not to be: its kind and where it arose.

        The error's own text is left out, since it may hold what a caller sent.
        """
        frames = traceback.extract_tb(exc.__traceback__)[-_FRAMES:]
        self.error(
            sentence,
            kind=type(exc).__name__,
            at=" < ".join(
                f"{pathlib.PurePath(f.filename).name}:{f.lineno} {f.name}"
                for f in reversed(frames)
            ),
        )

    def _log(
        self, level: str, sentence: str, fields: dict[str, str | float | None]
    ) -> None:
        now = self._clock.monotonic()
        last, held = self._seen.get(sentence, (-REPEAT_S, 0))
        if now - last < REPEAT_S:
            self._seen[sentence] = (last, held + 1)
            return
        if held:
            fields = {**fields, "held_back": held}
        if len(self._seen) >= _REMEMBERED:
            self._seen.clear()
        self._seen[sentence] = (now, 0)
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
        _log_by_eliot(message)


def set_log_sink(taker: Callable[[LogMessage], None]) -> None:
    """Hands each line to `taker` from now on, with its time, past eliot."""
    _sinks.append(taker)


def start_logging(stream: TextIO) -> None:
    """Writes the log lines to `stream`, one JSON object each."""
    import eliot

    eliot.to_file(stream)


def _log_by_eliot(message: LogMessage) -> None:
    import eliot

    eliot.log_message(**message)
