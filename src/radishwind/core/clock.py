"""The clock as an interface, so that decisions never read the time themselves.

Durations and monotonic times are `float` seconds on the hot path; points in
wall-clock time are aware `datetime` values in UTC.
"""

import abc
import datetime
import time


class Clock(abc.ABC):
    """A source of monotonic and wall-clock time."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns seconds on a clock that never goes back."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Returns the wall-clock time, aware, in UTC."""

    def wall_ms(self) -> int:
        """Returns the wall-clock time (ms since the epoch, UTC)."""
        return int(self.now().timestamp() * 1000)


class SystemClock(Clock):
    """The clock of the machine."""

    def monotonic(self) -> float:
        return time.monotonic()

    def now(self) -> datetime.datetime:
        return datetime.datetime.now(datetime.UTC)


class BootClock(SystemClock):
    """The clock of a machine that may be suspended.

    Its monotonic time goes on while the machine stands still, so that what
    was due meanwhile is known to be late afterwards. The time of day tells
    nothing here: it may jump.
    """

    def monotonic(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that moves only when told; for tests and recorded sessions."""

    def __init__(
        self,
        start: datetime.datetime = datetime.datetime(
            2026, 1, 1, tzinfo=datetime.UTC
        ),
    ) -> None:
        self._start = start
        self._elapsed_s = 0.0

    def monotonic(self) -> float:
        return self._elapsed_s

    def now(self) -> datetime.datetime:
        return self._start + datetime.timedelta(seconds=self._elapsed_s)

    def advance(self, seconds: float) -> None:
        """Moves both times forward by `seconds` (s, not negative)."""
        if seconds < 0:
            raise ValueError(f"expected seconds >= 0, got {seconds}")
        self._elapsed_s += seconds
