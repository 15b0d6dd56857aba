"""Counts the bytes that connections transfer."""

import abc


class ByteMeter(abc.ABC):
    """Interface: records the bytes sent and received on connections."""

    @abc.abstractmethod
    def record_sent(self, size: int) -> None:
        """Records that `size` bytes were written to a connection."""

    @abc.abstractmethod
    def record_received(self, size: int) -> None:
        """Records that `size` bytes were received on a connection."""


class NoMeter(ByteMeter):
    """Counts nothing."""

    def record_sent(self, size: int) -> None:
        """Does nothing."""

    def record_received(self, size: int) -> None:
        """Does nothing."""


NO_METER = NoMeter()
