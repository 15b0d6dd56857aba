"""The interface of routing policies, and the load reports they learn from."""

import abc
from collections.abc import Sequence
import math

import msgspec

from radishwind.decoding.numbers import Float
from radishwind.decoding.numbers import Int
from radishwind.membership.directory import Member
from radishwind.outcomes.model import NotRun
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
      requests_left: requests that a server with a limit, such as in slow
        start, may still be sent now; `None` if not limited.
      link_free_kbps: free capacity of the node's link (kbit/s); 0 if not
        known.
      limit_per_s: limit that the server itself states (requests/s); `None` if
        it states none.
      limit_wait_ms: time until that limit allows a request (ms).
    """

    slots: Int
    in_flight: Int
    queued: Int
    service_ms: Float
    leaving: bool = False
    warm_fraction: Float = 1.0
    pace: Float = 1.0
    base_pace: Float = 1.0
    pace_interval_ms: Float = 0.0
    pace_interval_left_ms: Float = 0.0
    normal_run_ms: Float = 0.0
    requests_left: Int | None = None
    link_free_kbps: Int = 0
    limit_per_s: Float | None = None
    limit_wait_ms: Float = 0.0

    @property
    def is_limit_reached(self) -> bool:
        """Whether the limit of the server allows no further requests now."""
        return self.requests_left is not None and self.requests_left <= 0


class TargetChooser(abc.ABC):
    """A routing policy: chooses targets and learns from attempts.

    All times are passed in, as monotonic time in seconds. Random numbers come
    from the generator given at construction.
    """

    @abc.abstractmethod
    def choose(
        self,
        members: Sequence[Member],
        now: float,
        exclude: frozenset[str] = frozenset(),
        route: str = "",
        aim: float = math.inf,
    ) -> Member | None:
        """Returns the member to try, or `None` if none is eligible.

        Args:
          members: candidates of one service; the same object until they change.
          now: monotonic time (s).
          exclude: names of the targets already tried for this request.
          route: the route of the request; run times are learned by route.
          aim: latency target, as the time after which a response is worth less
            (monotonic s).
        """

    def is_limited(self, name: str) -> bool:
        """Returns whether the server of the target `name` states a limit.

        Such a server should get no requests that are of little use.
        """
        return False

    def refusal(self, members: Sequence[Member], now: float) -> NotRun | None:
        """Returns why none of `members` was chosen; `None` if not known.

        Args:
          members: the candidates.
          now: monotonic time (s).
        """
        return None

    def describe_cost(self, member: Member, now: float, route: str = "") -> str:
        """Returns the components of the cost of `member` as text for logs."""
        return ""

    @abc.abstractmethod
    def attempt_started(
        self, name: str, now: float, expected_s: float = 0.0
    ) -> None:
        """Records the start of an attempt.

        Args:
          name: name of the target.
          now: monotonic time (s).
          expected_s: expected response time (s); 0 if not known.
        """

    def expected_s(self, member: Member, now: float, route: str) -> float:
        """Returns the expected response time of an attempt (s); 0 if unknown.

        Args:
          member: the target.
          now: monotonic time (s).
          route: the route of the request.
        """
        return 0.0

    def mean_run_s(self, route: str) -> float:
        """Returns the mean run time without queueing (s); 0 if unknown.

        Args:
          route: the route of the request.
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
        route: str = "",
    ) -> None:
        """Records the end of an attempt.

        Args:
          name: name of the target.
          now: monotonic time (s).
          elapsed_s: time since `attempt_started` (s).
          outcome: outcome of the attempt; `None` if this node cancelled it.
          load: the load report in the response, if any.
          route: the route that was passed to `choose`.
        """
