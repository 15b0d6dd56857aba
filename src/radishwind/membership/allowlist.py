"""Allowlists of the members that may take work."""

import abc
from collections.abc import Callable

from radishwind.config.index import ConfigIndex
from radishwind.membership.records import MemberRecord


class MemberAllowlist(abc.ABC):
    """Decides which of the advertised members may take work."""

    @abc.abstractmethod
    def version(self) -> object:
        """Returns an object that is replaced by another at each change."""

    @abc.abstractmethod
    def allows(self, record: MemberRecord) -> bool:
        """Returns whether the member of `record` may take work."""

    @abc.abstractmethod
    def size(self) -> int:
        """Returns the number of members listed; 0 if that isn't known."""


class InventoryAllowlist(MemberAllowlist):
    """Allows the targets of the operators' inventory, as listed there."""

    def __init__(self, index: Callable[[], ConfigIndex]) -> None:
        self._index = index

    def version(self) -> object:
        return self._index()

    def allows(self, record: MemberRecord) -> bool:
        target = self._index().targets.get(record.name)
        if target is None:
            return False
        return (
            target.service == record.service
            and target.failure_domain == record.failure_domain
        )

    def size(self) -> int:
        return len(self._index().targets)


class OpenAllowlist(MemberAllowlist):
    """Allows every member, for fleets that keep no inventory of servers."""

    def version(self) -> object:
        return None

    def allows(self, record: MemberRecord) -> bool:
        return True

    def size(self) -> int:
        return 0
