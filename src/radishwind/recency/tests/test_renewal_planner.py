"""When a node asks others, and when the store."""

import random

import pytest

from radishwind.http.types import Address
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.recency import FreshnessProof
from radishwind.recency import ProofSchedule
from radishwind.recency import ProvenFreshness
from radishwind.recency.seeker import Seeker
from radishwind.recency.sources import Sources

TIMES = ProofSchedule(5.0)
NAMES = [f"{domain}-{number}" for domain in "abcd" for number in range(10)]


class Nodes(Directory):
    def __init__(self, names):
        self._members = tuple(
            Member(name, "s", name[0], Address(name, 1)) for name in names
        )

    def eligible_members(self, service):
        return self._members

    def members(self):
        return self._members


class Node:
    """A node at a place in the turn, whose proof is as old as told."""

    def __init__(self, place, names=NAMES):
        nodes = Nodes(names)
        by_place = {
            Sources(n, n[0], nodes, random.Random(1)).look().place: n
            for n in names
        }
        name = by_place[place]
        rng = random.Random(1)
        self.now = 100.0
        self.proof = ProvenFreshness(TIMES, lambda: 7, rng)
        self.seeker = Seeker(
            times=TIMES,
            proof=self.proof,
            sources=Sources(name, name[0], nodes, rng),
            rng=rng,
            now=self.now,
            first_wait_s=0.15,
        )
        self.now += 1.0

    def step(self, age_s=None):
        if age_s is not None:
            self.proof = self.proof.__class__(
                TIMES, lambda: 7, random.Random(1)
            )
            self.proof.take(FreshnessProof(self.now - age_s, 7))
            self.seeker._proof = self.proof
        return self.seeker.step(self.now)


@pytest.mark.parametrize(
    ("place", "age_s", "reads"),
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
def test_each_reads_the_store_in_its_turn(place, age_s, reads):
    assert Node(place).step(age_s).read is reads


@pytest.mark.parametrize(
    ("place", "age_s", "asked"),
    [
        (0, 1.9, 0),
        (0, 2.0, 1),
        (20, 2.4, 0),
        (20, 2.5, 1),
        (20, 3.5, 3),
        (20, 6.0, 3),
    ],
)
def test_relays_ask_first_and_who_is_late_asks_several(place, age_s, asked):
    assert len(Node(place).step(age_s).ask) == asked


def test_it_waits_for_an_answer_before_it_asks_another():
    node = Node(20)
    first = node.step(2.5).ask

    node.now += 0.05
    assert node.step(2.55).ask == ()
    node.now += 0.05
    assert node.step(2.6).ask not in ((), first)


def test_an_answer_in_vain_lets_it_ask_the_next_at_once():
    node = Node(20)
    asked = node.step(2.5).ask[0]

    node.seeker.answered(asked.name, None, node.now)

    assert len(node.step(2.5).ask) == 1


def test_who_helped_is_asked_first_the_next_time():
    node = Node(20)
    node.step(2.5)
    node.seeker.answered("d-7", FreshnessProof(node.now - 0.1, 7), node.now)
    node.now += 2.0

    assert [m.name for m in node.step(2.5).ask] == ["d-7"]


def test_a_node_that_a_whole_round_told_nothing_reads_before_its_turn():
    node = Node(39)
    for _ in range(12):
        step = node.step(3.1)
        assert not step.read
        node.now += 0.1
    node.now += 0.3

    node.step(3.1)
    assert node.step(3.1).read


def test_a_node_that_is_answered_keeps_to_its_turn():
    node = Node(39)
    for _ in range(60):
        step = node.step(3.1)
        assert not step.read
        for member in step.ask:
            node.seeker.answered(member.name, None, node.now)
        node.now += 0.1


def test_one_reading_goes_on_at_a_time_and_a_failed_one_is_put_off():
    node = Node(0)
    assert node.step(1.5).read
    assert not node.step(1.6).read

    node.seeker.read_ended(False, node.now)
    node.now += 1.9
    assert not node.step(1.6).read
    node.now += 2.2
    assert node.step(1.6).read
    node.seeker.read_ended(True, node.now)
    assert node.step(1.6).read


def test_before_any_proof_the_first_of_those_known_reads_at_once():
    reads = []
    for place in range(10):
        node = Node(place)
        node.now -= 1.0
        reads.append(node.step().read)

    assert reads == [True] + [False] * 9


def test_a_first_reading_that_fails_is_put_off_too():
    node = Node(0)
    assert node.step().read

    node.seeker.read_ended(False, node.now)

    assert not node.step().read
    node.now += 1.0
    assert node.step().read
