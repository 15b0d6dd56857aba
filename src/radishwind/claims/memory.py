"""The claims a node remembers, bounded in bytes."""

import collections
import dataclasses

from radishwind.claims.record import ClaimRecord
from radishwind.claims.record import Sending

#: What one record takes besides its key and answer (bytes), roughly.
_RECORD_BYTES = 600


@dataclasses.dataclass(frozen=True, slots=True)
class _Kept:
    """A record, kept until a monotonic time (s), and what it takes."""

    record: ClaimRecord
    until: float
    size_bytes: int


class ClaimMemory:
    """Keeps the claims used last; answers repeats without the store.

    Args:
      limit_bytes: the most it holds (bytes).
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._kept: collections.OrderedDict[tuple[str, str], _Kept] = (
            collections.OrderedDict()
        )
        self.held_bytes = 0

    def get(self, sending: Sending, now: float) -> ClaimRecord | None:
        """Returns the claim of the sending's key, if known at `now` (s)."""
        identity = sending.identity
        kept = self._kept.get(identity)
        if kept is None:
            return None
        if kept.until <= now:
            self._drop(identity)
            return None
        self._kept.move_to_end(identity)
        return kept.record

    def put(self, sending: Sending, record: ClaimRecord, until: float) -> None:
        """Keeps `record` until the monotonic time `until` (s)."""
        identity = sending.identity
        self._drop(identity)
        size = _RECORD_BYTES + len(record.key)
        if record.answer is not None:
            size += record.answer.size_bytes()
        self._kept[identity] = _Kept(record, until, size)
        self.held_bytes += size
        while self.held_bytes > self._limit_bytes:
            self._drop(next(iter(self._kept)))

    def forget(self, sending: Sending) -> None:
        """Forgets the claim of the sending's key; it was released."""
        self._drop(sending.identity)

    def _drop(self, identity: tuple[str, str]) -> None:
        kept = self._kept.pop(identity, None)
        if kept is not None:
            self.held_bytes -= kept.size_bytes
