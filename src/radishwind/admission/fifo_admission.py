"""Admission in order of arrival, as a baseline for comparisons."""

import collections
from collections.abc import Iterable

from radishwind.admission.admission import AdmissionLimits
from radishwind.admission.admission import Ticket
from radishwind.admission.queueing_admission import QueueingAdmission


class FifoAdmission(QueueingAdmission):
    """Admits tickets in order of arrival, regardless of their caller."""

    def __init__(self, limits: AdmissionLimits | None = None) -> None:
        super().__init__(limits or AdmissionLimits())
        self._queue: collections.deque[Ticket] = collections.deque()

    def _queue_length(self) -> int:
        return len(self._queue)

    def _queued_tickets(self) -> Iterable[Ticket]:
        return self._queue

    def _push(self, ticket: Ticket) -> None:
        self._queue.append(ticket)

    def _pop(self, now: float) -> Ticket:
        return self._queue.popleft()

    def _remove(self, ticket: Ticket) -> None:
        self._queue.remove(ticket)

    def _expected_wait_s(self, ticket: Ticket) -> float:
        if not self.slots:
            return 0.0
        return (len(self._queue) + 1) * self._mean_service_s / self.slots
