"""Counts the bytes that connections carry."""

import abc


class ByteMeter(abc.ABC):
    """Takes what was sent and received."""

    @abc.abstractmethod
    def record_sent(self, size: int) -> None:
        """Takes that `size` bytes were handed to a connection."""

    @abc.abstractmethod
    def record_received(self, size: int) -> None:
        """Takes that `size` bytes came from a connection."""


class NoMeter(ByteMeter):
    """Counts nothing."""

    def record_sent(self, size: int) -> None:
        """Forgets it."""

    def record_received(self, size: int) -> None:
        """Forgets it."""


NO_METER = NoMeter()
