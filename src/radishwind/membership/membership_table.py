"""The facts a node holds: members, rumors and their digests."""

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
from radishwind.membership.records import Liveness
from radishwind.membership.records import member_newer
from radishwind.membership.records import MemberRecord
from radishwind.membership.records import Rumor
from radishwind.membership.records import rumor_newer

#: Takes the old fact of a member, if there was one, and the new one.
MemberListener: TypeAlias = Callable[
    [MemberRecord | None, MemberRecord | None], None
]
RumorKey: TypeAlias = tuple[str, str]

#: Draws for each member wanted in a sample; where many are gone or left out,
#: more, up to the second.
_SAMPLE_TRIES_PER_MEMBER = 4
_MOST_SAMPLE_TRIES_PER_MEMBER = 16


class _HeldRumor(msgspec.Struct, frozen=True):
    """A rumor and when it is forgotten (monotonic s)."""

    fact: Rumor
    expires: float


class MembershipTable:
    """The newest fact of each member and of each rumor."""

    def __init__(self, max_members: int, max_rumors: int) -> None:
        self._max_members = max_members
        self._max_rumors = max_rumors
        self._names: list[str] = []
        self._places: dict[str, int] = {}
        self._rumors: dict[RumorKey, _HeldRumor] = {}
        self._listeners: list[MemberListener] = []
        self.members: dict[str, MemberRecord] = {}
        #: The configuration revision that each member told last.
        self.revisions: dict[str, int] = {}
        self.digests = DigestTree()
        #: Members that are not gone, by failure domain.
        self.live_by_domain: collections.Counter[str] = collections.Counter()

    def add_member_listener(self, listener: MemberListener) -> None:
        """Calls `listener` after each change of a member."""
        self._listeners.append(listener)

    def merge_member(self, fact: MemberRecord) -> bool:
        """Takes `fact` if it is news; returns whether it was."""
        old = self.members.get(fact.name)
        if old is None:
            # The gone are not learnt anew, else they would never be forgotten.
            if fact.is_gone or len(self.members) >= self._max_members:
                return False
        elif not member_newer(fact, old):
            return False
        self._put(old, _interned(fact))
        return True

    def forget_member(self, name: str) -> None:
        """Removes a member."""
        old = self.members.pop(name)
        self.revisions.pop(name, None)
        self._toggle_member(old)
        self._count(old, -1)
        place = self._places.pop(name)
        last = self._names.pop()
        if last != name:
            self._names[place] = last
            self._places[last] = place
        self._tell(old, None)

    def merge_rumor(self, fact: Rumor, now: float) -> bool:
        """Takes `fact` if it is news; returns whether it was."""
        key = (fact.topic, fact.key)
        old = self._rumors.get(key)
        if old is not None and not rumor_newer(fact, old.fact):
            return False
        if fact.ttl_ms == 0:
            return False
        if old is None and len(self._rumors) >= self._max_rumors:
            self._drop_soonest()
        if old is not None:
            self._toggle_rumor(old.fact)
        self._rumors[key] = _HeldRumor(fact, now + fact.ttl_ms / 1000)
        self._toggle_rumor(fact)
        return True

    def expire_rumors(self, now: float) -> None:
        """Forgets the rumors whose time is over."""
        late = [k for k, held in self._rumors.items() if held.expires <= now]
        for key in late:
            self._toggle_rumor(self._rumors.pop(key).fact)

    def rumor(self, key: RumorKey, now: float) -> Rumor | None:
        """Returns the rumor of `key` with the time it has left."""
        held = self._rumors.get(key)
        if held is None or held.expires <= now:
            return None
        left_ms = int((held.expires - now) * 1000)
        return msgspec.structs.replace(held.fact, ttl_ms=left_ms)

    def rumors(self) -> tuple[Rumor, ...]:
        """Returns every rumor held."""
        return tuple(held.fact for held in self._rumors.values())

    def records_in_leaves(
        self, leaves: Container[int], now: float
    ) -> Iterator[tuple[int, MemberRecord | Rumor]]:
        """Yields the facts that fall into `leaves`, each with its leaf."""
        for name, member in self.members.items():
            leaf = leaf_of(name)
            if leaf in leaves:
                yield leaf, member
        for key in self._rumors:
            leaf = leaf_of(_rumor_key(key))
            rumor = self.rumor(key, now) if leaf in leaves else None
            if rumor is not None:
                yield leaf, rumor

    def sample(
        self,
        rng: random.Random,
        count: int,
        exclude: Container[str],
        fits: Callable[[MemberRecord], bool] | None = None,
    ) -> list[MemberRecord]:
        """Returns up to `count` members at random that are not gone.

        Args:
          rng: the random source.
          count: how many.
          exclude: names left out.
          fits: returns whether a member may be taken; by default any.
        """
        chosen: dict[str, MemberRecord] = {}
        if not self._names:
            return []
        tries = _SAMPLE_TRIES_PER_MEMBER * count + len(self._names) // 2
        for _ in range(min(tries, _MOST_SAMPLE_TRIES_PER_MEMBER * count)):
            fact = self.members[rng.choice(self._names)]
            if fact.is_gone or fact.name in exclude:
                continue
            if fits is None or fits(fact):
                chosen[fact.name] = fact
            if len(chosen) == count:
                break
        return list(chosen.values())

    def _put(self, old: MemberRecord | None, fact: MemberRecord) -> None:
        if old is None:
            self._places[fact.name] = len(self._names)
            self._names.append(fact.name)
        else:
            self._toggle_member(old)
            self._count(old, -1)
        self.members[fact.name] = fact
        self._toggle_member(fact)
        self._count(fact, 1)
        self._tell(old, fact)

    def _count(self, fact: MemberRecord, by: int) -> None:
        if not fact.is_gone:
            self.live_by_domain[fact.failure_domain] += by

    def _tell(self, old: MemberRecord | None, new: MemberRecord | None) -> None:
        for listener in self._listeners:
            listener(old, new)

    def _drop_soonest(self) -> None:
        key = min(self._rumors, key=lambda k: self._rumors[k].expires)
        self._toggle_rumor(self._rumors.pop(key).fact)

    def _toggle_member(self, fact: MemberRecord) -> None:
        # The gone don't count: nodes forget them at different times.
        if not fact.is_gone:
            version = f"{fact.incarnation}.{int(fact.liveness)}.{fact.address}"
            self.digests.toggle(fact.name, version)

    def _toggle_rumor(self, fact: Rumor) -> None:
        key = _rumor_key((fact.topic, fact.key))
        self.digests.toggle(key, f"{fact.version}.{fact.value}")


def _rumor_key(key: RumorKey) -> str:
    return f"{key[0]}\n{key[1]}"


def _interned(fact: MemberRecord) -> MemberRecord:
    """Returns `fact` sharing its strings, as many members have the same."""
    return MemberRecord(
        fact.name,
        sys.intern(fact.service),
        sys.intern(fact.failure_domain),
        fact.address,
        fact.incarnation,
        fact.advertised,
        Liveness(fact.liveness),
    )
