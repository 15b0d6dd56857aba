"""Common part of the queueing policies: slots, deadlines, early refusal.

A policy defines the order of the queue (`_push`, `_pop`), the expected wait
(`_expected_wait_s`) and which ticket is evicted if the queue is full
(`_select_eviction`).
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

#: Maximum number of queued tickets that must run alone.
MAX_ALONE_QUEUED = 8

#: Lower bound of the Retry-After of a refusal (s).
MIN_RETRY_AFTER_S = 0.05

#: Multiples of its expected run time that must be left until the deadline of a
#: ticket when it starts.
_RUN_TIME_MARGIN = 2.0

#: Time without overcommit after the server shed a request beyond its slots (s).
OVERCOMMIT_PAUSE_S = 60.0

#: Weight of the latest request in the mean service time.
_SMOOTHING = 0.1


class QueueingAdmission(Admission):
    """Grants slots from a bounded queue; subclasses define its order.

    A few queued tickets are sent to the server beyond its slots (overcommit):
    otherwise a slot would be idle until the node has received the response and
    sent the next request. After the server sheds one of them, none are sent
    for a while.

    A ticket that must run alone waits until the server is idle, and nothing
    else starts meanwhile. So that a series of such tickets cannot block the
    server, the next one waits at least as long as the last one blocked it.
    """

    def __init__(self, limits: AdmissionLimits) -> None:
        self._apply_limits(limits)
        self._in_flight = 0
        self._mean_service_s = 0.0
        # Queued tickets that must run alone, and the one that runs.
        self._alone_queue: collections.deque[Ticket] = collections.deque()
        self._running_alone: Ticket | None = None
        # Since when the server is blocked for it, and from when on the next one
        # may block it (monotonic s).
        self._blocked_since = 0.0
        self._alone_not_before = 0.0
        # When the next queued ticket expires, at the earliest (monotonic s);
        # until then `expire` need not look at the queue.
        self._next_expiry = math.inf
        # No overcommit before this time (monotonic s).
        self._overcommit_after = 0.0

    @property
    def slots(self) -> int:
        return self._slots

    @property
    def in_flight(self) -> int:
        return self._in_flight

    @property
    def queued(self) -> int:
        return self._queue_length() + len(self._alone_queue)

    def set_limits(self, limits: AdmissionLimits) -> None:
        self._apply_limits(limits)
        self._next_expiry = 0.0

    def _apply_limits(self, limits: AdmissionLimits) -> None:
        self._limits = limits
        # Computed here, since they are read several times per request.
        self._slots = limits.usable_slots
        self._max_in_flight = limits.max_in_flight

    def record_shed(self, now: float) -> None:
        if self._in_flight > self.slots:
            self._overcommit_after = now + OVERCOMMIT_PAUSE_S

    def offer(self, ticket: Ticket, now: float) -> None:
        if ticket.must_run_alone:
            self._offer_alone(ticket, now)
            return
        has_slot = self._has_free_slot() and not self.queued
        if has_slot and self._may_start(ticket, now):
            self._admit(ticket)
            return
        ticket.refusal = self._early_refusal(ticket, now)
        if ticket.refusal is not None:
            return
        if self._queue_length() >= self._limits.max_queued:
            evicted = self._select_eviction(ticket)
            if evicted is ticket:
                ticket.refusal = self._make_refusal(
                    ticket, "The queue is full."
                )
                return
            self._remove(evicted)
            self._refuse(evicted, "Evicted from the full queue.")
        self._push(ticket)
        self._next_expiry = min(self._next_expiry, self._latest_start(ticket))
        self._dispatch(now)

    def release(self, ticket: Ticket, now: float, service_s: float) -> None:
        if ticket.is_released or ticket.refusal is not None:
            return
        ticket.is_released = True
        if not ticket.is_admitted:
            self._dequeue(ticket)
            self._dispatch(now)
            return
        self._in_flight -= 1
        if service_s:
            step = _SMOOTHING if self._mean_service_s else 1.0
            self._mean_service_s += step * (service_s - self._mean_service_s)
        if ticket is self._running_alone:
            self._running_alone = None
            self._alone_not_before = now + (now - self._blocked_since)
        self._on_released(ticket, service_s)
        self.expire(now)

    def expire(self, now: float) -> None:
        if now >= self._next_expiry:
            waiting = [*self._queued_tickets(), *self._alone_queue]
            for ticket in [t for t in waiting if self._latest_start(t) <= now]:
                self._dequeue(ticket)
                self._refuse(ticket, "No slot became free in time.")
            remaining = (*self._queued_tickets(), *self._alone_queue)
            self._next_expiry = min(
                map(self._latest_start, remaining), default=math.inf
            )
        self._dispatch(now)

    def refuse_all(self, refusal: NotRun) -> None:
        for ticket in [*self._queued_tickets(), *self._alone_queue]:
            self._dequeue(ticket)
            ticket.refusal = refusal
            ticket.on_decided()

    def _has_free_slot(self) -> bool:
        return self._running_alone is None and self._in_flight < self.slots

    def _dispatch(self, now: float) -> None:
        """Admits queued tickets while there are slots for them."""
        if self._running_alone is not None:
            return
        if self._alone_queue and self._is_alone_due(now):
            self._start_alone(now)
            return
        max_in_flight = self.slots
        if now >= self._overcommit_after:
            max_in_flight = self._max_in_flight
        while self._in_flight < max_in_flight and self._queue_length():
            ticket = self._pop(now)
            if ticket is None:
                return
            self._admit(ticket)
            ticket.on_decided()

    def _offer_alone(self, ticket: Ticket, now: float) -> None:
        if not self.slots or len(self._alone_queue) >= MAX_ALONE_QUEUED:
            ticket.refusal = NotRun(
                ResultCode.QUARANTINED,
                "Too many requests are queued to run alone.",
                max(MIN_RETRY_AFTER_S, self._mean_service_s * MAX_ALONE_QUEUED),
            )
            return
        if not self._in_flight and not self.queued:
            self._running_alone = ticket
            self._blocked_since = now
            self._admit(ticket)
            return
        if not self._alone_queue:
            self._blocked_since = max(now, self._alone_not_before)
        self._alone_queue.append(ticket)
        self._next_expiry = min(self._next_expiry, self._latest_start(ticket))
        self._dispatch(now)

    def _is_alone_due(self, now: float) -> bool:
        """Returns whether the next ticket that must run alone may block others.

        It may at once if there are no others.
        """
        is_idle = not self._in_flight and not self._queue_length()
        return is_idle or now >= self._alone_not_before

    def _start_alone(self, now: float) -> None:
        """Starts the next ticket that must run alone if the server is idle."""
        if self._in_flight:
            return
        ticket = self._alone_queue.popleft()
        self._blocked_since = min(
            now, max(self._blocked_since, self._alone_not_before)
        )
        self._running_alone = ticket
        self._admit(ticket)
        ticket.on_decided()

    def _admit(self, ticket: Ticket) -> None:
        ticket.is_admitted = True
        self._in_flight += 1
        self._on_admitted(ticket)

    def _dequeue(self, ticket: Ticket) -> None:
        if ticket.must_run_alone:
            self._alone_queue.remove(ticket)
        else:
            self._remove(ticket)

    def _latest_start(self, ticket: Ticket) -> float:
        """Returns the latest time at which `ticket` may start (monotonic s).

        A request that starts too late to end by its deadline only occupies a
        slot.
        """
        run_s = max(
            _RUN_TIME_MARGIN * self._expected_run_s(ticket), ticket.likely_s
        )
        latest = ticket.deadline - run_s
        return min(latest, ticket.offered_at + self._limits.max_queue_wait_s)

    def _expected_run_s(self, ticket: Ticket) -> float:
        """Returns the expected run time of `ticket` (s)."""
        return self._mean_service_s

    def _early_refusal(self, ticket: Ticket, now: float) -> NotRun | None:
        """Returns the refusal of a new `ticket` that would start too late."""
        if not self.slots:
            return self._make_refusal(ticket, "The target has no slots.")
        if now + self._expected_wait_s(ticket) >= self._latest_start(ticket):
            return self._make_refusal(
                ticket, "No slot is expected to become free in time."
            )
        return None

    def _make_refusal(self, ticket: Ticket, detail: str) -> NotRun:
        retry_after_s = max(MIN_RETRY_AFTER_S, self._expected_wait_s(ticket))
        return NotRun(ResultCode.OVERLOADED, detail, round(retry_after_s, 3))

    def _refuse(self, ticket: Ticket, detail: str) -> None:
        ticket.refusal = self._make_refusal(ticket, detail)
        ticket.on_decided()

    @abc.abstractmethod
    def _queue_length(self) -> int:
        """Returns the number of queued tickets that may run with others."""

    @abc.abstractmethod
    def _queued_tickets(self) -> Iterable[Ticket]:
        """Returns the queued tickets that may run with others."""

    @abc.abstractmethod
    def _push(self, ticket: Ticket) -> None:
        """Adds `ticket` to the queue."""

    @abc.abstractmethod
    def _pop(self, now: float) -> Ticket | None:
        """Removes and returns the next ticket; `None` if none may start."""

    @abc.abstractmethod
    def _remove(self, ticket: Ticket) -> None:
        """Removes `ticket` from the queue."""

    @abc.abstractmethod
    def _expected_wait_s(self, ticket: Ticket) -> float:
        """Returns the expected wait of a new ticket (s)."""

    def _may_start(self, ticket: Ticket, now: float) -> bool:
        """Returns whether `ticket` may start now if a slot is free."""
        return True

    def _select_eviction(self, ticket: Ticket) -> Ticket:
        """Returns the ticket to refuse if the queue is full for `ticket`."""
        return ticket

    def _on_admitted(self, ticket: Ticket) -> None:
        """Accounts for a `ticket` that was given a slot."""

    def _on_released(self, ticket: Ticket, service_s: float) -> None:
        """Accounts for an admitted `ticket` that ran for `service_s` (s)."""
