"""Shares between callers by start-time fair queueing.

Start-time fair queueing (SFQ) serves flows, here callers, in the order of
start tags; with several slots it is SFQ(D), D being the slots. As in Hedayati
et al., "Multi-Queue Fair Queueing" (USENIX ATC 2019), section 2, a caller that
was away starts at the current virtual time, so it neither saves credit up nor
pays for slots that nobody else wanted. The cost of a request is the slot time
it took: it is charged by the caller's recent mean when it starts and set right
when it ends.
"""

import collections
from collections.abc import Iterable

import msgspec
import xxhash

from radishwind.admission.admission import AdmissionLimits
from radishwind.admission.admission import Ticket
from radishwind.admission.queueing_admission import QueueingAdmission

#: Callers told apart at one time.
MAX_CALLERS = 256

#: Flows that further callers share, by a hash of their name.
SHARED_FLOWS = 16

#: Cost charged before anything was measured (s).
_FIRST_COST_S = 0.005

#: The share that the newest request has in a caller's means.
_SMOOTHING = 0.2


class _Flow(msgspec.Struct, eq=False):
    """One caller's queue and tags.

    Attributes:
      name: the caller, or the name of a flow shared by several.
      weight: its share.
      start: start tag of its next ticket (weighted s).
      cost_s: recent mean slot time of its requests (s).
      queue: its waiting tickets.
      in_flight: slots it holds.
      popped: when its last ticket got a slot while more waited (monotonic, s).
      interval_s: recent time between such two (s); 0 before the first.
    """

    name: str
    weight: float
    start: float
    cost_s: float
    queue: collections.deque[Ticket] = msgspec.field(
        default_factory=collections.deque
    )
    in_flight: int = 0
    popped: float | None = None
    interval_s: float = 0.0


class _Charge(msgspec.Struct, frozen=True):
    """The flow of a ticket, and the cost it was charged (s)."""

    flow: _Flow
    cost_s: float = 0.0


