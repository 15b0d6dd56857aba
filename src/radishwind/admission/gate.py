"""The interface of admission at a target's node, and the FIFO baseline.

The decision is pure: `offer` and `release` take the time and return what is to
happen; the caller waits on the ticket's event.
"""

import abc
import collections
import dataclasses
from collections.abc import Callable

from radishwind.core.codes import ResultCode
from radishwind.outcomes.model import NotRun


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """One request's place at a target.

    Attributes:
      caller: who asks, for the shares between callers.
      deadline: monotonic time (s) after which it is of no use.
      offered: monotonic time (s) of the offer.
      notify: called once, when the ticket is admitted or refused later.
      admitted: whether it holds a slot.
      refused: the refusal, if it was turned away.
    """

    caller: str
    deadline: float
    offered: float
    notify: Callable[[], None]
    admitted: bool = False
    refused: NotRun | None = None


class Admission(abc.ABC):
    """Grants slots of one server to tickets."""

    @abc.abstractmethod
    def offer(self, ticket: Ticket, now: float) -> None:
        """Admits `ticket`, queues it, or refuses it at once."""

    @abc.abstractmethod
    def release(self, ticket: Ticket, now: float, service_s: float) -> None:
        """Gives the slot of an admitted ticket back, or leaves the queue.

        Args:
          ticket: admitted, or still waiting and given up.
          now: monotonic time (s).
          service_s: how long it ran (s); 0 if it never did.
        """

    @abc.abstractmethod
    def expire(self, now: float) -> None:
        """Refuses the waiting tickets that cannot run in time any more."""

    @abc.abstractmethod
    def resize(
        self, slots: int, queue_length: int, queue_wait_s: float
    ) -> None:
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


class FifoAdmission(Admission):
    """First come, first served, with a bounded queue."""

    def __init__(
        self, slots: int, queue_length: int, queue_wait_s: float
    ) -> None:
        self._in_flight = 0
        self._queue: collections.deque[Ticket] = collections.deque()
        self.resize(slots, queue_length, queue_wait_s)

    def resize(
        self, slots: int, queue_length: int, queue_wait_s: float
    ) -> None:
        self._slots = slots
        self._queue_length = queue_length
        self._queue_wait_s = queue_wait_s

    @property
    def slots(self) -> int:
        return self._slots

    @property
    def in_flight(self) -> int:
        return self._in_flight

    @property
    def queued(self) -> int:
        return len(self._queue)

    def offer(self, ticket: Ticket, now: float) -> None:
        if self._in_flight < self._slots:
            self._admit(ticket)
            return
        if len(self._queue) >= self._queue_length:
            ticket.refused = NotRun(
                ResultCode.OVERLOADED, "The target's queue is full.", 1.0
            )
            return
        self._queue.append(ticket)

    def release(self, ticket: Ticket, now: float, service_s: float) -> None:
        if not ticket.admitted:
            if ticket in self._queue:
                self._queue.remove(ticket)
            return
        self._in_flight -= 1
        self.expire(now)
        while self._queue and self._in_flight < self._slots:
            waiting = self._queue.popleft()
            self._admit(waiting)
            waiting.notify()

    def expire(self, now: float) -> None:
        late = [
            t
            for t in self._queue
            if min(t.deadline, t.offered + self._queue_wait_s) <= now
        ]
        for ticket in late:
            self._queue.remove(ticket)
            ticket.refused = NotRun(
                ResultCode.OVERLOADED, "No slot came free in time.", 1.0
            )
            ticket.notify()

    def _admit(self, ticket: Ticket) -> None:
        ticket.admitted = True
        self._in_flight += 1
