"""Admission by start-time fair queueing between callers.

Start-time fair queueing (SFQ) serves flows, here callers, in the order of their
start tags; with several slots it is SFQ(D), where D is the number of slots. As
in Hedayati et al., "Multi-Queue Fair Queueing" (USENIX ATC 2019), section 2, a
caller that was idle starts at the current virtual time, so that it neither
saves up credit nor pays for slots that no other caller wanted. The cost of a
request is the slot time that it used: when it starts, its caller is charged the
mean of its recent requests, and when it ends the charge is corrected.
"""

import collections
from collections.abc import Iterable

import msgspec
import xxhash

from radishwind.admission.admission import AdmissionLimits
from radishwind.admission.admission import Ticket
from radishwind.admission.queueing_admission import QueueingAdmission

#: Maximum number of callers with a flow of their own.
MAX_CALLERS = 256

#: Flows that further callers share, by the hash of their name.
SHARED_FLOWS = 16

#: Cost charged before any request was measured (s).
_INITIAL_COST_S = 0.005

#: Weight of the latest request in the means of a caller.
_SMOOTHING = 0.2


class _Flow(msgspec.Struct, eq=False):
    """The queue and the tags of one caller, or of several that share a flow.

    Attributes:
      name: name of the caller, or of the shared flow.
      weight: its share of the slot time, relative to other flows.
      start_tag: start tag of its next ticket (weighted s).
      mean_cost_s: mean slot time of its recent requests (s).
      queue: its queued tickets.
      in_flight: slots that it occupies.
      last_backlogged_start: when its last ticket was given a slot, if others
        stayed in its queue (monotonic s); `None` otherwise.
      start_interval_s: mean recent time between the starts of two tickets while
        others stayed in its queue (s); 0 before the first two.
    """

    name: str
    weight: float
    start_tag: float
    mean_cost_s: float
    queue: collections.deque[Ticket] = msgspec.field(
        default_factory=collections.deque
    )
    in_flight: int = 0
    last_backlogged_start: float | None = None
    start_interval_s: float = 0.0


class _Charge(msgspec.Struct, frozen=True):
    """The flow of a ticket and the cost that the flow was charged (s)."""

    flow: _Flow
    cost_s: float = 0.0


