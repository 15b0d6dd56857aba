"""The interface of a routing policy and what it learns from."""

import abc
from collections.abc import Sequence
import math

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
      base: the best pace there in the last spells; more than 1 for one that is
        slow beyond its spells.
      spell_ms: the pace changes at moments so far apart (ms); 0 where no such
        moments are known.
      spell_left_ms: time until the next such moment (ms).
      work_ms: run time at the usual pace of the attempt that this report came
        with (ms); 0 where it came with none that ran.
      starts_left: requests that a cold server may still be sent just now;
        `None` where nothing bounds it.
      link_kbps: what the link of its node has left (kbit/s); 0 where that
        isn't known.
    """

    slots: int
    in_flight: int
    queued: int
    service_ms: float
    leaving: bool = False
    warm: float = 1.0
    pace: float = 1.0
    base: float = 1.0
    spell_ms: float = 0.0
    spell_left_ms: float = 0.0
    work_ms: float = 0.0
    starts_left: int | None = None
    link_kbps: int = 0

    @property
    def is_spent(self) -> bool:
        """Whether a cold server takes no more just now."""
        return self.starts_left is not None and self.starts_left <= 0


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
        work: str = "",
        aim: float = math.inf,
    ) -> Member | None:
        """Returns the member to try, or `None` where none is fit.

        Args:
          members: candidates of one service; the same object until changed.
          now: monotonic time (s).
          exclude: names already tried for this request.
          work: the kind of work, whose run times are learned apart.
          aim: when an answer stops earning its full worth (monotonic s).
        """

    def inputs(self, member: Member, now: float, work: str = "") -> str:
        """Returns what a choice of `member` is made of, for the log."""
        return ""

    @abc.abstractmethod
    def started(self, name: str, now: float, expected_s: float = 0.0) -> None:
        """Notes that an attempt at the target `name` began.

        Args:
          name: the target.
          now: monotonic time (s).
          expected_s: how long it is expected to take (s); 0 if not known.
        """

    def expected_s(self, member: Member, now: float, work: str) -> float:
        """Returns how long an attempt begun now would take (s); 0 if unknown.

        Args:
          member: the target.
          now: monotonic time (s).
          work: the kind of work.
        """
        return 0.0

    def usual_s(self, work: str) -> float:
        """Returns how long `work` takes where nothing waits (s); 0 if unknown.

        Args:
          work: the kind of work.
        """
        return 0.0

    @abc.abstractmethod
    def finished(
        self,
        name: str,
        now: float,
        elapsed_s: float,
        outcome: Outcome | None,
        load: LoadReport | None,
        work: str = "",
    ) -> None:
        """Notes that an attempt ended.

        Args:
          name: the target.
          now: monotonic time (s).
          elapsed_s: time since `started` (s).
          outcome: what became of it; `None` if it was cancelled by us.
          load: the target's report, where the answer carried one.
          work: the kind of work, as it was chosen for.
        """
