"""Admission by soft deadline, newest first under congestion.

Requests that can still meet their soft deadline (aim) start before those that
can't. While the queue is short, the one with the earliest aim starts first, and
one of higher priority overtakes others by a bounded lead. Once more work is
queued than can run soon, the newest request starts first: every kind of request
then gets the same fraction served, and in time, where oldest first would serve
all of them late. Requests that would start too late in that order are refused
at once, so that their callers can go elsewhere.
"""

import abc
from collections.abc import Iterable

from radishwind.admission.admission import AdmissionLimits
from radishwind.admission.admission import Ticket
from radishwind.admission.queueing_admission import QueueingAdmission

#: Lead of each priority level over an earlier aim (s): about one run time, so
#: that a request of the highest priority waits for one slot at most.
PRIORITY_LEAD_S = 0.1

#: Priority levels by which a nested call precedes its route's: the run that
#: waits for it occupies a slot elsewhere meanwhile.
NESTED_PRIORITY_LEVELS = 1

#: Lead of the lowest group rank over the highest under congestion (s): more
#: than the ages of queued requests differ, so that the calls of one fan-out
#: start or are refused alike, at whichever servers they are queued.
GROUP_LEAD_S = 0.3

#: Run times that must be left until its aim for a request to count as in time.
_AIM_MARGIN = 1.0

#: Queued work per slot above which the newest requests start first (s): about
#: one run time of the route with the longest runs.
CONGESTION_THRESHOLD_S = 0.1


class StartGate(abc.ABC):
    """Decides whether a request should start later although a slot is free."""

    @abc.abstractmethod
    def should_delay(self, ticket: Ticket, now: float) -> bool:
        """Returns whether `ticket` should stay in the queue at `now`."""

    @abc.abstractmethod
    def queue_slowdown(self) -> float:
        """Returns the factor by which a queue takes longer than its work.

        It is 1 or more.
        """


class OpenStartGate(StartGate):
    """Delays no request."""

    def should_delay(self, ticket: Ticket, now: float) -> bool:
        return False

    def queue_slowdown(self) -> float:
        return 1.0


class DeadlineAdmission(QueueingAdmission):
    """Admits first the requests that can still meet their soft deadline."""

    def __init__(
        self,
        limits: AdmissionLimits | None = None,
        gate: StartGate | None = None,
        *,
        congestion_threshold_s: float = CONGESTION_THRESHOLD_S,
        refuses_late_starts: bool = True,
    ) -> None:
        """Creates an admission with an empty queue.

        Args:
          limits: limits of the server.
          gate: decides which requests should start later; by default none.
          congestion_threshold_s: queued work per slot above which the newest
            requests start first (s).
          refuses_late_starts: whether queued requests that are expected to
            start too late are refused early.
        """
        super().__init__(limits or AdmissionLimits())
        self._congestion_threshold_s = congestion_threshold_s
        self._refuses_late_starts = refuses_late_starts
        self._queue: list[Ticket] = []
        self._queued_work_s = 0.0
        self._gate = gate or OpenStartGate()

    def _queue_length(self) -> int:
        return len(self._queue)

    def _queued_tickets(self) -> Iterable[Ticket]:
        return tuple(self._queue)

    def _push(self, ticket: Ticket) -> None:
        self._queue.append(ticket)
        self._update_queued_work()

    def _pop(self, now: float) -> Ticket | None:
        startable = [
            t for t in self._queue if not self._gate.should_delay(t, now)
        ]
        if not startable:
            return None
        first = min(startable, key=lambda t: self._sort_key(t, now))
        self._remove(first)
        return first

    def _may_start(self, ticket: Ticket, now: float) -> bool:
        return not self._gate.should_delay(ticket, now)

    def _expected_run_s(self, ticket: Ticket) -> float:
        return ticket.normal_run_s or self._mean_service_s

    def _remove(self, ticket: Ticket) -> None:
        self._queue.remove(ticket)
        self._update_queued_work()

    def _update_queued_work(self) -> None:
        self._queued_work_s = sum(map(self._expected_run_s, self._queue))

    def expire(self, now: float) -> None:
        self._refuse_late_starts(now)
        super().expire(now)

    def _expected_wait_s(self, ticket: Ticket) -> float:
        now = ticket.offered_at
        own_key = self._sort_key(ticket, now)
        ahead = [t for t in self._queue if self._sort_key(t, now) < own_key]
        return self._time_until_started_s(ahead)

    def _time_until_started_s(self, tickets: Iterable[Ticket]) -> float:
        """Returns the expected time until all `tickets` have started (s).

        Uses the mean run times at this server, nested calls included, where
        they are known: if the services called are overloaded, runs take far
        longer than their own work.
        """
        slowdown = self._gate.queue_slowdown()
        runs_s = sum(
            t.mean_run_s or self._expected_run_s(t) * slowdown for t in tickets
        )
        if self._in_flight >= self._slots:
            runs_s += self._mean_service_s
        return runs_s / max(1, self._slots)

    def _refuse_late_starts(self, now: float) -> None:
        """Refuses requests that would start too late in the current order."""
        if not self._refuses_late_starts or not self._is_congested():
            return
        ahead: list[Ticket] = []
        for ticket in sorted(self._queue, key=lambda t: self._sort_key(t, now)):
            if now + self._time_until_started_s(ahead) >= self._latest_start(
                ticket
            ):
                self._remove(ticket)
                self._refuse(
                    ticket, "Requests ahead in the queue leave no slot in time."
                )
                continue
            ahead.append(ticket)

    def _select_eviction(self, ticket: Ticket) -> Ticket:
        now = ticket.offered_at
        last = max(self._queue, key=lambda t: self._sort_key(t, now))
        if self._sort_key(last, now) > self._sort_key(ticket, now):
            return last
        return ticket

    def _is_congested(self) -> bool:
        return self._queued_work_s > self._congestion_threshold_s * max(
            1, self._slots
        )

    def _sort_key(self, ticket: Ticket, now: float) -> tuple[bool, float]:
        """Returns the sort key of `ticket`: whether it is late, then its time.

        A nested call is late only if it would miss its deadline: until then its
        response is of use to the run that waits for it.
        """
        aim = ticket.deadline if ticket.is_nested else ticket.aim
        is_late = now + _AIM_MARGIN * self._expected_run_s(ticket) > aim
        level = ticket.priority - NESTED_PRIORITY_LEVELS * ticket.is_nested
        delay_s = level * PRIORITY_LEAD_S
        if self._is_congested():
            return (
                is_late,
                delay_s - ticket.offered_at + GROUP_LEAD_S * ticket.group_rank,
            )
        return is_late, (ticket.deadline if is_late else ticket.aim) + delay_s
