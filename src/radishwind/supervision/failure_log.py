"""Logs and counts the errors that are contained.

Like the log itself, there is one for the process, since nearly every part of a
node calls listeners or starts tasks.
"""

import contextlib

from radishwind.core.clock import Clock
from radishwind.core.clock import SystemClock
from radishwind.telemetry.part_logger import first_error
from radishwind.telemetry.part_logger import PartLogger


class FailureLog:
    """Logs and counts errors, by the name of what failed.

    Attributes:
      counts: number of errors since the start, by name.
      last_errors: type of the last error, by name.
    """

    def __init__(self, clock: Clock) -> None:
        self._log = PartLogger("supervision", clock)
        self.counts: dict[str, int] = {}
        self.last_errors: dict[str, str] = {}

    def record_duty(
        self, name: str, exc: BaseException, pause_s: float
    ) -> None:
        """Records the error of a duty that starts again after `pause_s` (s)."""
        failures = self._count(name, exc)
        # An error of the log itself must not end the duty that failed.
        with contextlib.suppress(Exception):
            self._log.failure(
                f"The duty {name} failed and will be started again.",
                exc,
                may_suppress=False,
                duty=name,
                failures=failures,
                starts_in_s=round(pause_s, 3),
            )

    def record(self, name: str, exc: BaseException, what: str = "") -> None:
        """Records an error in a listener, a short task or a callback.

        Args:
          name: name of what failed.
          exc: the error.
          what: describes it further; must hold no data of others.
        """
        failures = self._count(name, exc)
        with contextlib.suppress(Exception):
            self._log.failure(
                f"An error in {name} was contained.",
                exc,
                duty=name,
                failures=failures,
                what=what or None,
            )

    def _count(self, name: str, exc: BaseException) -> int:
        self.last_errors[name] = type(first_error(exc)).__name__
        self.counts[name] = self.counts.get(name, 0) + 1
        return self.counts[name]


#: The log of the process; only the last one is used.
_logs: list[FailureLog] = [FailureLog(SystemClock())]


def failure_log() -> FailureLog:
    """Returns the log of this process."""
    return _logs[-1]


def set_failure_log(log: FailureLog) -> None:
    """Records each further error in `log`."""
    _logs[:] = [log]
