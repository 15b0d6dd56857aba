"""The directory of the data path, derived from the facts of membership."""

from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.membership.allowlist import MemberAllowlist
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.membership.gossip import Gossip
from radishwind.membership.records import AdvertisedState
from radishwind.membership.records import Liveness
from radishwind.membership.records import MemberRecord

_STATE_BY_ANNOUNCED = {
    AdvertisedState.SERVING: MemberState.ALIVE,
    AdvertisedState.DRAINING: MemberState.DRAINING,
    AdvertisedState.LEAVING: MemberState.LEAVING,
    AdvertisedState.LEFT: MemberState.DEAD,
}


class GossipDirectory(Directory):
    """Members by service; only what the inventory lists takes new work."""

    def __init__(
        self,
        gossip: Gossip,
        allowlist: MemberAllowlist,
        clock: Clock,
        refute_grace_s: float,
    ) -> None:
        self._gossip = gossip
        self._allowlist = allowlist
        self._clock = clock
        self._refute_grace_s = refute_grace_s
        self._built_on = allowlist.version()
        self._names: dict[str, set[str]] = {}
        self._cached: dict[str, tuple[Member, ...]] = {}
        self._stale: set[str] = set()
        # Each member as made last, with what it was made of: several tasks
        # look at all members many times a second, and few of them change.
        self._made: dict[str, tuple[MemberRecord, int, Member]] = {}
        #: Services with a member that is usable for a limited time only.
        self._recheck: dict[str, float] = {}
        gossip.table.add_member_listener(self._changed)
        for fact in gossip.table.members.values():
            self._changed(None, fact)

    def eligible_members(self, service: str) -> tuple[Member, ...]:
        version = self._allowlist.version()
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

    def disallowed_names(self) -> tuple[str, ...]:
        """Returns the names that are announced otherwise than listed."""
        facts = self._gossip.table.members.values()
        return tuple(
            sorted(
                f.name
                for f in facts
                if not f.is_gone and not self._allowlist.allows(f)
            )
        )

    def _rebuild(self, service: str) -> tuple[Member, ...]:
        self._recheck.pop(service, None)
        facts = [
            self._gossip.table.members[name]
            for name in sorted(self._names.get(service, ()))
        ]
        usable = [
            f
            for f in facts
            if self._allowlist.allows(f) and self._takes_work(f)
        ]
        fine = [fact for fact in usable if fact.liveness is Liveness.ALIVE]
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

    def _takes_work(self, fact: MemberRecord) -> bool:
        if fact.advertised is not AdvertisedState.SERVING:
            return False
        if fact.liveness is not Liveness.DEAD:
            return True
        # Where regions meet again each believes the other dead, for a moment:
        # a death is not acted on before its member had time to refute it.
        since = self._gossip.failure_detector.gone_since(fact.name)
        if since is None:
            return False
        until = since + self._refute_grace_s
        if self._clock.monotonic() >= until:
            return False
        known = self._recheck.get(fact.service, until)
        self._recheck[fact.service] = min(known, until)
        return True

    def _member(self, fact: MemberRecord) -> Member:
        revision = self._revision(fact.name)
        made = self._made.get(fact.name)
        if made is not None and made[0] is fact and made[1] == revision:
            return made[2]
        member = self._make(fact, revision)
        self._made[fact.name] = (fact, revision, member)
        return member

    def _make(self, fact: MemberRecord, revision: int) -> Member:
        state = _STATE_BY_ANNOUNCED[fact.advertised]
        if fact.liveness is Liveness.DEAD:
            state = MemberState.DEAD
        elif fact.liveness is Liveness.SUSPECT and state is MemberState.ALIVE:
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
        if name == self._gossip.own_record.name:
            return self._gossip.config_revision
        return self._gossip.table.config_revisions.get(name, 0)

    def _changed(
        self, old: MemberRecord | None, new: MemberRecord | None
    ) -> None:
        if old is not None:
            self._stale.add(old.service)
            if new is None or new.service != old.service:
                self._names[old.service].discard(old.name)
            if new is None:
                self._made.pop(old.name, None)
        if new is not None:
            self._stale.add(new.service)
            self._names.setdefault(new.service, set()).add(new.name)
