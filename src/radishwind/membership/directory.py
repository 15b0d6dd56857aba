"""Directory of the known members, as the data path reads it."""

import abc
import dataclasses
import enum

from radishwind.http.types import Address


class MemberState(enum.StrEnum):
    """State of a member as this node sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DRAINING = "draining"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A node as it advertises itself, with its state.

    Attributes:
      name: name of the target that the node runs beside; unique.
      service: service of that target.
      failure_domain: failure domain in which the node runs.
      address: address of its peer listener.
      incarnation: raised by the member itself at each start, change and
        refutation.
      state: state as this node sees it.
      config_revision: configuration revision that the member last reported to
        apply; current only in `Directory.members`, and not compared.
    """

    name: str
    service: str
    failure_domain: str
    address: Address
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    config_revision: int = dataclasses.field(default=0, compare=False)


class Directory(abc.ABC):
    """The members that this node knows at present."""

    @abc.abstractmethod
    def eligible_members(self, service: str) -> tuple[Member, ...]:
        """Returns the members of `service` that may take new work.

        The same tuple object is returned until the membership changes, so
        callers may cache what they derive from it. Targets that aren't in the
        inventory are left out. Suspect members are returned only if no other
        member is left.
        """

    @abc.abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Returns every known member, sorted by name."""
