"""Bounds the memory that all connections of a process hold together.

Those that the process accepts and those that it opens are counted alike. Each
connection has limits of its own, but their sum over all connections may exceed
the memory of the machine. Beyond the bound the connection that holds the most
frees what it holds, until all fit: it drops the body of its request, or closes.
A connection with an ordinary request holds little.
"""

import abc

from radishwind.core.clock import Clock
from radishwind.http.early_closes import EarlyCloseReason
from radishwind.http.early_closes import EarlyCloses

#: Default bound of the memory that connections hold (bytes).
DEFAULT_MAX_BYTES = 64 << 20

#: Approximate memory of a parsed request beside its bytes: the objects of its
#: head, its task and its response (bytes).
REQUEST_OVERHEAD_BYTES = 2048

#: What is buffered of a response that is received while its receiver accepts
#: nothing (bytes): up to the point where reading pauses, and one read.
STALLED_RESPONSE_BYTES = 384 * 1024

#: A connection reports what it holds once that has changed by so much (bytes):
#: more than an ordinary request, whose reports would cost more than they tell.
REPORT_STEP_BYTES = 4096


class MemoryHolder(abc.ABC):
    """A connection, as the holder of memory."""

    @abc.abstractmethod
    def close_to_free_memory(self) -> str:
        """Frees what the connection holds; returns the address of the peer.

        The connection is closed unless its request can still be answered.
        """


class ConnectionMemory:
    """Counts what connections hold, and closes the largest beyond a bound.

    Attributes:
      max_bytes: the bound (bytes).
      used_bytes: what the connections hold now, approximately (bytes).
      closes: the connections closed early, for any reason.
    """

    def __init__(
        self,
        max_bytes: int = DEFAULT_MAX_BYTES,
        clock: Clock | None = None,
    ) -> None:
        """Creates the account of a process without connections.

        Args:
          max_bytes: the bound (bytes).
          clock: times the log lines; by default nothing is logged.
        """
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self._held: dict[MemoryHolder, int] = {}
        self.closes = EarlyCloses(clock)

    def update(self, holder: MemoryHolder, size: int) -> None:
        """Records that `holder` now holds `size` bytes."""
        self.used_bytes += size - self._held.get(holder, 0)
        if size:
            self._held[holder] = size
        else:
            self._held.pop(holder, None)
        while self.used_bytes > self.max_bytes:
            self._close_largest()

    def release(self, holder: MemoryHolder) -> None:
        """Records that `holder` is closed and holds nothing."""
        self.used_bytes -= self._held.pop(holder, 0)

    def _close_largest(self) -> None:
        holder = max(self._held, key=self._held.__getitem__)
        held_bytes, used_bytes = self._held[holder], self.used_bytes
        self.release(holder)
        self.closes.record(
            EarlyCloseReason.MEMORY,
            holder.close_to_free_memory(),
            held_bytes=held_bytes,
            used_bytes=used_bytes,
            max_bytes=self.max_bytes,
        )
