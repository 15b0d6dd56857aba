"""Tells messages that were received before, by the number each one carries.

The sliding window follows RFC 4303, section 3.4.3 (IP Encapsulating Security
Payload): it needs no clock, and a constant memory for each sender.
"""

#: Numbers below the highest one received that are still told apart. Requests
#: to all nodes share their numbers and may wait half a second for a
#: connection: more than a node sends in that time.
WINDOW = 4_096

#: Senders remembered; each start of a node is another one.
MAX_SENDERS = 4_096

_MASK = (1 << WINDOW) - 1


class ReplayWindow:
    """The numbers received from one sender."""

    __slots__ = ("_highest", "_seen")

    def __init__(self) -> None:
        self._highest = -1
        # Bit i stands for the number `_highest - i`.
        self._seen = 0

    def add(self, number: int) -> bool:
        """Returns whether `number` is new; one below the window is not."""
        ahead = number - self._highest
        if ahead > 0:
            self._seen = ((self._seen << min(ahead, WINDOW)) | 1) & _MASK
            self._highest = number
            return True
        bit = 1 << -ahead
        if -ahead >= WINDOW or self._seen & bit:
            return False
        self._seen |= bit
        return True


class ReplayGuard:
    """The windows of all senders, bounded in number."""

    def __init__(self, limit: int = MAX_SENDERS) -> None:
        self._limit = limit
        self._windows: dict[bytes, ReplayWindow] = {}

    def add(self, sender: bytes, number: int) -> bool:
        """Returns whether `number` of `sender` is new."""
        window = self._windows.get(sender)
        if window is None:
            if len(self._windows) >= self._limit:
                del self._windows[next(iter(self._windows))]
            window = self._windows[sender] = ReplayWindow()
        return window.add(number)
