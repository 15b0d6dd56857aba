"""Tells messages that were received before, by the number each one carries.

The sliding window follows RFC 4303, section 3.4.3 (IP Encapsulating Security
Payload): it needs no clock, and a constant memory for each sender.
"""

#: Senders remembered; each start of a node is another one.
MAX_SENDERS = 4_096


class ReplayWindow:
    """The numbers received from one sender."""

    __slots__ = ("_highest", "_seen", "_size")

    def __init__(self, size: int) -> None:
        """Makes a window.

        Args:
          size: numbers below the highest one that are told apart.
        """
        self._size = size
        self._highest = -1
        # Bit i stands for the number `_highest - i`.
        self._seen = 0

    def add(self, number: int) -> bool:
        """Returns whether `number` is new; one below the window is not."""
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
    """The windows of all senders, bounded in number."""

    def __init__(self, size: int, limit: int = MAX_SENDERS) -> None:
        """Makes a guard that knows no sender yet.

        Args:
          size: of each window.
          limit: senders remembered; beyond it the oldest is forgotten.
        """
        self._size = size
        self._limit = limit
        self._windows: dict[bytes, ReplayWindow] = {}

    def add(self, sender: bytes, number: int) -> bool:
        """Returns whether `number` of `sender` is new."""
        window = self._windows.get(sender)
        if window is None:
            if len(self._windows) >= self._limit:
                del self._windows[next(iter(self._windows))]
            window = self._windows[sender] = ReplayWindow(self._size)
        return window.add(number)
