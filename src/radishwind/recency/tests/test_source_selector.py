"""All nodes agree on the few that read the store and are queried first."""

import random

import pytest

from radishwind.http.types import Address
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.recency.source_selector import SourceSelector


def member(name, state=MemberState.ALIVE):
    return Member(name, "s", name[0], Address(name, 1), 1, state)


class FixedDirectory(Directory):
    def __init__(self, *members):
        self._members = members

    def eligible_members(self, service):
        return self._members

    def members(self):
        return self._members


NAMES = [f"{domain}-{number}" for domain in "abcd" for number in range(6)]


def select(name, members, preferred=""):
    directory = FixedDirectory(*members)
    return SourceSelector(name, name[0], directory, random.Random(1)).select(
        preferred
    )


def test_positions_are_unique_and_alternate_between_domains():
    members = [member(name) for name in NAMES]
    by_position = {select(name, members).position: name for name in NAMES}

    assert sorted(by_position) == list(range(len(NAMES)))
    assert {by_position[n][0] for n in range(4)} == set("abcd")
    assert {by_position[n][0] for n in range(4, 8)} == set("abcd")


def test_each_domain_has_a_relay_that_its_nodes_query_first():
    members = [member(name) for name in NAMES]
    relays = {n for n in NAMES if select(n, members).is_relay}

    assert {name[0] for name in relays} == set("abcd")
    for name in set(NAMES) - relays:
        first = select(name, members).candidates[0].name
        assert first in relays
        assert first[0] == name[0]


def test_relay_queries_the_nodes_that_read_the_store():
    members = [member(name) for name in NAMES]
    by_position = {select(name, members).position: name for name in NAMES}

    candidates = select(by_position[2], members).candidates

    assert [m.name for m in candidates[:2]] == [by_position[0], by_position[1]]


def test_preferred_node_is_queried_first_and_no_node_twice():
    members = [member(name) for name in NAMES]

    candidates = [m.name for m in select("a-3", members, "d-4").candidates]

    assert candidates[0] == "d-4"
    assert len(candidates) == len(set(candidates)) <= 9
    assert "a-3" not in candidates


@pytest.mark.parametrize("state", [MemberState.DEAD, MemberState.LEAVING])
def test_dead_and_leaving_nodes_are_excluded(state):
    members = [member(name, state) for name in NAMES if name != "c-5"]

    selection = select("c-5", [*members, member("c-5")])

    assert (selection.position, selection.candidates) == (0, ())


def test_node_that_knows_no_other_is_first():
    selection = select("a-1", [])

    assert (selection.position, selection.is_relay, selection.candidates) == (
        0,
        True,
        (),
    )
