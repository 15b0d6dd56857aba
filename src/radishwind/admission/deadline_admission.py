"""Orders waiting requests by what an answer is still worth.

First come those that can still meet their aim, then the others. While little
waits, the one whose aim is nearest goes first, and one of higher rank
overtakes by a bounded lead. Once more waits than can soon be run, the newest
goes first: of every kind the same part is served, and in time, where the
oldest first would serve all of them late. Whoever cannot be served in that
order any more is refused at once, so that its caller can go elsewhere.
"""

import abc
from collections.abc import Iterable

from radishwind.admission.admission import AdmissionLimits
from radishwind.admission.admission import Ticket
from radishwind.admission.queueing_admission import QueueingAdmission

#: The lead of each step of rank over a nearer aim (s): about one run time, so
#: that a request of the highest rank waits for one slot at most.
RANK_LEAD_S = 0.1

#: Steps of rank that a nested call is ahead of its route's: the run that waits
#: for it should_delay a slot elsewhere meanwhile.
NESTED_STEPS = 1

#: What the whole width of lots counts for in a congestion, as a lead (s): more
#: than the requests that wait differ in age, so that those which belong
#: together begin or are refused alike, at whichever server they wait.
LOT_LEAD_S = 0.3

#: Run times that a request must have left to its aim to count as in time.
_AIM_MARGIN = 1.0

#: More than this time of work waits for each slot: the newest go first (s).
#: It is about one run time of the longest kind.
CONGESTION_THRESHOLD_S = 0.1


class StartGate(abc.ABC):
    """Says whether a request had better begin later, though a slot is free."""

    @abc.abstractmethod
    def should_delay(self, ticket: Ticket, now: float) -> bool:
        """Returns whether `ticket` is to wait on."""

    @abc.abstractmethod
    def queue_slowdown(self) -> float:
        """Returns how much longer a queue takes than its work, at least 1."""


class OpenStartGate(StartGate):
    """Holds nothing."""

    def should_delay(self, ticket: Ticket, now: float) -> bool:
        return False

    def queue_slowdown(self) -> float:
        return 1.0


class DeadlineAdmission(QueueingAdmission):
    """Slots go first to what can still be in time."""

    def __init__(
        self,
        limits: AdmissionLimits | None = None,
        gate: StartGate | None = None,
        *,
        congestion_threshold_s: float = CONGESTION_THRESHOLD_S,
        refuses_late_starts: bool = True,
    ) -> None:
        """Makes an admission with nobody in it.

        Args:
          limits: of the server.
          gate: says what had better begin later.
          congestion_threshold_s: queued work for each slot from which on the
            newest requests start first (s).
          refuses_late_starts: whether what will come to its turn too late is
            refused before.
        """
        super().__init__(limits or AdmissionLimits())
        self._congestion_threshold_s = congestion_threshold_s
        self._refuses_late_starts = refuses_late_starts
        self._queue: list[Ticket] = []
        self._queued_work_s = 0.0
        self._gate = gate or OpenStartGate()

    def _waiting(self) -> int:
        return len(self._queue)

    def _tickets(self) -> Iterable[Ticket]:
        return tuple(self._queue)

    def _push(self, ticket: Ticket) -> None:
        self._queue.append(ticket)
        self._count_work()

    def _pop(self, now: float) -> Ticket | None:
        ready = [t for t in self._queue if not self._gate.should_delay(t, now)]
        if not ready:
            return None
        first = min(ready, key=lambda t: self._order(t, now))
        self._remove(first)
        return first

    def _may_start(self, ticket: Ticket, now: float) -> bool:
        return not self._gate.should_delay(ticket, now)

    def _cost_s(self, ticket: Ticket) -> float:
        return ticket.normal_run_s or self._service_s

    def _remove(self, ticket: Ticket) -> None:
        self._queue.remove(ticket)
        self._count_work()

    def _count_work(self) -> None:
        self._queued_work_s = sum(map(self._cost_s, self._queue))

    def expire(self, now: float) -> None:
        self._refuse_hopeless(now)
        super().expire(now)

    def _wait_s(self, ticket: Ticket) -> float:
        now = ticket.offered_at
        own = self._order(ticket, now)
        ahead = [t for t in self._queue if self._order(t, now) < own]
        return self._begin_s(ahead)

    def _begin_s(self, ahead: Iterable[Ticket]) -> float:
        """Returns how long it takes until those `ahead` have begun (s).

        By what their runs take there, with what they wait for, where that is
        known; it is far more than their work in an overload of what they call.
        """
        stretched_s = self._gate.queue_slowdown()
        runs_s = sum(
            t.mean_run_s or self._cost_s(t) * stretched_s for t in ahead
        )
        if self._in_flight >= self._slots:
            runs_s += self._service_s
        return runs_s / max(1, self._slots)

    def _refuse_hopeless(self, now: float) -> None:
        """Refuses those whose turn will come too late, in today's order."""
        if not self._refuses_late_starts or not self._is_congested():
            return
        ahead: list[Ticket] = []
        for ticket in sorted(self._queue, key=lambda t: self._order(t, now)):
            if now + self._begin_s(ahead) >= self._latest(ticket):
                self._remove(ticket)
                self._turn_away(ticket, "Others go first until it is too late.")
                continue
            ahead.append(ticket)

    def _victim(self, ticket: Ticket) -> Ticket:
        now = ticket.offered_at
        last = max(self._queue, key=lambda t: self._order(t, now))
        if self._order(last, now) > self._order(ticket, now):
            return last
        return ticket

    def _is_congested(self) -> bool:
        return self._queued_work_s > self._congestion_threshold_s * max(
            1, self._slots
        )

    def _order(self, ticket: Ticket, now: float) -> tuple[bool, float]:
        """Returns what sorts `ticket`: whether it is late, then its rank."""
        aim = ticket.deadline if ticket.is_nested else ticket.aim
        late = now + _AIM_MARGIN * self._cost_s(ticket) > aim
        rank = ticket.priority - NESTED_STEPS * ticket.is_nested
        lead_s = rank * RANK_LEAD_S
        if self._is_congested():
            return (
                late,
                lead_s - ticket.offered_at + LOT_LEAD_S * ticket.group_rank,
            )
        return late, (ticket.deadline if late else ticket.aim) + lead_s
