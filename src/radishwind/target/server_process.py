"""Which start of a server is meant: its incarnation and when it started.

A server may start again under the incarnation that it had. Only the moment of
its start, which it tells with all that it says of itself, tells two such lives
apart.
"""

import msgspec

_START_MARK = "@"


class ServerProcess(msgspec.Struct, frozen=True):
    """One life of a server.

    Attributes:
      incarnation: by which requests name it.
      started_ms: when it started, by its own clock (ms since the epoch, UTC); 0
        where that was not told.
    """

    incarnation: str
    started_ms: int = 0

    @property
    def key(self) -> str:
        """Names this life in a record."""
        if not self.started_ms and _START_MARK not in self.incarnation:
            return self.incarnation
        return f"{self.incarnation}{_START_MARK}{self.started_ms}"

    @classmethod
    def from_key(cls, key: str) -> "ServerProcess":
        """Returns the life that `key` names."""
        incarnation, mark, started = key.rpartition(_START_MARK)
        if mark and started.isascii() and started.isdigit():
            return cls(incarnation, int(started))
        return cls(key)

    def may_equal(self, other: "ServerProcess") -> bool:
        """Returns whether both may be the same life, by what was told."""
        if self.incarnation != other.incarnation:
            return False
        if not self.started_ms or not other.started_ms:
            return True
        return self.started_ms == other.started_ms
