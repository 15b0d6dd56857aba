"""Updates waiting for dissemination, and the messages that carry them."""

import math
from typing import TypeAlias

from radishwind.membership.membership_table import MembershipTable
from radishwind.membership.membership_table import RumorKey
from radishwind.membership.records import MemberRecord
from radishwind.membership.records import Rumor

#: A member's name, or a rumor's topic and key.
UpdateKey: TypeAlias = str | RumorKey

#: Number of messages on which an update is piggybacked, per doubling of the
#: number of members.
_PIGGYBACKS_PER_DOUBLING = 1.5


class DisseminationQueue:
    """Holds updates to push once and to piggyback on several messages.

    Pushes are limited by a token bucket of bytes.
    """

    def __init__(
        self,
        table: MembershipTable,
        push_rate_bytes_per_s: float,
        push_burst_bytes: float,
        now: float,
    ) -> None:
        self._table = table
        self._push_rate_bytes_per_s = push_rate_bytes_per_s
        self._push_burst_bytes = push_burst_bytes
        self._tokens = push_burst_bytes
        self._refilled_at_s = now
        self._push_queue: dict[UpdateKey, None] = {}
        self._piggybacks_left: dict[UpdateKey, int] = {}

    @property
    def has_pending_pushes(self) -> bool:
        """Whether any update is waiting to be pushed."""
        return bool(self._push_queue)

    def add(self, key: UpdateKey) -> None:
        """Disseminates the entry of `key`, always in its newest version."""
        doublings = math.log2(len(self._table.members) + 2)
        self._piggybacks_left[key] = math.ceil(
            _PIGGYBACKS_PER_DOUBLING * doublings
        )
        self._push_queue[key] = None

    def discard(self, key: UpdateKey) -> None:
        """Stops disseminating the entry of `key`."""
        self._push_queue.pop(key, None)
        self._piggybacks_left.pop(key, None)

    def mark_pushed(self, key: UpdateKey) -> None:
        """Records that the entry of `key` was pushed by the caller."""
        self._push_queue.pop(key, None)

    def take_pushes(
        self, limit_bytes: int, copies: int, now: float
    ) -> tuple[tuple[MemberRecord, ...], tuple[Rumor, ...]]:
        """Returns updates to push to `copies` members, within the byte rate."""
        self._refill(now)
        allowed = min(limit_bytes, int(self._tokens / max(1, copies)))
        taken, size = self._take_fitting(list(self._push_queue), allowed, now)
        for key in taken:
            del self._push_queue[key]
        self._tokens -= size * copies
        return self._entries(taken, now)

    def take_piggyback(
        self, limit_bytes: int, now: float
    ) -> tuple[tuple[MemberRecord, ...], tuple[Rumor, ...]]:
        """Returns updates to piggyback on a message, least sent first."""
        if not self._piggybacks_left:
            return (), ()
        keys = sorted(
            self._piggybacks_left,
            key=self._piggybacks_left.__getitem__,
            reverse=True,
        )
        taken, _ = self._take_fitting(keys, limit_bytes, now)
        for key in taken:
            self._piggybacks_left[key] -= 1
            if self._piggybacks_left[key] <= 0:
                del self._piggybacks_left[key]
        return self._entries(taken, now)

    def _refill(self, now: float) -> None:
        gained = (now - self._refilled_at_s) * self._push_rate_bytes_per_s
        self._tokens = min(self._push_burst_bytes, self._tokens + gained)
        self._refilled_at_s = now

    def _take_fitting(
        self, keys: list[UpdateKey], limit_bytes: int, now: float
    ) -> tuple[list[UpdateKey], int]:
        taken: list[UpdateKey] = []
        size = 0
        for key in keys:
            entry = self._entry(key, now)
            if entry is None:
                self.discard(key)
                continue
            size += entry.estimated_bytes()
            if size > limit_bytes:
                return taken, size - entry.estimated_bytes()
            taken.append(key)
        return taken, size

    def _entry(self, key: UpdateKey, now: float) -> MemberRecord | Rumor | None:
        if isinstance(key, str):
            return self._table.members.get(key)
        return self._table.rumor(key, now)

    def _entries(
        self, keys: list[UpdateKey], now: float
    ) -> tuple[tuple[MemberRecord, ...], tuple[Rumor, ...]]:
        entries = [self._entry(key, now) for key in keys]
        members = tuple(e for e in entries if isinstance(e, MemberRecord))
        rumors = tuple(e for e in entries if isinstance(e, Rumor))
        return members, rumors
