"""What every queueing policy shares: slots, deadlines, early refusal.

A policy says only in which order tickets wait (`_push`, `_pop`), how long
that takes (`_wait_s`), and which gives way when the queue is full (`_victim`).
"""

import abc
import collections
from collections.abc import Iterable
import math

from radishwind.admission.admission import Admission
from radishwind.admission.admission import AdmissionLimits
from radishwind.admission.admission import Ticket
from radishwind.core.codes import ResultCode
from radishwind.outcomes.model import NotRun

#: Tickets that may wait to run alone.
MAX_ALONE_QUEUED = 8

#: The least that a refused caller is told to wait (s).
MIN_RETRY_AFTER_S = 0.05

#: Multiples of its expected run time that a request must have left to start.
_COST_MARGIN = 2.0

#: How long nothing is sent beyond the slots after the server shed it (s).
OVERCOMMIT_PAUSE_S = 60.0

#: The share that the newest request has in the mean service time.
_SMOOTHING = 0.1


class QueueingAdmission(Admission):
    """Slots with a bounded queue; the order is the subclass's.

    A few waiting tickets go to the server beyond its slots: a slot would
    otherwise stand empty until the node has heard of it and sent the next
    request. A server that sheds them gets none for a while.

    A ticket that must run alone waits until the server is empty, and nothing
    else starts meanwhile. So that a row of such tickets cannot stop the
    server, the next one waits at least as long as the last one held it up.
    """

    def __init__(self, limits: AdmissionLimits) -> None:
        self._take(limits)
        self._in_flight = 0
        self._service_s = 0.0
        # Tickets that wait to run alone, and the one that does.
        self._alone: collections.deque[Ticket] = collections.deque()
        self._alone_runs: Ticket | None = None
        # Since when the server is held up for it, and when the next one may
        # hold it up (monotonic, s).
        self._alone_since = 0.0
        self._alone_after = 0.0
        # No waiting ticket has to be refused before (monotonic, s), so that
        # `expire` costs nothing until then.
        self._earliest = math.inf
        # Nothing goes beyond the slots before (monotonic, s).
        self._overlap_after = 0.0

    @property
    def slots(self) -> int:
        return self._slots

    @property
    def in_flight(self) -> int:
        return self._in_flight

    @property
    def queued(self) -> int:
        return self._waiting() + len(self._alone)

    def set_limits(self, limits: AdmissionLimits) -> None:
        self._take(limits)
        self._earliest = 0.0

    def _take(self, limits: AdmissionLimits) -> None:
        self._limits = limits
        # Read several times a request, so they are derived here.
        self._slots = limits.usable_slots
        self._max_in_flight = limits.max_in_flight

    def record_shed(self, now: float) -> None:
        if self._in_flight > self.slots:
            self._overlap_after = now + OVERCOMMIT_PAUSE_S

    def offer(self, ticket: Ticket, now: float) -> None:
        if ticket.must_run_alone:
            self._offer_alone(ticket, now)
            return
        free = self._has_free_slot() and not self.queued
        if free and self._may_start(ticket, now):
            self._admit(ticket)
            return
        ticket.refusal = self._too_late(ticket, now)
        if ticket.refusal is not None:
            return
        if self._waiting() >= self._limits.max_queued:
            victim = self._victim(ticket)
            if victim is ticket:
                ticket.refusal = self._refusal(ticket, "The queue is full.")
                return
            self._remove(victim)
            self._turn_away(victim, "Another caller's share goes first.")
        self._push(ticket)
        self._earliest = min(self._earliest, self._latest(ticket))
        self._dispatch(now)

    def release(self, ticket: Ticket, now: float, service_s: float) -> None:
        if ticket.is_released or ticket.refusal is not None:
            return
        ticket.is_released = True
        if not ticket.is_admitted:
            self._withdraw(ticket)
            self._dispatch(now)
            return
        self._in_flight -= 1
        if service_s:
            step = _SMOOTHING if self._service_s else 1.0
            self._service_s += step * (service_s - self._service_s)
        if ticket is self._alone_runs:
            self._alone_runs = None
            self._alone_after = now + (now - self._alone_since)
        self._settle(ticket, service_s)
        self.expire(now)

    def expire(self, now: float) -> None:
        if now >= self._earliest:
            waiting = [*self._tickets(), *self._alone]
            for ticket in [t for t in waiting if self._latest(t) <= now]:
                self._withdraw(ticket)
                self._turn_away(ticket, "No slot came free in time.")
            left = (*self._tickets(), *self._alone)
            self._earliest = min(map(self._latest, left), default=math.inf)
        self._dispatch(now)

    def refuse_all(self, refusal: NotRun) -> None:
        for ticket in [*self._tickets(), *self._alone]:
            self._withdraw(ticket)
            ticket.refusal = refusal
            ticket.on_decided()

    def _has_free_slot(self) -> bool:
        return self._alone_runs is None and self._in_flight < self.slots

    def _dispatch(self, now: float) -> None:
        if self._alone_runs is not None:
            return
        if self._alone and self._alone_due(now):
            self._start_alone(now)
            return
        most = self.slots
        if now >= self._overlap_after:
            most = self._max_in_flight
        while self._in_flight < most and self._waiting():
            ticket = self._pop(now)
            if ticket is None:
                return
            self._admit(ticket)
            ticket.on_decided()

    def _offer_alone(self, ticket: Ticket, now: float) -> None:
        if not self.slots or len(self._alone) >= MAX_ALONE_QUEUED:
            ticket.refusal = NotRun(
                ResultCode.QUARANTINED,
                "Too many requests wait to run alone.",
                max(MIN_RETRY_AFTER_S, self._service_s * MAX_ALONE_QUEUED),
            )
            return
        if not self._in_flight and not self.queued:
            self._alone_runs = ticket
            self._alone_since = now
            self._admit(ticket)
            return
        if not self._alone:
            self._alone_since = max(now, self._alone_after)
        self._alone.append(ticket)
        self._earliest = min(self._earliest, self._latest(ticket))
        self._dispatch(now)

    def _alone_due(self, now: float) -> bool:
        """Returns whether the next one that runs alone has its turn.

        It need not wait for its turn if nobody else wants the server.
        """
        empty = not self._in_flight and not self._waiting()
        return empty or now >= self._alone_after

    def _start_alone(self, now: float) -> None:
        """Starts the next one that runs alone, once the server is empty."""
        if self._in_flight:
            return
        ticket = self._alone.popleft()
        self._alone_since = min(now, max(self._alone_since, self._alone_after))
        self._alone_runs = ticket
        self._admit(ticket)
        ticket.on_decided()

    def _admit(self, ticket: Ticket) -> None:
        ticket.is_admitted = True
        self._in_flight += 1
        self._charge(ticket)

    def _withdraw(self, ticket: Ticket) -> None:
        if ticket.must_run_alone:
            self._alone.remove(ticket)
        else:
            self._remove(ticket)

    def _latest(self, ticket: Ticket) -> float:
        """Returns when `ticket` has to have started (monotonic, s).

        What starts too late to end by its deadline only takes a slot away.
        """
        run_s = max(_COST_MARGIN * self._cost_s(ticket), ticket.likely_s)
        ends = ticket.deadline - run_s
        return min(ends, ticket.offered_at + self._limits.max_queue_wait_s)

    def _cost_s(self, ticket: Ticket) -> float:
        """Returns how long `ticket` is expected to run (s)."""
        return self._service_s

    def _too_late(self, ticket: Ticket, now: float) -> NotRun | None:
        if not self.slots:
            return self._refusal(ticket, "The target has no slots.")
        if now + self._wait_s(ticket) >= self._latest(ticket):
            return self._refusal(ticket, "No slot will come free in time.")
        return None

    def _refusal(self, ticket: Ticket, detail: str) -> NotRun:
        retry_s = max(MIN_RETRY_AFTER_S, self._wait_s(ticket))
        return NotRun(ResultCode.OVERLOADED, detail, round(retry_s, 3))

    def _turn_away(self, ticket: Ticket, detail: str) -> None:
        ticket.refusal = self._refusal(ticket, detail)
        ticket.on_decided()

    @abc.abstractmethod
    def _waiting(self) -> int:
        """Returns how many tickets wait in the order of the policy."""

    @abc.abstractmethod
    def _tickets(self) -> Iterable[Ticket]:
        """Returns the tickets that wait in the order of the policy."""

    @abc.abstractmethod
    def _push(self, ticket: Ticket) -> None:
        """Queues `ticket`."""

    @abc.abstractmethod
    def _pop(self, now: float) -> Ticket | None:
        """Removes the ticket whose turn it is and returns it, if any."""

    @abc.abstractmethod
    def _remove(self, ticket: Ticket) -> None:
        """Removes `ticket` from the queue."""

    @abc.abstractmethod
    def _wait_s(self, ticket: Ticket) -> float:
        """Returns how long a new ticket is expected to wait (s)."""

    def _may_start(self, ticket: Ticket, now: float) -> bool:
        """Returns whether `ticket` may begin now if a slot is free."""
        return True

    def _victim(self, ticket: Ticket) -> Ticket:
        """Returns who gives way to the new `ticket` in a full queue."""
        return ticket

    def _charge(self, ticket: Ticket) -> None:
        """Notes that `ticket` got a slot."""

    def _settle(self, ticket: Ticket, service_s: float) -> None:
        """Notes that an admitted `ticket` ran for `service_s` (s)."""
