"""The claims a node remembers, bounded in bytes."""

import collections
import dataclasses

from radishwind.claims.claim_record import ClaimRecord
from radishwind.claims.claim_record import KeyedRequest

#: What one record takes besides its key and answer (bytes), roughly.
_RECORD_BYTES = 600


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """A record, kept until a monotonic time (s), and what it takes."""

    record: ClaimRecord
    until: float
    size_bytes: int


class ClaimCache:
    """Keeps the claims used last; answers repeats without the store.

    Args:
      max_bytes: the most it holds (bytes).
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._entries: collections.OrderedDict[tuple[str, str], _Entry] = (
            collections.OrderedDict()
        )
        self.used_bytes = 0

    def get(self, sending: KeyedRequest, now: float) -> ClaimRecord | None:
        """Returns the claim of the sending's key, if known at `now` (s)."""
        identity = sending.identity
        kept = self._entries.get(identity)
        if kept is None:
            return None
        if kept.until <= now:
            self._drop(identity)
            return None
        self._entries.move_to_end(identity)
        return kept.record

    def put(
        self, sending: KeyedRequest, record: ClaimRecord, until: float
    ) -> None:
        """Keeps `record` until the monotonic time `until` (s)."""
        identity = sending.identity
        self._drop(identity)
        size = _RECORD_BYTES + len(record.key)
        if record.answer is not None:
            size += record.answer.size_bytes()
        self._entries[identity] = _Entry(record, until, size)
        self.used_bytes += size
        while self.used_bytes > self._max_bytes:
            self._drop(next(iter(self._entries)))

    def remove(self, sending: KeyedRequest) -> None:
        """Forgets the claim of the sending's key; it was released."""
        self._drop(sending.identity)

    def _drop(self, identity: tuple[str, str]) -> None:
        kept = self._entries.pop(identity, None)
        if kept is not None:
            self.used_bytes -= kept.size_bytes
