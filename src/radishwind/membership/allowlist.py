"""Which announced members may be given work."""

import abc
from collections.abc import Callable

from radishwind.config.index import ConfigIndex
from radishwind.membership.records import MemberRecord


class MemberAllowlist(abc.ABC):
    """Says which members may be given work."""

    @abc.abstractmethod
    def version(self) -> object:
        """Returns an object that is another one after each change."""

    @abc.abstractmethod
    def allows(self, fact: MemberRecord) -> bool:
        """Returns whether the member of `fact` may be given work."""

    @abc.abstractmethod
    def size(self) -> int:
        """Returns how many members are listed, as far as that is known."""


class InventoryAllowlist(MemberAllowlist):
    """Lists what the operators' inventory in force lists."""

    def __init__(self, index: Callable[[], ConfigIndex]) -> None:
        self._index = index

    def version(self) -> object:
        return self._index()

    def allows(self, fact: MemberRecord) -> bool:
        target = self._index().targets.get(fact.name)
        if target is None:
            return False
        return (
            target.service == fact.service
            and target.failure_domain == fact.failure_domain
        )

    def size(self) -> int:
        return len(self._index().targets)


class OpenAllowlist(MemberAllowlist):
    """Lists everyone, where servers announce themselves and none is listed."""

    def version(self) -> object:
        return None

    def allows(self, fact: MemberRecord) -> bool:
        return True

    def size(self) -> int:
        return 0
