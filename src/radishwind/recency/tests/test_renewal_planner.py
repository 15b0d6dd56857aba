"""When a node queries others, and when it reads the store."""

import random

import pytest

from radishwind.http.types import Address
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.recency import FreshnessProof
from radishwind.recency import ProofSchedule
from radishwind.recency import ProvenFreshness
from radishwind.recency.renewal_planner import RenewalPlanner
from radishwind.recency.source_selector import SourceSelector

SCHEDULE = ProofSchedule(5.0)
NAMES = [f"{domain}-{number}" for domain in "abcd" for number in range(10)]


class FixedDirectory(Directory):
    def __init__(self, names):
        self._members = tuple(
            Member(name, "s", name[0], Address(name, 1)) for name in names
        )

    def eligible_members(self, service):
        return self._members

    def members(self):
        return self._members


class Node:
    """A node at a position in the order, whose proof has a given age."""

    def __init__(self, position, names=NAMES):
        directory = FixedDirectory(names)
        by_position = {
            SourceSelector(n, n[0], directory, random.Random(1))
            .select()
            .position: n
            for n in names
        }
        name = by_position[position]
        rng = random.Random(1)
        self.now = 100.0
        self.freshness = ProvenFreshness(SCHEDULE, lambda: 7, rng)
        self.planner = RenewalPlanner(
            schedule=SCHEDULE,
            freshness=self.freshness,
            selector=SourceSelector(name, name[0], directory, rng),
            rng=rng,
            now=self.now,
            first_wait_s=0.15,
        )
        self.now += 1.0

    def plan(self, age_s=None):
        if age_s is not None:
            self.freshness = self.freshness.__class__(
                SCHEDULE, lambda: 7, random.Random(1)
            )
            self.freshness.accept(FreshnessProof(self.now - age_s, 7))
            self.planner._freshness = self.freshness
        return self.planner.plan(self.now)


@pytest.mark.parametrize(
    ("position", "age_s", "reads"),
    [
        (0, 1.4, False),
        (0, 1.5, True),
        (1, 2.0, False),
        (1, 2.25, True),
        (5, 2.7, False),
        (5, 2.75, True),
        (39, 4.2, False),
        (39, 4.25, True),
    ],
)
def test_nodes_read_the_store_in_their_order(position, age_s, reads):
    assert Node(position).plan(age_s).reads_store is reads


@pytest.mark.parametrize(
    ("position", "age_s", "query_count"),
    [
        (0, 1.9, 0),
        (0, 2.0, 1),
        (20, 2.4, 0),
        (20, 2.5, 1),
        (20, 3.5, 3),
        (20, 6.0, 3),
    ],
)
def test_relays_query_first_and_urgent_nodes_query_several(
    position, age_s, query_count
):
    assert len(Node(position).plan(age_s).queries) == query_count


def test_planner_waits_for_a_reply_before_the_next_query():
    node = Node(20)
    first = node.plan(2.5).queries

    node.now += 0.05
    assert node.plan(2.55).queries == ()
    node.now += 0.05
    assert node.plan(2.6).queries not in ((), first)


def test_reply_without_a_proof_leads_to_the_next_query_at_once():
    node = Node(20)
    queried = node.plan(2.5).queries[0]

    node.planner.reply_received(queried.name, None, node.now)

    assert len(node.plan(2.5).queries) == 1


def test_node_that_sent_a_useful_proof_is_queried_first_next_time():
    node = Node(20)
    node.plan(2.5)
    node.planner.reply_received(
        "d-7", FreshnessProof(node.now - 0.1, 7), node.now
    )
    node.now += 2.0

    assert [m.name for m in node.plan(2.5).queries] == ["d-7"]


def test_node_without_replies_in_a_round_reads_the_store_early():
    node = Node(39)
    for _ in range(12):
        plan = node.plan(3.1)
        assert not plan.reads_store
        node.now += 0.1
    node.now += 0.3

    node.plan(3.1)
    assert node.plan(3.1).reads_store


def test_node_with_replies_does_not_read_the_store_early():
    node = Node(39)
    for _ in range(60):
        plan = node.plan(3.1)
        assert not plan.reads_store
        for member in plan.queries:
            node.planner.reply_received(member.name, None, node.now)
        node.now += 0.1


def test_store_reads_do_not_overlap_and_failed_ones_are_delayed():
    node = Node(0)
    assert node.plan(1.5).reads_store
    assert not node.plan(1.6).reads_store

    node.planner.read_ended(False, node.now)
    node.now += 1.9
    assert not node.plan(1.6).reads_store
    node.now += 2.2
    assert node.plan(1.6).reads_store
    node.planner.read_ended(True, node.now)
    assert node.plan(1.6).reads_store


def test_first_node_reads_the_store_at_once_without_a_proof():
    reads = []
    for position in range(10):
        node = Node(position)
        node.now -= 1.0
        reads.append(node.plan().reads_store)

    assert reads == [True] + [False] * 9


def test_failed_first_store_read_is_delayed_too():
    node = Node(0)
    assert node.plan().reads_store

    node.planner.read_ended(False, node.now)

    assert not node.plan().reads_store
    node.now += 1.0
    assert node.plan().reads_store
