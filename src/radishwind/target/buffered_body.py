"""Response bodies that are buffered for their readers, within a budget.

A fully buffered response releases its slot at once, however slow its reader is,
and can be retried on another target if it is cut off. The total size of the
buffers is bounded; beyond it a response streams at the speed of its reader.
"""

from collections.abc import AsyncIterator

from radishwind.http.types import BodyStream

#: Total size of all buffered responses (bytes).
MAX_TOTAL_BYTES = 8 << 20

#: Size of the chunks handed to the reader (bytes): about what a connection
#: buffers before it reports its reader as slow, so that no more is copied
#: ahead.
CHUNK_BYTES = 64 * 1024


class BufferBudget:
    """The memory budget of buffered responses.

    Attributes:
      used_bytes: size of the responses buffered now (bytes).
    """

    def __init__(self, max_bytes: int = MAX_TOTAL_BYTES) -> None:
        self._max_bytes = max_bytes
        self.used_bytes = 0

    def fits(self, size: int) -> bool:
        """Returns whether a response of `size` (bytes) may be buffered."""
        return self.used_bytes + size <= self._max_bytes

    def reserve(self, size: int) -> None:
        """Counts `size` bytes as buffered."""
        self.used_bytes += size

    def release(self, size: int) -> None:
        """Counts `size` bytes as read or dropped."""
        self.used_bytes -= size


class BufferedBody(BodyStream):
    """A fully buffered body, streamed in chunks."""

    def __init__(self, body: bytes, budget: BufferBudget) -> None:
        """Reserves the size of a body until it is read or dropped.

        Args:
          body: the whole body.
          budget: the budget to reserve from.
        """
        self._body = body
        self._budget = budget
        self._left = len(body)
        budget.reserve(self._left)

    @property
    def is_fully_buffered(self) -> bool:
        return True

    async def __aiter__(self) -> AsyncIterator[bytes]:
        body, self._body = self._body, b""
        try:
            for start in range(0, len(body), CHUNK_BYTES):
                chunk = body[start : start + CHUNK_BYTES]
                yield chunk
                self._release(len(chunk))
        finally:
            self._release(self._left)

    def abort(self) -> None:
        self._body = b""
        self._release(self._left)

    def __del__(self) -> None:
        # A cancelled reader may have dropped the body without aborting it.
        self._release(self._left)

    def _release(self, size: int) -> None:
        size = min(size, self._left)
        self._left -= size
        self._budget.release(size)
