"""Orders waiting requests by what an answer is still worth.

First come those that can still meet their aim, the one whose aim is nearest
first; those of higher rank overtake by a bounded lead. Then come those whose
aim has passed, by rank and deadline.
"""

import abc
from collections.abc import Iterable

from radishwind.admission.gate import AdmissionLimits
from radishwind.admission.gate import Ticket
from radishwind.admission.queueing import QueueingAdmission

#: The lead of each step of rank over a nearer aim (s): about one run time, so
#: that a request of the highest rank waits for one slot at most.
RANK_LEAD_S = 0.1

#: Run times that a request must have left to its aim to count as in time.
_AIM_MARGIN = 1.0


class StartGate(abc.ABC):
    """Says whether a request had better begin later, though a slot is free."""

    @abc.abstractmethod
    def holds(self, ticket: Ticket, now: float) -> bool:
        """Returns whether `ticket` is to wait on."""


class OpenGate(StartGate):
    """Holds nothing."""

    def holds(self, ticket: Ticket, now: float) -> bool:
        return False


class UrgentAdmission(QueueingAdmission):
    """Slots go first to what can still be in time."""

    def __init__(
        self,
        limits: AdmissionLimits | None = None,
        gate: StartGate | None = None,
    ) -> None:
        super().__init__(limits or AdmissionLimits())
        self._queue: list[Ticket] = []
        self._gate = gate or OpenGate()

    def _waiting(self) -> int:
        return len(self._queue)

    def _tickets(self) -> Iterable[Ticket]:
        return tuple(self._queue)

    def _push(self, ticket: Ticket) -> None:
        self._queue.append(ticket)

    def _pop(self, now: float) -> Ticket | None:
        ready = [t for t in self._queue if not self._gate.holds(t, now)]
        if not ready:
            return None
        first = min(ready, key=lambda t: self._order(t, now))
        self._queue.remove(first)
        return first

    def _may_start(self, ticket: Ticket, now: float) -> bool:
        return not self._gate.holds(ticket, now)

    def _cost_s(self, ticket: Ticket) -> float:
        return ticket.work_s or self._service_s

    def _remove(self, ticket: Ticket) -> None:
        self._queue.remove(ticket)

    def _wait_s(self, ticket: Ticket) -> float:
        ahead = len(self._queue) + 1
        return ahead * self._service_s / max(1, self._slots)

    def _victim(self, ticket: Ticket) -> Ticket:
        now = ticket.offered
        last = max(self._queue, key=lambda t: self._order(t, now))
        if self._order(last, now) > self._order(ticket, now):
            return last
        return ticket

    def _order(self, ticket: Ticket, now: float) -> tuple[bool, float]:
        """Returns what sorts `ticket`: whether it is late, then its time."""
        lead_s = ticket.priority * RANK_LEAD_S
        late = now + _AIM_MARGIN * self._cost_s(ticket) > ticket.aim
        if late:
            return True, ticket.deadline + lead_s
        return False, ticket.aim + lead_s
