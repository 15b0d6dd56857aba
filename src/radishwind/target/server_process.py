"""Identifies one process of a server by its incarnation and start time.

A server may restart under the same incarnation. Only its start time, which it
states with everything it reports of itself, distinguishes the two processes.
"""

import msgspec

_START_MARK = "@"

#: Digits of a start time at most; more would exceed 64 bits.
_MAX_START_DIGITS = 19


class ServerProcess(msgspec.Struct, frozen=True):
    """One process of a server, from its start to its end.

    Attributes:
      incarnation: the name by which requests address it.
      started_ms: its start time by its own clock (ms since the epoch, UTC); 0
        if unknown.
    """

    incarnation: str
    started_ms: int = 0

    @property
    def key(self) -> str:
        """The key of this process in a record."""
        if not self.started_ms and _START_MARK not in self.incarnation:
            return self.incarnation
        return f"{self.incarnation}{_START_MARK}{self.started_ms}"

    @classmethod
    def from_key(cls, key: str) -> "ServerProcess":
        """Returns the process with the given key."""
        incarnation, mark, started = key.rpartition(_START_MARK)
        is_time = started.isascii() and started.isdigit()
        if mark and is_time and len(started) <= _MAX_START_DIGITS:
            return cls(incarnation, int(started))
        return cls(key)

    def may_equal(self, other: "ServerProcess") -> bool:
        """Returns whether both may be the same process.

        An unknown start time matches any.
        """
        if self.incarnation != other.incarnation:
            return False
        if not self.started_ms or not other.started_ms:
            return True
        return self.started_ms == other.started_ms
