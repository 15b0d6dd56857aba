"""All nodes name the same few to read the store and to be asked."""

import random

import pytest

from radishwind.http.types import Address
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.recency.sources import Sources


def member(name, state=MemberState.ALIVE):
    return Member(name, "s", name[0], Address(name, 1), 1, state)


class Nodes(Directory):
    def __init__(self, *members):
        self._members = members

    def eligible_members(self, service):
        return self._members

    def members(self):
        return self._members


NAMES = [f"{domain}-{number}" for domain in "abcd" for number in range(6)]


def look(name, members, helper=""):
    nodes = Nodes(*members)
    return Sources(name, name[0], nodes, random.Random(1)).look(helper)


def test_places_are_all_different_and_begin_with_one_of_each_domain():
    members = [member(name) for name in NAMES]
    places = {look(name, members).place: name for name in NAMES}

    assert sorted(places) == list(range(len(NAMES)))
    assert {places[n][0] for n in range(4)} == set("abcd")
    assert {places[n][0] for n in range(4, 8)} == set("abcd")


def test_each_domain_has_a_relay_that_the_others_there_ask_first():
    members = [member(name) for name in NAMES]
    relays = {n for n in NAMES if look(n, members).is_relay}

    assert {name[0] for name in relays} == set("abcd")
    for name in set(NAMES) - relays:
        first = look(name, members).to_ask[0].name
        assert first in relays
        assert first[0] == name[0]


def test_a_relay_asks_those_that_read_the_store():
    members = [member(name) for name in NAMES]
    places = {look(name, members).place: name for name in NAMES}

    asked = look(places[2], members).to_ask

    assert [m.name for m in asked[:2]] == [places[0], places[1]]


def test_who_helped_is_asked_first_and_nobody_twice():
    members = [member(name) for name in NAMES]

    asked = [m.name for m in look("a-3", members, "d-4").to_ask]

    assert asked[0] == "d-4"
    assert len(asked) == len(set(asked)) <= 9
    assert "a-3" not in asked


@pytest.mark.parametrize("state", [MemberState.DEAD, MemberState.LEAVING])
def test_who_is_gone_has_no_place(state):
    members = [member(name, state) for name in NAMES if name != "c-5"]

    around = look("c-5", [*members, member("c-5")])

    assert (around.place, around.to_ask) == (0, ())


def test_a_node_that_knows_nobody_is_the_first():
    around = look("a-1", [])

    assert (around.place, around.is_relay, around.to_ask) == (0, True, ())
