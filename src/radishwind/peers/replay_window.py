"""Detects replayed messages by their sequence numbers.

The sliding window follows RFC 4303, section 3.4.3 (IP Encapsulating Security
Payload). It needs no clock and constant memory per sender.
"""

#: Maximum number of senders; each process of a node is a sender of its own.
MAX_SENDERS = 4_096


class ReplayWindow:
    """Sequence numbers received from one sender."""

    __slots__ = ("_highest", "_seen", "_size")

    def __init__(self, size: int) -> None:
        """Creates an empty window.

        Args:
          size: number of sequence numbers, up to the highest one received, that
            are tracked individually.
        """
        self._size = size
        self._highest = -1
        # Bit i represents the sequence number `_highest - i`.
        self._seen = 0

    def add(self, number: int) -> bool:
        """Adds `number`; returns whether it is new.

        A number below the window counts as not new.
        """
        ahead = number - self._highest
        if ahead > 0:
            self._highest = number
            if ahead >= self._size:
                self._seen = 1
                return True
            mask = (1 << self._size) - 1
            self._seen = ((self._seen << ahead) | 1) & mask
            return True
        if -ahead >= self._size or self._seen >> -ahead & 1:
            return False
        self._seen |= 1 << -ahead
        return True


class ReplayGuard:
    """Replay windows of all senders, bounded in number."""

    def __init__(self, size: int, limit: int = MAX_SENDERS) -> None:
        """Creates a guard without senders.

        Args:
          size: size of each window.
          limit: maximum number of senders; the oldest one is dropped first.
        """
        self._size = size
        self._limit = limit
        self._windows: dict[bytes, ReplayWindow] = {}

    def add(self, sender: bytes, number: int) -> bool:
        """Adds `number` of `sender`; returns whether it is new."""
        window = self._windows.get(sender)
        if window is None:
            if len(self._windows) >= self._limit:
                del self._windows[next(iter(self._windows))]
            window = self._windows[sender] = ReplayWindow(self._size)
        return window.add(number)
