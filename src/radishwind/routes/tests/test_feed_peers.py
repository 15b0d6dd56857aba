"""Whom a node asks for the version of the routes that it lacks."""

import dataclasses
import random

import pytest

from radishwind.core import ManualClock
from radishwind.http.types import Address
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.ranking import hash_rank
from radishwind.routes.feed_peers import FeedPeers

NAMES = [f"{domain}-{number}" for domain in "abc" for number in range(8)]


class FixedDirectory(Directory):
    """Nodes that have version 3, but those in `ahead`, which have 5."""

    def __init__(self, ahead):
        members = [
            Member(n, "s", n[0], Address(n, 1), config_revision=3)
            for n in NAMES
        ]
        self._members = tuple(
            dataclasses.replace(m, config_revision=5) if m.name in ahead else m
            for m in members
        )

    def eligible_members(self, service):
        return self._members

    def members(self):
        return self._members


def sources(name, ahead):
    peers = FeedPeers(
        node_name=name,
        failure_domain=name[0],
        directory=FixedDirectory(ahead),
        clock=ManualClock(),
        rng=random.Random(1),
    )
    return [member.name for member in peers.update_sources(3)]


BY_RANK = sorted((n for n in NAMES if n[0] == "a"), key=hash_rank)
WATCHER, OTHER = BY_RANK[0], BY_RANK[-1]


def test_watcher_asks_the_one_node_that_has_the_version_first():
    assert sources(WATCHER, {"c-4"})[0] == "c-4"


def test_other_nodes_ask_their_failure_domain_first():
    asked = sources(OTHER, {"c-4", BY_RANK[2]})

    assert asked[0] == BY_RANK[2]
    assert asked.index("c-4") > 1


@pytest.mark.parametrize("name", [WATCHER, OTHER])
def test_each_node_asks_few_and_none_twice_nor_itself(name):
    asked = sources(name, set(NAMES))

    assert len(asked) == len(set(asked)) <= 10
    assert name not in asked
    assert {n[0] for n in asked} > {"a"}
