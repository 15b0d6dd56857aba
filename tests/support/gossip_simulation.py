"""Discrete-event simulation of many gossip state machines in one process.

Messages are delivered at the interface of the state machine, with a latency,
and nodes can crash, pause or be partitioned. There are no sockets, and time is
virtual.
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
    """Returns the record that the node `number` advertises at its start."""
    return MemberRecord(
        f"target-{number:05}",
        f"service-{number // 8}",
        f"domain-{number % 7}",
        f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8081",
        incarnation,
    )


class GossipSimulation:
    """Numbered nodes in a network that can be partitioned.

    Attributes:
      options: options of all nodes.
      rng: random source from which the nodes are seeded.
      latency_s: one-way latency of a message (s).
      encode_messages: whether messages are encoded and decoded in transit.
      now: virtual time (s).
      nodes: the running nodes, by number.
      paused: numbers of the paused nodes.
      partitions: partition of each node, by number; 0 by default. Only nodes
        in the same partition reach each other.
      messages: number of messages and replies sent.
      bytes: encoded size of these, if messages are encoded (bytes).
    """

    def __init__(
        self,
        options: GossipOptions | None = None,
        seed: int = 1,
        latency_s: float = 0.001,
        encode_messages: bool = False,
    ) -> None:
        self.options = options or GossipOptions()
        self.rng = random.Random(seed)
        self.latency_s = latency_s
        self.encode_messages = encode_messages
        self.now = 0.0
        self.nodes: dict[int, Gossip] = {}
        self.paused: set[int] = set()
        self.partitions: dict[int, int] = {}
        self.messages = 0
        self.bytes = 0
        self._number_by_address: dict[Address, int] = {}
        self._events: list[tuple[float, int, Handler]] = []
        self._sequence = itertools.count()
        self._wake_times: dict[int, float] = {}
        self._deferred: dict[int, list[Handler]] = {}

    def start_node(self, number: int, incarnation: int = 1_000) -> Gossip:
        """Starts a node."""
        own = member_record(number, incarnation)
        rng = random.Random(self.rng.random())
        node = Gossip(own, self.options, rng, self.now)
        self.nodes[number] = node
        self._number_by_address[Address.parse(own.address)] = number
        self._wake_times.pop(number, None)
        self._schedule_tick(number)
        return node

    def start_known_nodes(self, count: int) -> None:
        """Starts `count` nodes that already know each other."""
        for number in range(count):
            self.start_node(number)
        records = [member_record(number) for number in range(count)]
        for node in self.nodes.values():
            for record in records:
                node.table.merge_member(record)
        self.discard_pending_updates()

    def discard_pending_updates(self) -> None:
        """Keeps nodes that know each other from disseminating their start."""
        for node in self.nodes.values():
            for record in node.table.members.values():
                node._dissemination.discard(record.name)

    def join(self, number: int, contacts: Iterable[int]) -> None:
        """Lets a node join by the nodes `contacts`."""
        addresses = tuple(
            Address.parse(member_record(n).address) for n in contacts
        )
        self.send(number, self.nodes[number].join(addresses, self.now))

    def crash(self, number: int) -> None:
        """Ends a node without notice to its peers."""
        del self.nodes[number]
        self._wake_times.pop(number, None)

    def pause(self, number: int) -> None:
        """Pauses a node, as SIGSTOP does."""
        self.paused.add(number)

    def resume(self, number: int) -> None:
        """Resumes a paused node and runs what it deferred."""
        self.paused.discard(number)
        for handler in self._deferred.pop(number, ()):
            handler()
        self._wake_times.pop(number, None)
        self._schedule_tick(number)

    def send(self, number: int, messages: Iterable[OutgoingMessage]) -> None:
        """Sends messages of a node."""
        for outgoing in messages:
            self._send(number, outgoing)
        self._schedule_tick(number)

    def run_for(self, duration_s: float) -> None:
        """Advances virtual time by `duration_s` (s)."""
        self.run_until(lambda: False, duration_s)

    def run_until(
        self, condition: Callable[[], bool], limit_s: float, step_s: float = 0.1
    ) -> float | None:
        """Advances virtual time until `condition` holds.

        Args:
          condition: checked every `step_s`.
          limit_s: how long to run at most (s).
          step_s: time between checks (s).

        Returns:
          The time passed (s); `None` if `condition` didn't hold in time.
        """
        start = self.now
        end = start + limit_s
        next_check = start
        while self._events and self._events[0][0] <= end:
            if self._events[0][0] >= next_check:
                if condition():
                    return next_check - start
                next_check += step_s
                continue
            self.now, _, handler = heapq.heappop(self._events)
            handler()
        self.now = end
        return limit_s if condition() else None

    def count_nodes_holding(
        self, number: int, predicate: Callable[[MemberRecord], bool]
    ) -> int:
        """Counts the nodes whose record of node `number` meets `predicate`."""
        name = member_record(number).name
        records = (n.table.members.get(name) for n in self.nodes.values())
        return sum(
            record is not None and predicate(record) for record in records
        )

    def schedule(self, time_s: float, handler: Handler) -> None:
        """Runs `handler` at the virtual time `time_s`."""
        heapq.heappush(self._events, (time_s, next(self._sequence), handler))

    def _can_reach(self, a: int, b: int) -> bool:
        return self.partitions.get(a, 0) == self.partitions.get(b, 0)

    def _schedule_tick(self, number: int) -> None:
        node = self.nodes.get(number)
        if node is None or number in self.paused:
            return
        due = max(self.now, node.next_due())
        wake_time = self._wake_times.get(number)
        if wake_time is not None and self.now <= wake_time <= due:
            return
        self._wake_times[number] = due
        self.schedule(due, lambda: self._tick(number, node, due))

    def _tick(self, number: int, node: Gossip, due: float) -> None:
        if self.nodes.get(number) is not node or number in self.paused:
            return
        if self._wake_times.get(number) != due:
            return
        del self._wake_times[number]
        self.send(number, node.tick(self.now))

    def _transmit(self, message: Message) -> Message:
        self.messages += 1
        if not self.encode_messages:
            return message
        data = encode_message(message)
        self.bytes += len(data)
        return decode_message(data)

    def _send(self, number: int, outgoing: OutgoingMessage) -> None:
        node = self.nodes[number]
        other = self._number_by_address.get(outgoing.address)

        def report_failure() -> None:
            if self.nodes.get(number) is node:
                self.send(number, node.handle_failure(outgoing, self.now))

        if other is None or not self._can_reach(number, other):
            self._run_later(number, outgoing.timeout_s, report_failure)
            return
        message = self._transmit(outgoing.message)

        def deliver() -> None:
            if other not in self.nodes:
                self._run_later(number, self.latency_s, report_failure)
            elif other in self.paused:
                self._run_later(number, outgoing.timeout_s, report_failure)
            else:
                self._deliver(number, other, outgoing, message)

        self.schedule(self.now + self.latency_s, deliver)

    def _deliver(
        self,
        number: int,
        other: int,
        outgoing: OutgoingMessage,
        message: Message,
    ) -> None:
        node = self.nodes.get(number)
        reply, messages = self.nodes[other].receive(message, self.now)
        reply = self._transmit(reply)
        self.send(other, messages)

        def deliver_reply() -> None:
            if node is not None and self.nodes.get(number) is node:
                self.send(number, node.handle_reply(outgoing, reply, self.now))

        self._run_later(number, self.latency_s, deliver_reply)

    def _run_later(self, number: int, delay_s: float, handler: Handler) -> None:
        """Runs `handler` after `delay_s`, or when the node is resumed."""

        def run() -> None:
            if number in self.paused:
                self._deferred.setdefault(number, []).append(handler)
            else:
                handler()

        self.schedule(self.now + delay_s, run)
