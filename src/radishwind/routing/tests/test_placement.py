"""No request is sent where the operator or its route forbids it."""

import pytest
from tests.support.calls import make_call

from radishwind.core.codes import ResultCode
from radishwind.http.types import Address
from radishwind.membership.directory import Member
from radishwind.routing.placement import RestrictedPlacement

REGIONS = {"a-1": "north", "a-2": "north", "b-1": "south"}
MEMBERS = tuple(
    Member(f"t-{domain}", "s", domain, Address("h", 1)) for domain in REGIONS
)


class Directory:
    def __init__(self, members=MEMBERS):
        self._members = members

    def eligible_members(self, service):
        return self._members if service == "s" else ()


def named(placement, call):
    return [member.failure_domain for member in placement.candidates(call)]


def placement(*emptied, members=MEMBERS):
    return RestrictedPlacement(
        Directory(members), lambda: frozenset(emptied), REGIONS
    )


@pytest.mark.parametrize(
    ("emptied", "regions", "left"),
    [
        ((), (), ["a-1", "a-2", "b-1"]),
        (("a-1",), (), ["a-2", "b-1"]),
        (("a-1", "b-1"), (), ["a-2"]),
        (("a-1", "a-2", "b-1"), (), []),
        (("unknown",), (), ["a-1", "a-2", "b-1"]),
        ((), ("north",), ["a-1", "a-2"]),
        ((), ("north", "south"), ["a-1", "a-2", "b-1"]),
        ((), ("elsewhere",), []),
        (("a-2",), ("north",), ["a-1"]),
        (("a-1", "a-2"), ("north",), []),
    ],
)
def test_who_may_be_chosen(emptied, regions, left):
    call = make_call(regions=frozenset(regions))

    assert named(placement(*emptied), call) == left


def test_the_same_members_are_given_until_they_change():
    made = placement()

    assert made.candidates(make_call()) is made.candidates(make_call())


def test_a_failure_domain_of_no_known_region_is_no_home():
    stray = (*MEMBERS, Member("t-x", "s", "x", Address("h", 1)))
    call = make_call(regions=frozenset({"north"}))

    assert named(placement(members=stray), call) == ["a-1", "a-2"]


def test_callers_hear_that_all_is_emptied_or_that_nobody_is_there():
    emptied = placement(*REGIONS).refusal(make_call())
    nobody = placement(members=()).refusal(make_call())

    assert emptied.code is ResultCode.DOMAIN_EMPTIED
    assert nobody.code is ResultCode.NO_TARGET
