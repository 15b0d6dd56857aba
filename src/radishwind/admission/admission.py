"""The interface of admission at a target's node.

The decision is pure: `offer` and `release` take the time and mark tickets as
admitted or refused; whoever holds a ticket waits for its `notify`.
"""

import abc
from collections.abc import Callable
from collections.abc import Mapping
import math

import msgspec

from radishwind.outcomes.model import NotRun


class Ticket(msgspec.Struct, eq=False):
    """One request's place at a target.

    Attributes:
      caller: who asks, for the shares between callers.
      deadline: monotonic time (s) after which it is of no use.
      offered: monotonic time (s) of the offer.
      notify: called once, when the ticket is admitted or refused after it
        was queued; that may be within the offer.
      alone: whether it must be the only one that runs.
      aim: monotonic time (s) by which an answer earns its full worth.
      priority: its rank; 0 is the highest.
      work_s: its run time at the usual pace (s); 0 where not known.
      lot: drawn with those that it belongs to, -0.5 to 0.5; 0 for none.
      run_s: what such runs take there now in the mean, their calls included
        (s); 0 where not known.
      likely_s: what four of five of them end within (s); 0 where not known.
      nested: whether a run elsewhere waits for it.
      admitted: whether it holds a slot.
      refused: the refusal, if it was turned away.
      released: whether it was given back.
    """

    caller: str
    deadline: float
    offered_at: float
    on_decided: Callable[[], None]
    must_run_alone: bool = False
    aim: float = math.inf
    priority: int = 0
    normal_run_s: float = 0.0
    group_rank: float = 0.0
    mean_run_s: float = 0.0
    likely_s: float = 0.0
    is_nested: bool = False
    is_admitted: bool = False
    refusal: NotRun | None = None
    is_released: bool = False


class AdmissionLimits(msgspec.Struct, frozen=True):
    """What the inventory and the rules allow at one server.

    Attributes:
      slots: requests the server runs at once.
      connections: connections it accepts; one stays free for probing.
      overlap: waiting requests sent to the server beyond its slots, so that
        it has the next one at hand when a slot comes free.
      queue_length: requests that may wait.
      queue_wait_s: the longest a request waits (s).
      caller_weights: share by caller; 1 where not named.
    """

    slots: int = 0
    connections: int = 0
    overcommit: int = 0
    max_queued: int = 0
    max_queue_wait_s: float = 0.0
    caller_weights: Mapping[str, float] = msgspec.field(default_factory=dict)

    @property
    def usable_slots(self) -> int:
        """Requests that may run at once, as each holds a connection."""
        return min(self.slots, self._usable_connections)

    @property
    def max_in_flight(self) -> int:
        """Requests that may be at the server at once."""
        if not self.slots:
            return 0
        return min(self.slots + self.overcommit, self._usable_connections)

    @property
    def _usable_connections(self) -> int:
        return max(min(1, self.connections), self.connections - 1)


class Admission(abc.ABC):
    """Grants slots of one server to tickets."""

    @abc.abstractmethod
    def offer(self, ticket: Ticket, now: float) -> None:
        """Admits `ticket`, queues it, or refuses it at once."""

    @abc.abstractmethod
    def release(self, ticket: Ticket, now: float, service_s: float) -> None:
        """Gives the slot of an admitted ticket back, or leaves the queue.

        A ticket that was refused or released before is left as it is.

        Args:
          ticket: admitted, or still waiting and given up.
          now: monotonic time (s).
          service_s: how long it ran (s); 0 if it never did.
        """

    @abc.abstractmethod
    def expire(self, now: float) -> None:
        """Refuses the waiting tickets that cannot run in time any more."""

    @abc.abstractmethod
    def refuse_all(self, refusal: NotRun) -> None:
        """Refuses all waiting tickets; those admitted keep their slots."""

    @abc.abstractmethod
    def record_shed(self, now: float) -> None:
        """Takes that the server refused a request that was admitted."""

    @abc.abstractmethod
    def set_limits(self, limits: AdmissionLimits) -> None:
        """Takes new limits; those already admitted keep their slots."""

    @property
    @abc.abstractmethod
    def slots(self) -> int:
        """Slots in all."""

    @property
    @abc.abstractmethod
    def in_flight(self) -> int:
        """Slots in use."""

    @property
    @abc.abstractmethod
    def queued(self) -> int:
        """Tickets waiting."""
