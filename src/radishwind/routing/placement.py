"""Where a request may be sent: servers that are there and allowed.

This is the gate of the node that a caller came to; the node beside a server
has one of its own, since it may know better.
"""

import abc
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import TYPE_CHECKING

from radishwind.core.codes import ResultCode
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.outcomes.model import NotRun

if TYPE_CHECKING:
    from radishwind.entry.call import Call

#: When a caller may come back to a service without targets (s).
NO_TARGET_RETRY_S = 1.0


class Placement(abc.ABC):
    """Names the candidates of a request."""

    @abc.abstractmethod
    def candidates(self, call: "Call") -> Sequence[Member]:
        """Returns those it may go to; the same object until they change."""

    def refusal(self, call: "Call") -> NotRun:
        """Returns what a caller is told where there is none to choose."""
        return NotRun(
            ResultCode.NO_TARGET,
            f"No target of {call.service} takes requests now.",
            NO_TARGET_RETRY_S,
        )


class UnrestrictedPlacement(Placement):
    """All targets of the service."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    def candidates(self, call: "Call") -> Sequence[Member]:
        return self._directory.eligible_members(call.service)


class RestrictedPlacement(UnrestrictedPlacement):
    """Those outside of emptied failure domains, in the route's regions."""

    def __init__(
        self,
        directory: Directory,
        emptied: Callable[[], frozenset[str]],
        region_of: Mapping[str, str],
    ) -> None:
        """Makes a placement.

        Args:
          directory: the nodes there are.
          emptied: returns the failure domains that get nothing new.
          region_of: the region of each failure domain.
        """
        super().__init__(directory)
        self._emptied = emptied
        self._region_of = region_of

    def candidates(self, call: "Call") -> Sequence[Member]:
        members = super().candidates(call)
        emptied = self._emptied()
        if emptied:
            members = [m for m in members if m.failure_domain not in emptied]
        if call.regions:
            members = [m for m in members if self._is_home(call, m)]
        return members

    def _is_home(self, call: "Call", member: Member) -> bool:
        return self._region_of.get(member.failure_domain) in call.regions

    def refusal(self, call: "Call") -> NotRun:
        if self._emptied() and super().candidates(call):
            return NotRun(
                ResultCode.DOMAIN_EMPTIED,
                f"Where targets of {call.service} may run is emptied.",
                NO_TARGET_RETRY_S,
            )
        return super().refusal(call)