class FairAdmission(QueueingAdmission):
    """Admits tickets by start-time fair queueing between callers."""

    def __init__(self, limits: AdmissionLimits | None = None) -> None:
        super().__init__(limits or AdmissionLimits())
        self._flows: dict[str, _Flow] = {}
        self._charges: dict[Ticket, _Charge] = {}
        # Tickets in all queues; kept, as it is read several times per request.
        self._length = 0
        # Virtual time: start tag of the ticket started last (weighted s).
        self._virtual_time = 0.0

    @property
    def callers(self) -> int:
        """Number of callers and shared flows that are tracked."""
        return len(self._flows)

    def set_limits(self, limits: AdmissionLimits) -> None:
        super().set_limits(limits)
        for name, flow in self._flows.items():
            flow.weight = self._weight(name)

    def _queue_length(self) -> int:
        return self._length

    def _queued_tickets(self) -> Iterable[Ticket]:
        return [t for flow in self._flows.values() for t in flow.queue]

    def _push(self, ticket: Ticket) -> None:
        flow = self._flow(ticket.caller)
        if not flow.queue:
            flow.start_tag = max(flow.start_tag, self._virtual_time)
        flow.queue.append(ticket)
        self._charges[ticket] = _Charge(flow)
        self._length += 1

    def _pop(self, now: float) -> Ticket:
        flow = self._next_flow()
        self._length -= 1
        ticket = flow.queue.popleft()
        if flow.last_backlogged_start is not None:
            step = _SMOOTHING if flow.start_interval_s else 1.0
            flow.start_interval_s += step * (
                now - flow.last_backlogged_start - flow.start_interval_s
            )
        flow.last_backlogged_start = now if flow.queue else None
        return ticket

    def _next_flow(self) -> _Flow:
        backlogged = [f for f in self._flows.values() if f.queue]
        return min(backlogged, key=lambda f: f.start_tag)

    def _remove(self, ticket: Ticket) -> None:
        flow = self._charges.pop(ticket).flow
        flow.queue.remove(ticket)
        self._length -= 1
        self._remove_if_idle(flow)

    def _expected_run_s(self, ticket: Ticket) -> float:
        charge = self._charges.get(ticket)
        flow = charge.flow if charge else self._flows.get(ticket.caller)
        return flow.mean_cost_s if flow else self._mean_service_s

    def _expected_wait_s(self, ticket: Ticket) -> float:
        """Returns the greater of two estimates of the wait of a new ticket (s).

        The first is by the queues: until this caller's tickets have started,
        each other caller uses slot time by its weight, but no more than its
        queued tickets need. It ignores callers whose requests run without being
        queued. The second therefore is by the recent time between the starts
        of this caller's tickets.
        """
        if not self.slots:
            return 0.0
        name = self._flow_name(ticket.caller)
        own = self._flows.get(name)
        if own is None or not own.queue:
            return self._wait_by_queues_s(
                own, self._weight(name), self._mean_service_s
            )
        by_queues_s = self._wait_by_queues_s(own, own.weight, own.mean_cost_s)
        return max(by_queues_s, (len(own.queue) + 1) * own.start_interval_s)

    def _wait_by_queues_s(
        self, own: _Flow | None, weight: float, cost_s: float
    ) -> float:
        """Returns the wait of one more ticket by the tickets queued now (s)."""
        own_s = (len(own.queue) if own else 0) * cost_s
        weighted_s = (own_s + cost_s) / weight
        wait_s = own_s + self._mean_service_s
        for flow in self._flows.values():
            if flow is not own and flow.queue:
                demand_s = len(flow.queue) * flow.mean_cost_s
                wait_s += min(demand_s, weighted_s * flow.weight)
        return wait_s / self.slots

    def _select_eviction(self, ticket: Ticket) -> Ticket:
        """Returns the newest ticket of the longest queue for its weight."""
        name = self._flow_name(ticket.caller)
        own = self._flows.get(name)
        own_queued = len(own.queue) if own else 0
        longest = max(
            self._flows.values(),
            key=lambda f: len(f.queue) / f.weight,
            default=None,
        )
        if longest is None or not longest.queue:
            return ticket
        own_length = (own_queued + 1) / self._weight(name)
        if len(longest.queue) / longest.weight <= own_length:
            return ticket
        return longest.queue[-1]

    def _on_admitted(self, ticket: Ticket) -> None:
        queued = self._charges.get(ticket)
        flow = queued.flow if queued else self._flow(ticket.caller)
        start = max(flow.start_tag, self._virtual_time)
        self._virtual_time = start
        flow.start_tag = start + flow.mean_cost_s / flow.weight
        flow.in_flight += 1
        self._charges[ticket] = _Charge(flow, flow.mean_cost_s)

    def _on_released(self, ticket: Ticket, service_s: float) -> None:
        charge = self._charges.pop(ticket)
        flow = charge.flow
        flow.in_flight -= 1
        flow.start_tag += (service_s - charge.cost_s) / flow.weight
        if service_s:
            flow.mean_cost_s += _SMOOTHING * (service_s - flow.mean_cost_s)
        self._remove_if_idle(flow)

    def _flow(self, caller: str) -> _Flow:
        name = self._flow_name(caller)
        flow = self._flows.get(name)
        if flow is None:
            cost_s = self._mean_service_s or _INITIAL_COST_S
            flow = _Flow(name, self._weight(name), self._virtual_time, cost_s)
            self._flows[name] = flow
        return flow

    def _flow_name(self, caller: str) -> str:
        """Returns the name of the flow of `caller`.

        Beyond `MAX_CALLERS`, callers share `SHARED_FLOWS` flows.
        """
        if caller in self._flows:
            return caller
        if len(self._flows) >= MAX_CALLERS:
            self._remove_idle()
        if len(self._flows) < MAX_CALLERS:
            return caller
        number = xxhash.xxh32_intdigest(caller.encode()) % SHARED_FLOWS
        return f"\0{number}"

    def _weight(self, name: str) -> float:
        return self._limits.caller_weights.get(name, 1.0)

    def _remove_if_idle(self, flow: _Flow) -> None:
        """Removes `flow` if it has no tickets and owes no slot time.

        Removes all flows once no ticket runs or is queued.
        """
        if not self._charges:
            self._flows.clear()
            self._virtual_time = 0.0
            return
        if self._is_idle(flow):
            del self._flows[flow.name]

    def _is_idle(self, flow: _Flow) -> bool:
        """Returns whether `flow` has no tickets and owes no slot time."""
        if flow.queue or flow.in_flight:
            return False
        return flow.start_tag <= self._virtual_time

    def _remove_idle(self) -> None:
        """Removes all flows that have no tickets and owe no slot time."""
        for flow in list(self._flows.values()):
            if self._is_idle(flow):
                del self._flows[flow.name]
