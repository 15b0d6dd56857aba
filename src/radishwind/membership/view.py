"""The directory of the data path, derived from the facts of membership."""

from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.membership.facts import Announced
from radishwind.membership.facts import Belief
from radishwind.membership.facts import MemberFact
from radishwind.membership.gossip import Gossip
from radishwind.membership.listing import Listing

_STATE_BY_ANNOUNCED = {
    Announced.ALIVE: MemberState.ALIVE,
    Announced.DRAINING: MemberState.DRAINING,
    Announced.LEAVING: MemberState.LEAVING,
    Announced.LEFT: MemberState.DEAD,
}


class GossipDirectory(Directory):
    """Members by service; only what the inventory lists takes new work."""

    def __init__(
        self,
        gossip: Gossip,
        listing: Listing,
        clock: Clock,
        refute_grace_s: float,
    ) -> None:
        self._gossip = gossip
        self._listing = listing
        self._clock = clock
        self._refute_grace_s = refute_grace_s
        self._built_on = listing.version()
        self._names: dict[str, set[str]] = {}
        self._cached: dict[str, tuple[Member, ...]] = {}
        self._stale: set[str] = set()
        # Each member as made last, with what it was made of: several tasks
        # look at all members many times a second, and few of them change.
        self._made: dict[str, tuple[MemberFact, int, Member]] = {}
        #: Services with a member that is usable for a limited time only.
        self._recheck: dict[str, float] = {}
        gossip.table.listen(self._changed)
        for fact in gossip.table.members.values():
            self._changed(None, fact)

    def of_service(self, service: str) -> tuple[Member, ...]:
        version = self._listing.version()
        if version is not self._built_on:
            self._built_on = version
            self._stale = set(self._cached)
        recheck = self._recheck.get(service)
        if recheck is not None and self._clock.monotonic() >= recheck:
            self._stale.add(service)
        if service in self._cached and service not in self._stale:
            return self._cached[service]
        return self._rebuild(service)

    def members(self) -> tuple[Member, ...]:
        facts = self._gossip.table.members
        return tuple(self._member(facts[name]) for name in sorted(facts))

    def refused(self) -> tuple[str, ...]:
        """Returns the names that are announced otherwise than listed."""
        facts = self._gossip.table.members.values()
        return tuple(
            sorted(
                f.name
                for f in facts
                if not f.gone and not self._listing.lists(f)
            )
        )

    def _rebuild(self, service: str) -> tuple[Member, ...]:
        self._recheck.pop(service, None)
        facts = [
            self._gossip.table.members[name]
            for name in sorted(self._names.get(service, ()))
        ]
        usable = [
            f for f in facts if self._listing.lists(f) and self._takes_work(f)
        ]
        fine = [fact for fact in usable if fact.belief is Belief.FINE]
        built = tuple(self._member(fact) for fact in fine or usable)
        old = self._cached.get(service)
        self._stale.discard(service)
        if old is not None and old == built:
            return old
        if self._names.get(service):
            self._cached[service] = built
        else:
            self._cached.pop(service, None)
        return built

    def _takes_work(self, fact: MemberFact) -> bool:
        if fact.announced is not Announced.ALIVE:
            return False
        if fact.belief is not Belief.DEAD:
            return True
        # Where regions meet again each believes the other dead, for a moment:
        # a death is not acted on before its member had time to refute it.
        since = self._gossip.prober.dead_since(fact.name)
        if since is None:
            return False
        until = since + self._refute_grace_s
        if self._clock.monotonic() >= until:
            return False
        known = self._recheck.get(fact.service, until)
        self._recheck[fact.service] = min(known, until)
        return True

    def _member(self, fact: MemberFact) -> Member:
        revision = self._revision(fact.name)
        made = self._made.get(fact.name)
        if made is not None and made[0] is fact and made[1] == revision:
            return made[2]
        member = self._make(fact, revision)
        self._made[fact.name] = (fact, revision, member)
        return member

    def _make(self, fact: MemberFact, revision: int) -> Member:
        state = _STATE_BY_ANNOUNCED[fact.announced]
        if fact.belief is Belief.DEAD:
            state = MemberState.DEAD
        elif fact.belief is Belief.SUSPECT and state is MemberState.ALIVE:
            state = MemberState.SUSPECT
        return Member(
            fact.name,
            fact.service,
            fact.failure_domain,
            Address.parse(fact.address),
            fact.incarnation,
            state,
            revision,
        )

    def _revision(self, name: str) -> int:
        if name == self._gossip.own.name:
            return self._gossip.revision
        return self._gossip.table.revisions.get(name, 0)

    def _changed(self, old: MemberFact | None, new: MemberFact | None) -> None:
        if old is not None:
            self._stale.add(old.service)
            if new is None or new.service != old.service:
                self._names[old.service].discard(old.name)
            if new is None:
                self._made.pop(old.name, None)
        if new is not None:
            self._stale.add(new.service)
            self._names.setdefault(new.service, set()).add(new.name)