class FairAdmission(QueueingAdmission):
    """Start-time fair queueing over a bounded number of callers."""

    def __init__(self, limits: AdmissionLimits | None = None) -> None:
        super().__init__(limits or AdmissionLimits())
        self._flows: dict[str, _Flow] = {}
        self._charges: dict[Ticket, _Charge] = {}
        # Tickets in all queues; asked several times a request.
        self._length = 0
        # Start tag of the ticket started last: the virtual time (weighted s).
        self._virtual = 0.0

    @property
    def callers(self) -> int:
        """Callers tracked at the moment."""
        return len(self._flows)

    def set_limits(self, limits: AdmissionLimits) -> None:
        super().set_limits(limits)
        for name, flow in self._flows.items():
            flow.weight = self._weight(name)

    def _waiting(self) -> int:
        return self._length

    def _tickets(self) -> Iterable[Ticket]:
        return [t for flow in self._flows.values() for t in flow.queue]

    def _push(self, ticket: Ticket) -> None:
        flow = self._flow(ticket.caller)
        if not flow.queue:
            flow.start = max(flow.start, self._virtual)
        flow.queue.append(ticket)
        self._charges[ticket] = _Charge(flow)
        self._length += 1

    def _pop(self, now: float) -> Ticket:
        flow = self._next_flow()
        self._length -= 1
        ticket = flow.queue.popleft()
        if flow.popped is not None:
            step = _SMOOTHING if flow.interval_s else 1.0
            flow.interval_s += step * (now - flow.popped - flow.interval_s)
        flow.popped = now if flow.queue else None
        return ticket

    def _next_flow(self) -> _Flow:
        backlogged = [f for f in self._flows.values() if f.queue]
        return min(backlogged, key=lambda f: f.start)

    def _remove(self, ticket: Ticket) -> None:
        flow = self._charges.pop(ticket).flow
        flow.queue.remove(ticket)
        self._length -= 1
        self._forget(flow)

    def _cost_s(self, ticket: Ticket) -> float:
        charge = self._charges.get(ticket)
        flow = charge.flow if charge else self._flows.get(ticket.caller)
        return flow.cost_s if flow else self._service_s

    def _wait_s(self, ticket: Ticket) -> float:
        """Returns the greater of what the queue and the recent past say.

        By the queue: while this caller gets its turns, another gets slot time
        by its share, but no more than it waits for. That leaves out callers
        whose requests come and go without waiting; so the time between this
        caller's recent turns counts as well.
        """
        if not self.slots:
            return 0.0
        name = self._name(ticket.caller)
        own = self._flows.get(name)
        if own is None or not own.queue:
            return self._queue_s(own, self._weight(name), self._service_s)
        by_queue = self._queue_s(own, own.weight, own.cost_s)
        return max(by_queue, (len(own.queue) + 1) * own.interval_s)

    def _queue_s(
        self, own: _Flow | None, weight: float, cost_s: float
    ) -> float:
        """Returns the wait for one more ticket, by what waits now (s)."""
        own_s = (len(own.queue) if own else 0) * cost_s
        turns_s = (own_s + cost_s) / weight
        waits_s = own_s + self._service_s
        for flow in self._flows.values():
            if flow is not own and flow.queue:
                asked_s = len(flow.queue) * flow.cost_s
                waits_s += min(asked_s, turns_s * flow.weight)
        return waits_s / self.slots

    def _victim(self, ticket: Ticket) -> Ticket:
        """Returns the newest ticket of who has most waiting for its share."""
        name = self._name(ticket.caller)
        own = self._flows.get(name)
        own_queued = len(own.queue) if own else 0
        longest = max(
            self._flows.values(),
            key=lambda f: len(f.queue) / f.weight,
            default=None,
        )
        if longest is None or not longest.queue:
            return ticket
        mine = (own_queued + 1) / self._weight(name)
        if len(longest.queue) / longest.weight <= mine:
            return ticket
        return longest.queue[-1]

    def _charge(self, ticket: Ticket) -> None:
        waited = self._charges.get(ticket)
        flow = waited.flow if waited else self._flow(ticket.caller)
        start = max(flow.start, self._virtual)
        self._virtual = start
        flow.start = start + flow.cost_s / flow.weight
        flow.in_flight += 1
        self._charges[ticket] = _Charge(flow, flow.cost_s)

    def _settle(self, ticket: Ticket, service_s: float) -> None:
        charge = self._charges.pop(ticket)
        flow = charge.flow
        flow.in_flight -= 1
        flow.start += (service_s - charge.cost_s) / flow.weight
        if service_s:
            flow.cost_s += _SMOOTHING * (service_s - flow.cost_s)
        self._forget(flow)

    def _flow(self, caller: str) -> _Flow:
        name = self._name(caller)
        flow = self._flows.get(name)
        if flow is None:
            cost_s = self._service_s or _FIRST_COST_S
            flow = _Flow(name, self._weight(name), self._virtual, cost_s)
            self._flows[name] = flow
        return flow

    def _name(self, caller: str) -> str:
        """Returns the flow of `caller`; late comers share a few."""
        if caller in self._flows:
            return caller
        if len(self._flows) >= MAX_CALLERS:
            self._sweep()
        if len(self._flows) < MAX_CALLERS:
            return caller
        shared = xxhash.xxh32_intdigest(caller.encode()) % SHARED_FLOWS
        return f"\0{shared}"

    def _weight(self, name: str) -> float:
        return self._limits.caller_weights.get(name, 1.0)

    def _forget(self, flow: _Flow) -> None:
        """Drops `flow` if it owes nothing; all once nothing runs or waits."""
        if not self._charges:
            self._flows.clear()
            self._virtual = 0.0
            return
        if self._owes_nothing(flow):
            del self._flows[flow.name]

    def _owes_nothing(self, flow: _Flow) -> bool:
        if flow.queue or flow.in_flight:
            return False
        return flow.start <= self._virtual

    def _sweep(self) -> None:
        """Drops the callers that owe nothing more."""
        for flow in list(self._flows.values()):
            if self._owes_nothing(flow):
                del self._flows[flow.name]
