"""Evacuated domains and regions that a route doesn't allow are excluded."""

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


def domains_of(placement, call):
    return [member.failure_domain for member in placement.candidates(call)]


def placement(*evacuated, members=MEMBERS):
    return RestrictedPlacement(
        Directory(members), lambda: frozenset(evacuated), REGIONS
    )


@pytest.mark.parametrize(
    ("evacuated", "regions", "expected"),
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
def test_candidates_by_evacuated_domains_and_regions(
    evacuated, regions, expected
):
    call = make_call(regions=frozenset(regions))

    assert domains_of(placement(*evacuated), call) == expected


def test_candidates_are_the_same_object_until_they_change():
    created = placement()

    assert created.candidates(make_call()) is created.candidates(make_call())


def test_failure_domain_without_region_is_not_eligible():
    members = (*MEMBERS, Member("t-x", "s", "x", Address("h", 1)))
    call = make_call(regions=frozenset({"north"}))

    assert domains_of(placement(members=members), call) == ["a-1", "a-2"]


def test_refusal_distinguishes_evacuated_domains_from_no_targets():
    evacuated = placement(*REGIONS).refusal(make_call())
    without_members = placement(members=()).refusal(make_call())

    assert evacuated.code is ResultCode.DOMAIN_EMPTIED
    assert without_members.code is ResultCode.NO_TARGET
