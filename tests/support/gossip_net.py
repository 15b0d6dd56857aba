"""Many gossip state machines in one process, on a clock of its own.

It hands calls over at the machine's interface, with a latency, and makes the
faults named here; there are no sockets and no real time.
"""

from collections.abc import Callable
from collections.abc import Iterable
import heapq
import itertools
import random

from radishwind.http import Address
from radishwind.membership import Gossip
from radishwind.membership import GossipOptions
from radishwind.membership import MemberRecord
from radishwind.membership.messages import decode_message
from radishwind.membership.messages import encode_message
from radishwind.membership.messages import Message
from radishwind.membership.outgoing_message import OutgoingMessage

Handler = Callable[[], None]


def member_record(number: int, incarnation: int = 1_000) -> MemberRecord:
    """Returns what the node `number` says of itself at its start."""
    return MemberRecord(
        f"target-{number:05}",
        f"service-{number // 8}",
        f"domain-{number % 7}",
        f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8081",
        incarnation,
    )


class GossipNet:
    """Nodes by number, joined by a network that can be cut."""

    def __init__(
        self,
        options: GossipOptions | None = None,
        seed: int = 1,
        latency_s: float = 0.001,
        coded: bool = False,
    ) -> None:
        self.options = options or GossipOptions()
        self.rng = random.Random(seed)
        self.latency_s = latency_s
        self.coded = coded
        self.now = 0.0
        self.nodes: dict[int, Gossip] = {}
        self.paused: set[int] = set()
        self.side: dict[int, int] = {}
        self.messages = 0
        self.bytes = 0
        self._numbers: dict[Address, int] = {}
        self._events: list[tuple[float, int, Handler]] = []
        self._count = itertools.count()
        self._wakes: dict[int, float] = {}
        self._held: dict[int, list[Handler]] = {}

    def add(self, number: int, incarnation: int = 1_000) -> Gossip:
        """Starts a node."""
        own = member_record(number, incarnation)
        rng = random.Random(self.rng.random())
        node = Gossip(own, self.options, rng, self.now)
        self.nodes[number] = node
        self._numbers[Address.parse(own.address)] = number
        self._wakes.pop(number, None)
        self._schedule(number)
        return node

    def fill(self, count: int) -> None:
        """Starts `count` nodes that know each other already."""
        for number in range(count):
            self.add(number)
        facts = [member_record(number) for number in range(count)]
        for node in self.nodes.values():
            for fact in facts:
                node.table.merge_member(fact)
        self.discard_pending_updates()

    def discard_pending_updates(self) -> None:
        """Lets nodes that know each other not tell of their start."""
        for node in self.nodes.values():
            for fact in node.table.members.values():
                node._dissemination.discard(fact.name)

    def join(self, number: int, contacts: Iterable[int]) -> None:
        """Lets a node find first peers."""
        known = tuple(Address.parse(member_record(n).address) for n in contacts)
        self.send(number, self.nodes[number].join(known, self.now))

    def kill(self, number: int) -> None:
        """Ends a node without a word."""
        del self.nodes[number]
        self._wakes.pop(number, None)

    def pause(self, number: int) -> None:
        """Stops a node as SIGSTOP does."""
        self.paused.add(number)

    def resume(self, number: int) -> None:
        """Lets a paused node go on."""
        self.paused.discard(number)
        for handler in self._held.pop(number, ()):
            handler()
        self._wakes.pop(number, None)
        self._schedule(number)

    def send(self, number: int, calls: Iterable[OutgoingMessage]) -> None:
        """Sends the calls of a node."""
        for call in calls:
            self._send(number, call)
        self._schedule(number)

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        self.run_until(lambda: False, seconds)

    def run_until(
        self, condition: Callable[[], bool], limit_s: float, step_s: float = 0.1
    ) -> float | None:
        """Returns the time passed until `condition` held, if it did."""
        began = self.now
        end = began + limit_s
        check = began
        while self._events and self._events[0][0] <= end:
            if self._events[0][0] >= check:
                if condition():
                    return check - began
                check += step_s
                continue
            self.now, _, handler = heapq.heappop(self._events)
            handler()
        self.now = end
        return limit_s if condition() else None

    def count_holding(
        self, number: int, test: Callable[[MemberRecord], bool]
    ) -> int:
        """Returns how many nodes hold a fact on `number` that passes."""
        name = member_record(number).name
        facts = (n.table.members.get(name) for n in self.nodes.values())
        return sum(fact is not None and test(fact) for fact in facts)

    def at(self, when: float, handler: Handler) -> None:
        """Runs `handler` at a time."""
        heapq.heappush(self._events, (when, next(self._count), handler))

    def _reaches(self, a: int, b: int) -> bool:
        return self.side.get(a, 0) == self.side.get(b, 0)

    def _schedule(self, number: int) -> None:
        node = self.nodes.get(number)
        if node is None or number in self.paused:
            return
        due = max(self.now, node.next_due())
        wake = self._wakes.get(number)
        if wake is not None and self.now <= wake <= due:
            return
        self._wakes[number] = due
        self.at(due, lambda: self._tick(number, node, due))

    def _tick(self, number: int, node: Gossip, due: float) -> None:
        if self.nodes.get(number) is not node or number in self.paused:
            return
        if self._wakes.get(number) != due:
            return
        del self._wakes[number]
        self.send(number, node.tick(self.now))

    def _on_wire(self, message: Message) -> Message:
        self.messages += 1
        if not self.coded:
            return message
        data = encode_message(message)
        self.bytes += len(data)
        return decode_message(data)

    def _send(self, number: int, call: OutgoingMessage) -> None:
        node = self.nodes[number]
        other = self._numbers.get(call.address)

        def fail() -> None:
            if self.nodes.get(number) is node:
                self.send(number, node.handle_failure(call, self.now))

        if other is None or not self._reaches(number, other):
            self._later(number, call.timeout_s, fail)
            return
        message = self._on_wire(call.message)

        def arrive() -> None:
            if other not in self.nodes:
                self._later(number, self.latency_s, fail)
            elif other in self.paused:
                self._later(number, call.timeout_s, fail)
            else:
                self._deliver(number, other, call, message)

        self.at(self.now + self.latency_s, arrive)

    def _deliver(
        self, number: int, other: int, call: OutgoingMessage, message: Message
    ) -> None:
        node = self.nodes.get(number)
        answer, calls = self.nodes[other].receive(message, self.now)
        answer = self._on_wire(answer)
        self.send(other, calls)

        def back() -> None:
            if node is not None and self.nodes.get(number) is node:
                self.send(number, node.handle_reply(call, answer, self.now))

        self._later(number, self.latency_s, back)

    def _later(self, number: int, delay_s: float, handler: Handler) -> None:
        """Runs `handler` at node `number`, once that is not paused."""

        def run() -> None:
            if number in self.paused:
                self._held.setdefault(number, []).append(handler)
            else:
                handler()

        self.at(self.now + delay_s, run)
