"""The members a node knows, indexed for the data path."""

import abc
import dataclasses
import enum

from radishwind.http.types import Address


class MemberState(enum.StrEnum):
    """What is believed of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DRAINING = "draining"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One node as announced.

    Attributes:
      name: the name of the target it stands beside; unique.
      service: the service of that target.
      failure_domain: where it stands.
      address: its peer listener.
      incarnation: raised by the member itself at each start or refutation.
      state: what is believed of it.
      config_revision: the newest revision it is known to have in force; kept
        up to date in `Directory.members` only, and not compared.
    """

    name: str
    service: str
    failure_domain: str
    address: Address
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    config_revision: int = dataclasses.field(default=0, compare=False)


class Directory(abc.ABC):
    """The members a node knows, as of now."""

    @abc.abstractmethod
    def eligible_members(self, service: str) -> tuple[Member, ...]:
        """Returns the members of `service` that may take new work.

        The tuple is the same object until the membership changes, so callers
        may keep what they derive from it. Targets that are missing from the
        inventory are left out. Suspected members are given only where no
        other is left.
        """

    @abc.abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Returns every member known, in order of name."""
