"""The interface of a routing policy and what it learns from."""

import abc
from collections.abc import Sequence

import msgspec

from radishwind.membership.directory import Member
from radishwind.outcomes.model import Outcome


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """A target's load as its node saw it when it answered.

    It travels in a field of the answer, as a JSON array in this order.

    Attributes:
      slots: requests the server runs at once.
      in_flight: requests running there.
      queued: requests waiting for a slot.
      service_ms: recent time a request runs (ms), smoothed.
      leaving: whether the target takes no new work.
      warm: 0 for a server just started to 1 for a warm one.
      pace: how long work takes on that instance at this moment; 1 is as
        usual.
    """

    slots: int
    in_flight: int
    queued: int
    service_ms: float
    leaving: bool = False
    warm: float = 1.0
    pace: float = 1.0


class TargetChooser(abc.ABC):
    """Chooses targets and learns from what became of the attempts.

    Every time is monotonic seconds, passed in; randomness comes from the
    generator given at construction.
    """

    @abc.abstractmethod
    def choose(
        self,
        members: Sequence[Member],
        now: float,
        exclude: frozenset[str] = frozenset(),
    ) -> Member | None:
        """Returns the member to try, or `None` where none is fit.

        Args:
          members: candidates of one service; the same object until changed.
          now: monotonic time (s).
          exclude: names already tried for this request.
        """

    @abc.abstractmethod
    def started(self, name: str, now: float) -> None:
        """Notes that an attempt at the target `name` began."""

    @abc.abstractmethod
    def finished(
        self,
        name: str,
        now: float,
        elapsed_s: float,
        outcome: Outcome | None,
        load: LoadReport | None,
    ) -> None:
        """Notes that an attempt ended.

        Args:
          name: the target.
          now: monotonic time (s).
          elapsed_s: time since `started` (s).
          outcome: what became of it; `None` if it was cancelled by us.
          load: the target's report, where the answer carried one.
        """
