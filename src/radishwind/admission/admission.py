"""The interface of admission control at the node beside a server.

Admission does no I/O and reads no clock: its methods are passed the time and
mark tickets as admitted or refused. Whoever holds a queued ticket waits for the
call of its `on_decided`.
"""

import abc
from collections.abc import Callable
from collections.abc import Mapping
import math

import msgspec

from radishwind.outcomes.model import NotRun


class Ticket(msgspec.Struct, eq=False):
    """One request that is offered to a server: queued, admitted or refused.

    Attributes:
      caller: who sent it; used for fair queueing between callers.
      deadline: monotonic time (s) after which a response is of no use.
      offered_at: monotonic time (s) of the offer.
      on_decided: called once when the ticket is admitted or refused after it
        was queued; that may happen during the offer.
      must_run_alone: whether nothing else may run on the server meanwhile.
      aim: soft deadline (monotonic s); a later response is worth less.
      priority: priority among queued requests; 0 is the highest.
      normal_run_s: its run time at a server of normal speed (s); 0 if unknown.
      group_rank: random rank, -0.5 to 0.5, shared by the calls of one fan-out;
        lower ranks start first. 0 for a call that is not part of a fan-out.
      mean_run_s: current mean run time of its route at this server (s),
        including the nested calls that a run waits for; 0 if unknown.
      likely_s: time within which four of five such runs end (s); 0 if unknown.
      is_nested: whether a request that runs elsewhere waits for it.
      is_admitted: whether it was given a slot.
      refusal: why it was refused; `None` if it was not.
      is_released: whether it was returned by `Admission.release`.
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
    """The limits of one server, from its configuration.

    Attributes:
      slots: requests that the server runs concurrently.
      connections: connections that the server accepts; one stays free for
        probes.
      overcommit: queued requests sent to the server beyond its slots, so that
        it has the next request at hand when a slot becomes free.
      max_queued: requests that may be queued.
      max_queue_wait_s: maximum time in the queue (s).
      caller_weights: weight of each caller in fair queueing; 1 for callers
        that are not listed.
    """

    slots: int = 0
    connections: int = 0
    overcommit: int = 0
    max_queued: int = 0
    max_queue_wait_s: float = 0.0
    caller_weights: Mapping[str, float] = msgspec.field(default_factory=dict)

    @property
    def usable_slots(self) -> int:
        """Requests that may run concurrently, one on each connection."""
        return min(self.slots, self._usable_connections)

    @property
    def max_in_flight(self) -> int:
        """Requests that may be sent to the server concurrently."""
        if not self.slots:
            return 0
        return min(self.slots + self.overcommit, self._usable_connections)

    @property
    def _usable_connections(self) -> int:
        return max(min(1, self.connections), self.connections - 1)


class Admission(abc.ABC):
    """Grants the slots of one server to tickets."""

    @abc.abstractmethod
    def offer(self, ticket: Ticket, now: float) -> None:
        """Admits, queues or refuses `ticket` at `now` (monotonic s)."""

    @abc.abstractmethod
    def release(self, ticket: Ticket, now: float, service_s: float) -> None:
        """Releases the slot of an admitted ticket, or removes a queued one.

        Does nothing for a ticket that was refused or released before.

        Args:
          ticket: a ticket that was admitted, or is queued and abandoned.
          now: monotonic time (s).
          service_s: how long it ran (s); 0 if it did not run.
        """

    @abc.abstractmethod
    def expire(self, now: float) -> None:
        """Refuses queued tickets that are too late and admits others.

        Args:
          now: monotonic time (s).
        """

    @abc.abstractmethod
    def refuse_all(self, refusal: NotRun) -> None:
        """Refuses all queued tickets; admitted ones keep their slots."""

    @abc.abstractmethod
    def record_shed(self, now: float) -> None:
        """Records that the server refused a request that was admitted."""

    @abc.abstractmethod
    def set_limits(self, limits: AdmissionLimits) -> None:
        """Sets the limits; tickets already admitted keep their slots."""

    @property
    @abc.abstractmethod
    def slots(self) -> int:
        """Requests that may run concurrently."""

    @property
    @abc.abstractmethod
    def in_flight(self) -> int:
        """Admitted tickets that are not released yet."""

    @property
    @abc.abstractmethod
    def queued(self) -> int:
        """Tickets in the queue."""
