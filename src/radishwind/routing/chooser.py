"""The interface of a routing policy and what it learns from."""

import abc
from collections.abc import Sequence
import math

import msgspec

from radishwind.membership.directory import Member
from radishwind.outcomes.model import Outcome


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The load of a target, as measured by its node.

    Encoded as an array in this order: as JSON in a field of each answer, and
    as MessagePack in load datagrams.

    Attributes:
      slots: requests that the server runs at once.
      in_flight: requests running at the server.
      queued: requests waiting for a slot.
      service_ms: smoothed recent run time of a request (ms).
      leaving: whether the target accepts no new requests.
      warm_fraction: progress of slow start, from 0 for a server just started
        to 1 for a warm one.
      pace: run times at present relative to normal ones; 1 is normal, 2 is
        twice as long.
      base_pace: the lowest pace of the last intervals; more than 1 for an
        instance that is slow also outside of slow intervals.
      pace_interval_ms: time between the moments at which the pace may change
        (ms); 0 if these aren't known.
      pace_interval_left_ms: time until the next such moment (ms).
      normal_run_ms: run time of the attempt that this report answers, scaled
        to the normal pace (ms); 0 without such an attempt or if it didn't run.
      warmup_requests_left: requests that a server in slow start may still be
        sent now; `None` if not limited.
      link_free_kbps: free capacity of the node's link (kbit/s); 0 if not
        known.
    """

    slots: int
    in_flight: int
    queued: int
    service_ms: float
    leaving: bool = False
    warm_fraction: float = 1.0
    pace: float = 1.0
    base_pace: float = 1.0
    pace_interval_ms: float = 0.0
    pace_interval_left_ms: float = 0.0
    normal_run_ms: float = 0.0
    warmup_requests_left: int | None = None
    link_free_kbps: int = 0

    @property
    def is_warmup_exhausted(self) -> bool:
        """Whether a server in slow start accepts no further requests now."""
        return (
            self.warmup_requests_left is not None
            and self.warmup_requests_left <= 0
        )


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

    def describe_cost(self, member: Member, now: float, work: str = "") -> str:
        """Returns what a choice of `member` is made of, for the log."""
        return ""

    @abc.abstractmethod
    def attempt_started(
        self, name: str, now: float, expected_s: float = 0.0
    ) -> None:
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

    def mean_run_s(self, work: str) -> float:
        """Returns how long `work` takes where nothing waits (s); 0 if unknown.

        Args:
          work: the kind of work.
        """
        return 0.0

    @abc.abstractmethod
    def attempt_finished(
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
          elapsed_s: time since `attempt_started` (s).
          outcome: what became of it; `None` if it was cancelled by us.
          load: the target's report, where the answer carried one.
          work: the kind of work, as it was chosen for.
        """
