"""No order of events lets a revoked key be accepted beyond the bound."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from radishwind.http.types import Address
from radishwind.recency import FreshnessProof
from radishwind.recency import ProofSchedule
from radishwind.recency import ProvenFreshness
from radishwind.recency.proof_exchange import ProofExchange

BOUND_S = 5.0
SCHEDULE = ProofSchedule(BOUND_S)
NODE_COUNT = 3

#: Clock rates relative to the simulated time; the extremes differ the most.
CLOCK_RATES = (0.9995, 1.0, 1.0005)


class Node:
    """A node with a clock of its own, and the datagrams on their way to it."""

    def __init__(self, simulation, number, rate, seed):
        self.simulation, self.rate = simulation, rate
        self.address = Address(f"n{number}", 1)
        self.offset_s = 1000.0 * number
        self.inbox = []
        self.reads = []
        self.seed = seed
        self.start()

    def start(self):
        self.version = 0
        self.reads.clear()
        self.freshness = ProvenFreshness(
            SCHEDULE, lambda: self.version, random.Random(self.seed)
        )
        self.seed += 1
        self.exchange = ProofExchange(
            rng=random.Random(self.seed),
            send=lambda data, to: self.simulation.send(self, data, to),
            newest=self.freshness.newest,
            useful_below_s=SCHEDULE.relay_query_age_s,
            query_lifetime_s=BOUND_S,
        )

    def now(self):
        return self.offset_s + self.simulation.time_s * self.rate

    def accept(self, proof):
        if proof is not None and self.freshness.accept(proof):
            self.exchange.answer_waiting(self.now())


class Simulation:
    """A store each of whose versions revokes a key, and the nodes."""

    def __init__(self, rates):
        self.time_s = 0.0
        self.written_at = [0.0]
        self.nodes = [Node(self, n, r, 10 * n) for n, r in enumerate(rates)]

    def send(self, sender, data, to):
        for node in self.nodes:
            if node.address == to:
                node.inbox.append((sender, data))

    def apply(self, event):
        name, number, other, size = event
        node = self.nodes[number]
        getattr(self, name)(node, self.nodes[other], size)
        for each in self.nodes:
            self.check(each)

    def advance_time(self, node, other, size):
        self.time_s += size

    def write_version(self, node, other, size):
        self.written_at.append(self.time_s)

    def start_read(self, node, other, size):
        node.reads.append([node.now(), None])

    def answer_reads(self, node, other, size):
        for read in node.reads:
            if read[1] is None:
                read[1] = len(self.written_at) - 1

    def finish_read(self, node, other, size):
        if node.reads and node.reads[-1][1] is not None:
            started_at, version = node.reads.pop()
            # The proof may arrive before the configuration is fetched.
            if size < 1.0:
                node.version = max(node.version, version)
            node.accept(FreshnessProof(started_at, version))

    def send_query(self, node, other, size):
        node.exchange.query("x", other.address, node.now())

    def deliver(self, node, other, size):
        if not node.inbox:
            return
        index = int(size * 100) % len(node.inbox)
        sender, data = node.inbox.pop(index)
        reply = node.exchange.receive(data, sender.address, node.now())
        if reply is not None:
            node.accept(reply[1])

    def duplicate(self, node, other, size):
        if node.inbox:
            node.inbox.append(node.inbox[0])

    def lose(self, node, other, size):
        if node.inbox:
            node.inbox.pop(0)

    def fetch_version(self, node, other, size):
        node.version = max(node.version, other.version)

    def restart(self, node, other, size):
        node.start()

    def read_store(self, node, other, size):
        self.start_read(node, other, size)
        self.answer_reads(node, other, size)
        self.finish_read(node, other, size)

    def query_node(self, node, other, size):
        self.send_query(node, other, size)
        self.deliver_all(other, node, size)
        self.deliver_all(node, other, size)

    def deliver_all(self, node, other, size):
        while node.inbox:
            self.deliver(node, other, 0.0)

    def check(self, node):
        """Asserts that the proof expires in time without further messages."""
        age_s = node.freshness.age_s(node.now())
        remaining_s = (SCHEDULE.max_age_s - age_s) / node.rate
        newer = self.written_at[node.version + 1 :]
        if remaining_s <= 0 or not newer:
            return
        assert node.freshness.is_fresh(node.now())
        # The first version that this node lacks revoked a key.
        assert self.time_s + remaining_s <= newer[0] + BOUND_S


COMPLETE_EVENTS = [
    "read_store",
    "query_node",
    "advance_time",
    "write_version",
    "fetch_version",
]
PARTIAL_EVENTS = [
    *("start_read", "answer_reads", "finish_read"),
    *("send_query", "deliver", "deliver_all"),
    *("duplicate", "lose", "restart"),
]
EVENTS = st.tuples(
    st.one_of(
        st.sampled_from(COMPLETE_EVENTS), st.sampled_from(PARTIAL_EVENTS)
    ),
    st.integers(0, NODE_COUNT - 1),
    st.integers(0, NODE_COUNT - 1),
    st.sampled_from([0.0, 0.01, 0.3, 1.0, 2.4, 4.0, 4.98]),
)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(
    st.lists(
        st.sampled_from(CLOCK_RATES), min_size=NODE_COUNT, max_size=NODE_COUNT
    ),
    st.lists(EVENTS, min_size=20, max_size=60),
)
def test_no_revoked_key_is_accepted_beyond_the_bound(rates, events):
    simulation = Simulation(rates)
    for event in events:
        simulation.apply(event)


def test_simulation_passes_proofs_between_nodes():
    simulation = Simulation([1.0, 1.0, 1.0])
    for event in (
        ("start_read", 0, 0, 0.0),
        ("answer_reads", 0, 0, 0.0),
        ("finish_read", 0, 0, 0.0),
        ("send_query", 1, 0, 0.0),
        ("deliver", 0, 0, 0.0),
        ("deliver", 1, 0, 0.0),
        ("advance_time", 0, 0, 4.9),
    ):
        simulation.apply(event)

    assert [n.freshness.is_fresh(n.now()) for n in simulation.nodes] == [
        True,
        True,
        False,
    ]
