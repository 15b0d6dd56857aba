"""Whole answers that wait for their readers, within bounds.

An answer that is held whole gives its slot back at once, however slow its
reader is, and can be tried elsewhere if it breaks off. What all of them may
take is bounded; beyond it an answer streams at the pace of its reader.
"""

from collections.abc import AsyncIterator

from radishwind.http.types import BodyStream

#: What all answers that are held may take (bytes).
HELD_IN_ALL_BYTES = 8 << 20

#: Pieces in which one is handed on (bytes): about what a connection takes
#: before it says that its reader is slow, so that no more is copied ahead.
PIECE_BYTES = 64 * 1024


class BufferBudget:
    """What answers that are held take, of what they may.

    Attributes:
      used_bytes: what they take (bytes).
    """

    def __init__(self, most_bytes: int = HELD_IN_ALL_BYTES) -> None:
        self._most_bytes = most_bytes
        self.used_bytes = 0

    def fits(self, size: int) -> bool:
        """Returns whether an answer of `size` (bytes) may be held."""
        return self.used_bytes + size <= self._most_bytes

    def reserve(self, size: int) -> None:
        """Counts `size` bytes as held."""
        self.used_bytes += size

    def release(self, size: int) -> None:
        """Counts `size` bytes as handed on or given up."""
        self.used_bytes -= size


class BufferedBody(BodyStream):
    """A body at hand, handed on piece by piece."""

    def __init__(self, body: bytes, room: BufferBudget) -> None:
        """Takes room for a body until it is read or given up.

        Args:
          body: the whole body.
          room: what it takes of.
        """
        self._body = body
        self._room = room
        self._left = len(body)
        room.reserve(self._left)

    @property
    def is_whole(self) -> bool:
        return True

    async def __aiter__(self) -> AsyncIterator[bytes]:
        body, self._body = self._body, b""
        try:
            for start in range(0, len(body), PIECE_BYTES):
                piece = body[start : start + PIECE_BYTES]
                yield piece
                self._give_back(len(piece))
        finally:
            self._give_back(self._left)

    def abort(self) -> None:
        self._body = b""
        self._give_back(self._left)

    def __del__(self) -> None:
        # Whoever had it may have been cancelled without a word.
        self._give_back(self._left)

    def _give_back(self, size: int) -> None:
        size = min(size, self._left)
        self._left -= size
        self._room.release(size)
