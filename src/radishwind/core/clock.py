"""Clocks behind an interface, so that no decision reads the time itself.

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
        """Returns the time of a clock that never goes backwards (s)."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Returns the wall-clock time as an aware `datetime` in UTC."""

    def wall_ms(self) -> int:
        """Returns the wall-clock time (ms since the epoch, UTC)."""
        return int(self.now().timestamp() * 1000)


class SystemClock(Clock):
    """The system clock."""

    def monotonic(self) -> float:
        return time.monotonic()

    def now(self) -> datetime.datetime:
        return datetime.datetime.now(datetime.UTC)


class BootClock(SystemClock):
    """The system clock of a machine that may be suspended.

    Its monotonic time includes the time of suspension, so that whatever fell
    due meanwhile is known to be late afterwards. The wall-clock time cannot
    replace it, since it may jump.
    """

    def monotonic(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that only `advance` moves; for tests and recorded sessions."""

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
        """Moves both times forward.

        Args:
          seconds: duration (s).

        Raises:
          ValueError: `seconds` is negative.
        """
        if seconds < 0:
            raise ValueError(f"expected seconds >= 0, got {seconds}")
        self._elapsed_s += seconds
