"""A directory read from the store; the first thin path, before gossip."""

from collections.abc import Callable

import msgspec

from radishwind.config.index import ConfigIndex
from radishwind.http.types import Address
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.settings import NodeSettings
from radishwind.store import Put
from radishwind.store import Store

PREFIX = "/radishwind/members/"


class PolledDirectory(Directory):
    """Announces by a key of the store and reads the others' keys."""

    def __init__(self, index: Callable[[], ConfigIndex]) -> None:
        self._index = index
        self._members: tuple[Member, ...] = ()
        self._grouped_by: ConfigIndex | None = None
        self._by_service: dict[str, tuple[Member, ...]] = {}

    def of_service(self, service: str) -> tuple[Member, ...]:
        return self._by_service.get(service, ())

    def members(self) -> tuple[Member, ...]:
        return self._members

    async def refresh(
        self, store: Store, settings: NodeSettings, leaving: bool
    ) -> None:
        """Announces this node and reads the others."""
        state = MemberState.LEAVING if leaving else MemberState.ALIVE
        own = {
            "service": settings.service,
            "failure_domain": settings.failure_domain,
            "address": str(settings.peer_listen),
            "state": state,
        }
        key = PREFIX + settings.target
        await store.transact((), (Put(key, msgspec.json.encode(own)),))
        entries = await store.list(PREFIX)
        self._take(
            tuple(_member(e.key.removeprefix(PREFIX), e.value) for e in entries)
        )

    def _take(self, members: tuple[Member, ...]) -> None:
        index = self._index()
        if members == self._members and index is self._grouped_by:
            return
        self._members = members
        self._grouped_by = index
        grouped: dict[str, list[Member]] = {}
        for member in members:
            if member.name not in index.targets:
                continue
            if member.state is MemberState.ALIVE:
                grouped.setdefault(member.service, []).append(member)
        self._by_service = {k: tuple(v) for k, v in grouped.items()}


def _member(name: str, value: bytes) -> Member:
    fields = msgspec.json.decode(value, type=dict[str, str])
    return Member(
        name,
        fields["service"],
        fields["failure_domain"],
        Address.parse(fields["address"]),
        state=MemberState(fields["state"]),
    )
