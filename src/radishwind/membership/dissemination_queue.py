"""Chooses which new facts go into which messages."""

import math
from typing import TypeAlias

from radishwind.membership.membership_table import MembershipTable
from radishwind.membership.membership_table import RumorKey
from radishwind.membership.records import MemberRecord
from radishwind.membership.records import Rumor

#: A member's name, or a rumor's topic and key.
FactKey: TypeAlias = str | RumorKey

#: Messages that a new fact rides on, for each doubling of the members.
_RIDES_PER_DOUBLING = 1.5


class DisseminationQueue:
    """Keeps new facts: to be pushed once, and to ride on other messages."""

    def __init__(
        self,
        table: MembershipTable,
        bytes_s: float,
        burst_bytes: float,
        now: float,
    ) -> None:
        self._table = table
        self._bytes_s = bytes_s
        self._burst_bytes = burst_bytes
        self._tokens = burst_bytes
        self._filled = now
        self._to_push: dict[FactKey, None] = {}
        self._rides: dict[FactKey, int] = {}

    @property
    def waiting(self) -> bool:
        """Whether there is anything to push."""
        return bool(self._to_push)

    def add(self, key: FactKey) -> None:
        """Spreads the fact of `key` as it is in the table from now on."""
        count = math.log2(len(self._table.members) + 2)
        self._rides[key] = math.ceil(_RIDES_PER_DOUBLING * count)
        self._to_push[key] = None

    def forget(self, key: FactKey) -> None:
        """Spreads the fact of `key` no more."""
        self._to_push.pop(key, None)
        self._rides.pop(key, None)

    def pushed(self, key: FactKey) -> None:
        """Notes that the fact of `key` was pushed by other means."""
        self._to_push.pop(key, None)

    def take_pushes(
        self, limit_bytes: int, copies: int, now: float
    ) -> tuple[tuple[MemberRecord, ...], tuple[Rumor, ...]]:
        """Returns facts to push to `copies` members, within the byte rate."""
        self._fill(now)
        allowed = min(limit_bytes, int(self._tokens / max(1, copies)))
        taken, size = self._fit(list(self._to_push), allowed, now)
        for key in taken:
            del self._to_push[key]
        self._tokens -= size * copies
        return self._facts(taken, now)

    def take_piggyback(
        self, limit_bytes: int, now: float
    ) -> tuple[tuple[MemberRecord, ...], tuple[Rumor, ...]]:
        """Returns facts to carry on a message that is sent anyway."""
        if not self._rides:
            return (), ()
        keys = sorted(self._rides, key=self._rides.__getitem__, reverse=True)
        taken, _ = self._fit(keys, limit_bytes, now)
        for key in taken:
            self._rides[key] -= 1
            if self._rides[key] <= 0:
                del self._rides[key]
        return self._facts(taken, now)

    def _fill(self, now: float) -> None:
        gained = (now - self._filled) * self._bytes_s
        self._tokens = min(self._burst_bytes, self._tokens + gained)
        self._filled = now

    def _fit(
        self, keys: list[FactKey], limit_bytes: int, now: float
    ) -> tuple[list[FactKey], int]:
        taken: list[FactKey] = []
        size = 0
        for key in keys:
            fact = self._fact(key, now)
            if fact is None:
                self.forget(key)
                continue
            size += fact.estimated_bytes()
            if size > limit_bytes:
                return taken, size - fact.estimated_bytes()
            taken.append(key)
        return taken, size

    def _fact(self, key: FactKey, now: float) -> MemberRecord | Rumor | None:
        if isinstance(key, str):
            return self._table.members.get(key)
        return self._table.rumor(key, now)

    def _facts(
        self, keys: list[FactKey], now: float
    ) -> tuple[tuple[MemberRecord, ...], tuple[Rumor, ...]]:
        facts = [self._fact(key, now) for key in keys]
        members = tuple(f for f in facts if isinstance(f, MemberRecord))
        rumors = tuple(f for f in facts if isinstance(f, Rumor))
        return members, rumors
