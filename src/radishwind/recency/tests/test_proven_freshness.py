"""A proof stands for the version in force, and not too long."""

import math
import random

import pytest

from radishwind.recency import FreshnessProof
from radishwind.recency import ProofSchedule
from radishwind.recency import ProvenFreshness

TIMES = ProofSchedule(5.0)


class Node:
    def __init__(self):
        self.version = 7
        self.proof = ProvenFreshness(
            TIMES, lambda: self.version, random.Random(1)
        )


@pytest.fixture
def node():
    return Node()


def test_the_limit_leaves_room_for_clocks_that_run_apart():
    assert TIMES.limit_s < 5.0 * (1 - 0.001) / (1 + 0.0005)
    assert TIMES.limit_s > 4.9


def test_the_turns_come_one_after_the_other_within_the_limit():
    turns = [TIMES.turn_s(place) for place in range(300)]

    assert turns == sorted(turns)
    assert turns[0] < TIMES.relay_at_s < turns[1] < TIMES.ask_at_s
    assert TIMES.limit_s - turns[-1] > 0.5


def test_before_the_first_proof_nothing_stands(node):
    assert not node.proof.is_fresh(0.0)
    assert node.proof.age_s(0.0) == math.inf
    assert node.proof.newest() is None


def test_it_stands_until_the_limit(node):
    node.proof.take(FreshnessProof(10.0, 7))

    assert node.proof.is_fresh(10.0 + TIMES.limit_s - 0.001)
    assert not node.proof.is_fresh(10.0 + TIMES.limit_s)


def test_a_proof_of_a_later_version_counts_once_that_is_in_force(node):
    node.proof.take(FreshnessProof(10.0, 8))
    assert not node.proof.is_fresh(10.0)

    node.version = 9
    assert node.proof.age_s(10.5) == 0.5


def test_meanwhile_the_proof_of_the_version_in_force_goes_on_to_count(node):
    node.proof.take(FreshnessProof(10.0, 7))
    node.proof.take(FreshnessProof(12.0, 8))

    assert node.proof.age_s(12.0) == 2.0
    assert node.proof.newest() == FreshnessProof(12.0, 8)
    assert not node.proof.is_fresh(10.0 + TIMES.limit_s)


def test_an_older_proof_changes_nothing(node):
    assert node.proof.take(FreshnessProof(12.0, 7))
    assert not node.proof.take(FreshnessProof(11.0, 7))

    assert node.proof.age_s(12.0) == 0.0


def test_an_older_proof_of_the_version_in_force_counts_beside_a_later_one(node):
    node.proof.take(FreshnessProof(12.0, 8))
    node.proof.take(FreshnessProof(11.0, 7))

    assert node.proof.age_s(12.0) == 1.0


def test_versions_that_come_faster_than_they_are_fetched_dont_stall_it(node):
    for number in range(100):
        node.proof.take(FreshnessProof(10.0 + number / 100, 8 + number))
        node.version = max(node.version, 8 + number - 20)

    assert node.proof.age_s(11.0) < 1.0
    assert len(node.proof._ahead) <= 8


def test_who_finds_none_is_told(node):
    told = []
    node.proof.on_stale = lambda: told.append(1)
    node.proof.take(FreshnessProof(10.0, 7))

    node.proof.is_fresh(10.0)
    assert not told
    node.proof.is_fresh(20.0)
    assert told


def test_the_time_to_come_back_grows_with_how_long_it_has_been_out(node):
    assert 0.1 <= node.proof.retry_s(0.0) <= 0.15
    node.proof.take(FreshnessProof(10.0, 7))
    end = 10.0 + TIMES.limit_s

    assert 0.1 <= node.proof.retry_s(end) <= 0.15
    assert 1.0 <= node.proof.retry_s(end + 1.0) <= 1.5
    assert 2.0 <= node.proof.retry_s(end + 100.0) <= 3.0
