"""The member records and rumors that a node holds, with their digests."""

import collections
from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterator
import random
import sys
from typing import TypeAlias

import msgspec

from radishwind.membership.digest_tree import DigestTree
from radishwind.membership.digest_tree import leaf_of
from radishwind.membership.records import is_newer_member
from radishwind.membership.records import is_newer_rumor
from radishwind.membership.records import Liveness
from radishwind.membership.records import MemberRecord
from radishwind.membership.records import Rumor
from radishwind.supervision import notify

#: Called with the old record of a member (`None` if it is new) and the new one
#: (`None` if the member was removed).
MemberListener: TypeAlias = Callable[
    [MemberRecord | None, MemberRecord | None], None
]
RumorKey: TypeAlias = tuple[str, str]

#: Random draws for each member wanted in a sample. Large tables, in which many
#: members may be gone or excluded, allow more draws, up to the second bound.
_SAMPLE_DRAWS_PER_MEMBER = 4
_MAX_SAMPLE_DRAWS_PER_MEMBER = 16


class _StoredRumor(msgspec.Struct, frozen=True):
    """A rumor and when it expires (monotonic s)."""

    rumor: Rumor
    expires_at_s: float


class MembershipTable:
    """The newest record of each member and the newest value of each rumor."""

    def __init__(self, max_members: int, max_rumors: int) -> None:
        self._max_members = max_members
        self._max_rumors = max_rumors
        # All names as a list, for random draws, and the index of each.
        self._names: list[str] = []
        self._name_indexes: dict[str, int] = {}
        self._rumors: dict[RumorKey, _StoredRumor] = {}
        self._listeners: list[MemberListener] = []
        self.members: dict[str, MemberRecord] = {}
        #: The configuration revision that each member reported last.
        self.config_revisions: dict[str, int] = {}
        self.digests = DigestTree()
        #: Number of members that are not gone, by failure domain.
        self.live_by_domain: collections.Counter[str] = collections.Counter()

    def add_member_listener(self, listener: MemberListener) -> None:
        """Calls `listener` after each change of a member record."""
        self._listeners.append(listener)

    def merge_member(self, record: MemberRecord) -> bool:
        """Stores `record` if it is newer; returns whether it was stored."""
        old = self.members.get(record.name)
        if old is None:
            # Unknown members that are gone aren't added: nodes would keep
            # teaching them to each other, and none would ever forget them.
            if record.is_gone or len(self.members) >= self._max_members:
                return False
        elif not is_newer_member(record, old):
            return False
        self._store(old, _interned(record))
        return True

    def forget_member(self, name: str) -> None:
        """Removes a member."""
        old = self.members.pop(name)
        self.config_revisions.pop(name, None)
        self._toggle_member(old)
        self._adjust_live_count(old, -1)
        index = self._name_indexes.pop(name)
        last = self._names.pop()
        if last != name:
            self._names[index] = last
            self._name_indexes[last] = index
        self._notify_listeners(old, None)

    def merge_rumor(self, rumor: Rumor, now: float) -> bool:
        """Stores `rumor` if it is newer; returns whether it was stored."""
        key = (rumor.topic, rumor.key)
        old = self._rumors.get(key)
        if old is not None and not is_newer_rumor(rumor, old.rumor):
            return False
        if rumor.ttl_ms == 0:
            return False
        if old is None and len(self._rumors) >= self._max_rumors:
            self._evict_first_to_expire()
        if old is not None:
            self._toggle_rumor(old.rumor)
        self._rumors[key] = _StoredRumor(rumor, now + rumor.ttl_ms / 1000)
        self._toggle_rumor(rumor)
        return True

    def expire_rumors(self, now: float) -> None:
        """Removes the rumors whose time to live is over."""
        expired = [
            key
            for key, stored in self._rumors.items()
            if stored.expires_at_s <= now
        ]
        for key in expired:
            self._toggle_rumor(self._rumors.pop(key).rumor)

    def rumor(self, key: RumorKey, now: float) -> Rumor | None:
        """Returns the rumor of `key` with its remaining time to live."""
        stored = self._rumors.get(key)
        if stored is None or stored.expires_at_s <= now:
            return None
        left_ms = int((stored.expires_at_s - now) * 1000)
        return msgspec.structs.replace(stored.rumor, ttl_ms=left_ms)

    def rumors(self) -> tuple[Rumor, ...]:
        """Returns every rumor held."""
        return tuple(stored.rumor for stored in self._rumors.values())

    def entries_in_leaves(
        self, leaves: Container[int], now: float
    ) -> Iterator[tuple[int, MemberRecord | Rumor]]:
        """Yields the entries of the digest `leaves`, each with its leaf."""
        for name, member in self.members.items():
            leaf = leaf_of(name)
            if leaf in leaves:
                yield leaf, member
        for key in self._rumors:
            leaf = leaf_of(_digest_key(key))
            rumor = self.rumor(key, now) if leaf in leaves else None
            if rumor is not None:
                yield leaf, rumor

    def sample(
        self,
        rng: random.Random,
        count: int,
        exclude: Container[str],
        predicate: Callable[[MemberRecord], bool] | None = None,
    ) -> list[MemberRecord]:
        """Returns up to `count` random members that are not gone.

        Args:
          rng: the random source.
          count: number of members wanted.
          exclude: names that are never returned.
          predicate: returns whether a member qualifies; all do by default.
        """
        chosen: dict[str, MemberRecord] = {}
        if not self._names:
            return []
        draws = _SAMPLE_DRAWS_PER_MEMBER * count + len(self._names) // 2
        for _ in range(min(draws, _MAX_SAMPLE_DRAWS_PER_MEMBER * count)):
            record = self.members[rng.choice(self._names)]
            if record.is_gone or record.name in exclude:
                continue
            if predicate is None or predicate(record):
                chosen[record.name] = record
            if len(chosen) == count:
                break
        return list(chosen.values())

    def _store(self, old: MemberRecord | None, record: MemberRecord) -> None:
        if old is None:
            self._name_indexes[record.name] = len(self._names)
            self._names.append(record.name)
        else:
            self._toggle_member(old)
            self._adjust_live_count(old, -1)
        self.members[record.name] = record
        self._toggle_member(record)
        self._adjust_live_count(record, 1)
        self._notify_listeners(old, record)

    def _adjust_live_count(self, record: MemberRecord, by: int) -> None:
        if not record.is_gone:
            self.live_by_domain[record.failure_domain] += by

    def _notify_listeners(
        self, old: MemberRecord | None, new: MemberRecord | None
    ) -> None:
        for listener in self._listeners:
            notify("membership.listeners", listener, old, new)

    def _evict_first_to_expire(self) -> None:
        key = min(self._rumors, key=lambda k: self._rumors[k].expires_at_s)
        self._toggle_rumor(self._rumors.pop(key).rumor)

    def _toggle_member(self, record: MemberRecord) -> None:
        # Members that are gone are left out of the digests, because nodes
        # forget them at different times.
        if not record.is_gone:
            version = (
                f"{record.incarnation}.{int(record.liveness)}.{record.address}"
            )
            self.digests.toggle(record.name, version)

    def _toggle_rumor(self, rumor: Rumor) -> None:
        key = _digest_key((rumor.topic, rumor.key))
        self.digests.toggle(key, f"{rumor.version}.{rumor.value}")


def _digest_key(key: RumorKey) -> str:
    return f"{key[0]}\n{key[1]}"


def _interned(record: MemberRecord) -> MemberRecord:
    """Returns `record` with interned strings, which many members share."""
    return MemberRecord(
        record.name,
        sys.intern(record.service),
        sys.intern(record.failure_domain),
        record.address,
        record.incarnation,
        record.advertised,
        Liveness(record.liveness),
    )
