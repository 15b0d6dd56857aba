"""LRU cache of the claims known to a node, bounded in bytes."""

import collections
import dataclasses

from radishwind.claims.claim_record import ClaimRecord
from radishwind.claims.claim_record import KeyedRequest

#: Approximate memory use of a record without its key and response.
_RECORD_OVERHEAD_BYTES = 600


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """A cached record.

    Attributes:
      record: the record.
      expires_at: monotonic time until which it is valid (s).
      size_bytes: approximate memory use.
    """

    record: ClaimRecord
    expires_at: float
    size_bytes: int


class ClaimCache:
    """Caches claims, so that duplicates are answered without the store.

    The least recently used claims are evicted first.

    Args:
      max_bytes: maximum memory use.

    Attributes:
      used_bytes: approximate memory use.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._entries: collections.OrderedDict[tuple[str, str], _Entry] = (
            collections.OrderedDict()
        )
        self.used_bytes = 0

    def get(self, request: KeyedRequest, now: float) -> ClaimRecord | None:
        """Returns the claim of the request's key, if cached at `now` (s)."""
        identity = request.identity
        entry = self._entries.get(identity)
        if entry is None:
            return None
        if entry.expires_at <= now:
            self._evict(identity)
            return None
        self._entries.move_to_end(identity)
        return entry.record

    def put(
        self, request: KeyedRequest, record: ClaimRecord, expires_at: float
    ) -> None:
        """Caches `record` until the monotonic time `expires_at` (s)."""
        identity = request.identity
        self._evict(identity)
        size_bytes = _RECORD_OVERHEAD_BYTES + len(record.key)
        if record.answer is not None:
            size_bytes += record.answer.size_bytes()
        self._entries[identity] = _Entry(record, expires_at, size_bytes)
        self.used_bytes += size_bytes
        while self.used_bytes > self._max_bytes:
            self._evict(next(iter(self._entries)))

    def remove(self, request: KeyedRequest) -> None:
        """Removes the claim of the request's key, which was released."""
        self._evict(request.identity)

    def _evict(self, identity: tuple[str, str]) -> None:
        entry = self._entries.pop(identity, None)
        if entry is not None:
            self.used_bytes -= entry.size_bytes
