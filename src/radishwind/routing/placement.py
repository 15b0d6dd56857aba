"""Selects the targets that may receive a request.

This check is made at the entry node. The node beside a server makes its own
check, since it may have more recent information.
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

#: Time after which a caller may retry at a service without targets (s).
NO_TARGET_RETRY_S = 1.0


class Placement(abc.ABC):
    """Interface: selects the candidates of a request."""

    @abc.abstractmethod
    def candidates(self, call: "Call") -> Sequence[Member]:
        """Returns the eligible members; the same object until they change."""

    def refusal(self, call: "Call") -> NotRun:
        """Returns the outcome for a request without candidates."""
        return NotRun(
            ResultCode.NO_TARGET,
            f"No target of {call.service} accepts requests.",
            NO_TARGET_RETRY_S,
        )


class UnrestrictedPlacement(Placement):
    """Allows all targets of the service."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    def candidates(self, call: "Call") -> Sequence[Member]:
        return self._directory.eligible_members(call.service)


class RestrictedPlacement(UnrestrictedPlacement):
    """Allows targets outside of evacuated domains, in the route's regions."""

    def __init__(
        self,
        directory: Directory,
        evacuated: Callable[[], frozenset[str]],
        region_of: Mapping[str, str],
    ) -> None:
        """Creates a placement.

        Args:
          directory: the members of each service.
          evacuated: returns the evacuated failure domains, which receive no new
            requests.
          region_of: the region of each failure domain.
        """
        super().__init__(directory)
        self._evacuated = evacuated
        self._region_of = region_of

    def candidates(self, call: "Call") -> Sequence[Member]:
        members = super().candidates(call)
        evacuated = self._evacuated()
        if evacuated:
            members = [m for m in members if m.failure_domain not in evacuated]
        if call.regions:
            members = [m for m in members if self._is_in_regions(call, m)]
        return members

    def _is_in_regions(self, call: "Call", member: Member) -> bool:
        return self._region_of.get(member.failure_domain) in call.regions

    def refusal(self, call: "Call") -> NotRun:
        if self._evacuated() and super().candidates(call):
            return NotRun(
                ResultCode.DOMAIN_EMPTIED,
                f"All domains with targets of {call.service} are evacuated.",
                NO_TARGET_RETRY_S,
            )
        return super().refusal(call)
