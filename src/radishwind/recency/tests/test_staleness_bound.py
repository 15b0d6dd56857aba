"""No order of events lets a key run beyond the bound."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from radishwind.http.types import Address
from radishwind.recency import FreshnessProof
from radishwind.recency import ProofSchedule
from radishwind.recency import ProvenFreshness
from radishwind.recency.exchange import Exchange

BOUND_S = 5.0
TIMES = ProofSchedule(BOUND_S)
COUNT = 3

#: How far clocks run apart at most (ratio).
RATES = (0.9995, 1.0, 1.0005)


class Node:
    """One node with a clock of its own, and what is on its way to it."""

    def __init__(self, play, number, rate, seed):
        self.play, self.rate = play, rate
        self.address = Address(f"n{number}", 1)
        self.offset_s = 1000.0 * number
        self.inbox = []
        self.reads = []
        self.seed = seed
        self.start()

    def start(self):
        self.version = 0
        self.reads.clear()
        self.proof = ProvenFreshness(
            TIMES, lambda: self.version, random.Random(self.seed)
        )
        self.seed += 1
        self.exchange = Exchange(
            rng=random.Random(self.seed),
            send=lambda data, to: self.play.send(self, data, to),
            newest=self.proof.newest,
            helps_below_s=TIMES.relay_at_s,
            kept_s=BOUND_S,
        )

    def now(self):
        return self.offset_s + self.play.time_s * self.rate

    def take(self, proof):
        if proof is not None and self.proof.take(proof):
            self.exchange.improved(self.now())


class Play:
    """A store whose versions each take a key away, and the nodes."""

    def __init__(self, rates):
        self.time_s = 0.0
        self.acked_at = [0.0]
        self.nodes = [Node(self, n, r, 10 * n) for n, r in enumerate(rates)]

    def send(self, sender, data, to):
        for node in self.nodes:
            if node.address == to:
                node.inbox.append((sender, data))

    def do(self, event):
        name, number, other, size = event
        node = self.nodes[number]
        getattr(self, name)(node, self.nodes[other], size)
        for each in self.nodes:
            self.check(each)

    def passes(self, node, other, size):
        self.time_s += size

    def writes(self, node, other, size):
        self.acked_at.append(self.time_s)

    def asks_store(self, node, other, size):
        node.reads.append([node.now(), None])

    def store_answers(self, node, other, size):
        for read in node.reads:
            if read[1] is None:
                read[1] = len(self.acked_at) - 1

    def read_arrives(self, node, other, size):
        if node.reads and node.reads[-1][1] is not None:
            asked_at, version = node.reads.pop()
            # It may come without the configuration being fetched yet.
            if size < 1.0:
                node.version = max(node.version, version)
            node.take(FreshnessProof(asked_at, version))

    def asks_node(self, node, other, size):
        node.exchange.ask("x", other.address, node.now())

    def arrives(self, node, other, size):
        if not node.inbox:
            return
        at = int(size * 100) % len(node.inbox)
        sender, data = node.inbox.pop(at)
        told = node.exchange.received(data, sender.address, node.now())
        if told is not None:
            node.take(told[1])

    def comes_twice(self, node, other, size):
        if node.inbox:
            node.inbox.append(node.inbox[0])

    def is_lost(self, node, other, size):
        if node.inbox:
            node.inbox.pop(0)

    def fetches(self, node, other, size):
        node.version = max(node.version, other.version)

    def is_replaced(self, node, other, size):
        node.start()

    def reads(self, node, other, size):
        self.asks_store(node, other, size)
        self.store_answers(node, other, size)
        self.read_arrives(node, other, size)

    def hears(self, node, other, size):
        self.asks_node(node, other, size)
        self.takes_all(other, node, size)
        self.takes_all(node, other, size)

    def takes_all(self, node, other, size):
        while node.inbox:
            self.arrives(node, other, 0.0)

    def check(self, node):
        """The proof ends in time though nothing more reaches the node."""
        age_s = node.proof.age_s(node.now())
        stands_s = (TIMES.limit_s - age_s) / node.rate
        newer = self.acked_at[node.version + 1 :]
        if stands_s <= 0 or not newer:
            return
        assert node.proof.is_fresh(node.now())
        # The first version that this node lacks took a key away.
        assert self.time_s + stands_s <= newer[0] + BOUND_S


WHOLE = ["reads", "hears", "passes", "writes", "fetches"]
PARTS = [
    *("asks_store", "store_answers", "read_arrives"),
    *("asks_node", "arrives", "takes_all"),
    *("comes_twice", "is_lost", "is_replaced"),
]
EVENTS = st.tuples(
    st.one_of(st.sampled_from(WHOLE), st.sampled_from(PARTS)),
    st.integers(0, COUNT - 1),
    st.integers(0, COUNT - 1),
    st.sampled_from([0.0, 0.01, 0.3, 1.0, 2.4, 4.0, 4.98]),
)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(
    st.lists(st.sampled_from(RATES), min_size=COUNT, max_size=COUNT),
    st.lists(EVENTS, min_size=20, max_size=60),
)
def test_no_key_taken_away_runs_later_than_the_bound(rates, events):
    play = Play(rates)
    for event in events:
        play.do(event)


def test_the_play_does_get_proof_across_nodes():
    play = Play([1.0, 1.0, 1.0])
    for event in (
        ("asks_store", 0, 0, 0.0),
        ("store_answers", 0, 0, 0.0),
        ("read_arrives", 0, 0, 0.0),
        ("asks_node", 1, 0, 0.0),
        ("arrives", 0, 0, 0.0),
        ("arrives", 1, 0, 0.0),
        ("passes", 0, 0, 4.9),
    ):
        play.do(event)

    assert [n.proof.is_fresh(n.now()) for n in play.nodes] == [
        True,
        True,
        False,
    ]
