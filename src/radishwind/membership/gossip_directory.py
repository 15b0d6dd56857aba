"""Directory of the data path, derived from the gossip state."""

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

_STATE_BY_ADVERTISED = {
    AdvertisedState.SERVING: MemberState.ALIVE,
    AdvertisedState.DRAINING: MemberState.DRAINING,
    AdvertisedState.LEAVING: MemberState.LEAVING,
    AdvertisedState.LEFT: MemberState.DEAD,
}


class GossipDirectory(Directory):
    """Members by service; only members on the allowlist take new work."""

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
        self._allowlist_version = allowlist.version()
        self._names_by_service: dict[str, set[str]] = {}
        # Eligible members by service, and the services to be rebuilt.
        self._eligible: dict[str, tuple[Member, ...]] = {}
        self._stale: set[str] = set()
        # Each member with the record and configuration revision that it was
        # built from: several tasks read all members many times a second, and
        # few members change in between.
        self._member_cache: dict[str, tuple[MemberRecord, int, Member]] = {}
        # When the grace period of a dead member ends (monotonic s), by
        # service.
        self._grace_ends: dict[str, float] = {}
        gossip.table.add_member_listener(self._on_member_change)
        for record in gossip.table.members.values():
            self._on_member_change(None, record)

    def eligible_members(self, service: str) -> tuple[Member, ...]:
        version = self._allowlist.version()
        if version is not self._allowlist_version:
            self._allowlist_version = version
            self._stale = set(self._eligible)
        grace_end = self._grace_ends.get(service)
        if grace_end is not None and self._clock.monotonic() >= grace_end:
            self._stale.add(service)
        if service in self._eligible and service not in self._stale:
            return self._eligible[service]
        return self._rebuild(service)

    def members(self) -> tuple[Member, ...]:
        records = self._gossip.table.members
        return tuple(self._member(records[name]) for name in sorted(records))

    def disallowed_names(self) -> tuple[str, ...]:
        """Returns the members that the allowlist doesn't allow, sorted.

        They aren't listed, or advertise another service or failure domain than
        the listed one.
        """
        records = self._gossip.table.members.values()
        return tuple(
            sorted(
                record.name
                for record in records
                if not record.is_gone and not self._allowlist.allows(record)
            )
        )

    def _rebuild(self, service: str) -> tuple[Member, ...]:
        self._grace_ends.pop(service, None)
        records = [
            self._gossip.table.members[name]
            for name in sorted(self._names_by_service.get(service, ()))
        ]
        usable = [
            record
            for record in records
            if self._allowlist.allows(record) and self._is_usable(record)
        ]
        alive = [
            record for record in usable if record.liveness is Liveness.ALIVE
        ]
        members = tuple(self._member(record) for record in alive or usable)
        old = self._eligible.get(service)
        self._stale.discard(service)
        if old is not None and old == members:
            return old
        if self._names_by_service.get(service):
            self._eligible[service] = members
        else:
            self._eligible.pop(service, None)
        return members

    def _is_usable(self, record: MemberRecord) -> bool:
        if record.advertised is not AdvertisedState.SERVING:
            return False
        if record.liveness is not Liveness.DEAD:
            return True
        # When a partition between regions heals, each side briefly considers
        # the other dead, so a member gets time to refute before it is dropped.
        since = self._gossip.failure_detector.gone_since(record.name)
        if since is None:
            return False
        grace_end = since + self._refute_grace_s
        if self._clock.monotonic() >= grace_end:
            return False
        first_end = self._grace_ends.get(record.service, grace_end)
        self._grace_ends[record.service] = min(first_end, grace_end)
        return True

    def _member(self, record: MemberRecord) -> Member:
        revision = self._config_revision(record.name)
        cached = self._member_cache.get(record.name)
        if cached is not None and cached[0] is record and cached[1] == revision:
            return cached[2]
        member = self._build_member(record, revision)
        self._member_cache[record.name] = (record, revision, member)
        return member

    def _build_member(self, record: MemberRecord, revision: int) -> Member:
        state = _STATE_BY_ADVERTISED[record.advertised]
        if record.liveness is Liveness.DEAD:
            state = MemberState.DEAD
        elif record.liveness is Liveness.SUSPECT and state is MemberState.ALIVE:
            state = MemberState.SUSPECT
        return Member(
            record.name,
            record.service,
            record.failure_domain,
            Address.parse(record.address),
            record.incarnation,
            state,
            revision,
        )

    def _config_revision(self, name: str) -> int:
        if name == self._gossip.own_record.name:
            return self._gossip.config_revision
        return self._gossip.table.config_revisions.get(name, 0)

    def _on_member_change(
        self, old: MemberRecord | None, new: MemberRecord | None
    ) -> None:
        if old is not None:
            self._stale.add(old.service)
            if new is None or new.service != old.service:
                self._names_by_service[old.service].discard(old.name)
            if new is None:
                self._member_cache.pop(old.name, None)
        if new is not None:
            self._stale.add(new.service)
            self._names_by_service.setdefault(new.service, set()).add(new.name)
