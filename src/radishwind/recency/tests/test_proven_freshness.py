"""A proof counts for the version in force, until it expires."""

import math
import random

import pytest

from radishwind.recency import FreshnessProof
from radishwind.recency import ProofSchedule
from radishwind.recency import ProvenFreshness

SCHEDULE = ProofSchedule(5.0)


class Node:
    def __init__(self):
        self.version = 7
        self.freshness = ProvenFreshness(
            SCHEDULE, lambda: self.version, random.Random(1)
        )


@pytest.fixture
def node():
    return Node()


def test_maximum_age_leaves_room_for_clock_drift():
    assert SCHEDULE.max_age_s < 5.0 * (1 - 0.001) / (1 + 0.0005)
    assert SCHEDULE.max_age_s > 4.9


def test_nodes_read_the_store_in_order_within_the_maximum_age():
    ages_s = [SCHEDULE.read_age_s(position) for position in range(300)]

    assert ages_s == sorted(ages_s)
    assert (
        ages_s[0]
        < SCHEDULE.relay_query_age_s
        < ages_s[1]
        < SCHEDULE.query_age_s
    )
    assert SCHEDULE.max_age_s - ages_s[-1] > 0.5


def test_nothing_is_fresh_before_the_first_proof(node):
    assert not node.freshness.is_fresh(0.0)
    assert node.freshness.age_s(0.0) == math.inf
    assert node.freshness.newest() is None


def test_proof_is_fresh_until_the_maximum_age(node):
    node.freshness.accept(FreshnessProof(10.0, 7))

    assert node.freshness.is_fresh(10.0 + SCHEDULE.max_age_s - 0.001)
    assert not node.freshness.is_fresh(10.0 + SCHEDULE.max_age_s)


def test_proof_of_a_later_version_counts_once_that_is_in_force(node):
    node.freshness.accept(FreshnessProof(10.0, 8))
    assert not node.freshness.is_fresh(10.0)

    node.version = 9
    assert node.freshness.age_s(10.5) == 0.5


def test_proof_of_the_version_in_force_counts_until_a_later_one_is(node):
    node.freshness.accept(FreshnessProof(10.0, 7))
    node.freshness.accept(FreshnessProof(12.0, 8))

    assert node.freshness.age_s(12.0) == 2.0
    assert node.freshness.newest() == FreshnessProof(12.0, 8)
    assert not node.freshness.is_fresh(10.0 + SCHEDULE.max_age_s)


def test_older_proof_changes_nothing(node):
    assert node.freshness.accept(FreshnessProof(12.0, 7))
    assert not node.freshness.accept(FreshnessProof(11.0, 7))

    assert node.freshness.age_s(12.0) == 0.0


def test_older_proof_of_the_version_in_force_counts_before_a_later_one(node):
    node.freshness.accept(FreshnessProof(12.0, 8))
    node.freshness.accept(FreshnessProof(11.0, 7))

    assert node.freshness.age_s(12.0) == 1.0


def test_versions_faster_than_they_are_fetched_do_not_block_proofs(node):
    for number in range(100):
        node.freshness.accept(FreshnessProof(10.0 + number / 100, 8 + number))
        node.version = max(node.version, 8 + number - 20)

    assert node.freshness.age_s(11.0) < 1.0
    assert len(node.freshness._pending) <= 8


def test_on_stale_is_called_when_a_check_fails(node):
    calls = []
    node.freshness.on_stale = lambda: calls.append(1)
    node.freshness.accept(FreshnessProof(10.0, 7))

    node.freshness.is_fresh(10.0)
    assert not calls
    node.freshness.is_fresh(20.0)
    assert calls


def test_retry_delay_grows_with_the_time_without_a_proof(node):
    assert 0.1 <= node.freshness.retry_s(0.0) <= 0.15
    node.freshness.accept(FreshnessProof(10.0, 7))
    expired_at = 10.0 + SCHEDULE.max_age_s

    assert 0.1 <= node.freshness.retry_s(expired_at) <= 0.15
    assert 1.0 <= node.freshness.retry_s(expired_at + 1.0) <= 1.5
    assert 2.0 <= node.freshness.retry_s(expired_at + 100.0) <= 3.0
