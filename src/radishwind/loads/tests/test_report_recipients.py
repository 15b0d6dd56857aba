"""Load is told to near nodes and to those that sent work lately."""

import pytest

from radishwind.http.types import Address
from radishwind.loads.report_recipients import ALL_FAR
from radishwind.loads.report_recipients import ALL_NEAR
from radishwind.loads.report_recipients import KEPT_S
from radishwind.loads.report_recipients import MOST_ASKERS
from radishwind.loads.report_recipients import ReportRecipients
from radishwind.membership.directory import Member


def member(number, domain):
    address = Address(f"10.0.{number // 250}.{number % 250}", 7600)
    return Member(f"{domain}-{number}", "s", domain, address)


OWN = Member("own", "s", "a", Address("10.9.9.9", 7600))
NEAR = [member(number, "a") for number in range(1, 4)]
FAR = [member(number, "b") for number in range(11, 12 + ALL_FAR)]


@pytest.fixture
def audience():
    made = ReportRecipients("own", "a")
    made.set_members([OWN, *NEAR, *FAR])
    return made


def addresses(members):
    return {m.address for m in members}


def test_every_near_node_is_told_and_no_far_one(audience):
    assert set(audience.local(0.0)) == addresses(NEAR)
    assert audience.remote(0.0) == ()


def test_a_far_node_that_sent_work_is_told_for_a_while(audience):
    audience.record_request_from(FAR[1].address.host, 5.0)

    assert audience.remote(5.0 + KEPT_S) == (FAR[1].address,)
    assert audience.remote(5.1 + KEPT_S) == ()


def test_work_sent_again_keeps_it_told(audience):
    audience.record_request_from(FAR[1].address.host, 5.0)
    audience.record_request_from(FAR[0].address.host, 6.0)
    audience.record_request_from(FAR[1].address.host, 6.5)

    assert set(audience.remote(6.4 + KEPT_S)) == {FAR[1].address}


def test_of_many_near_nodes_only_those_that_sent_work_are_told(audience):
    many = [member(number, "a") for number in range(ALL_NEAR + 1)]
    audience.set_members([OWN, *many])
    audience.record_request_from(many[7].address.host, 1.0)

    assert not audience.reports_to_all_local()
    assert audience.local(1.0) == (many[7].address,)


def test_of_a_few_far_nodes_all_are_told(audience):
    assert not audience.reports_unsolicited("b")
    audience.set_members([OWN, *NEAR, *FAR[:-1]])

    assert len(audience.remote(0.0)) == ALL_FAR
    assert audience.reports_unsolicited("b")


def test_a_host_that_is_no_node_is_not_told(audience):
    audience.record_request_from("10.7.7.7", 1.0)

    assert audience.remote(1.0) == ()


def test_the_one_that_asked_longest_ago_gives_way(audience):
    audience.record_request_from(FAR[0].address.host, 0.0)
    for number in range(MOST_ASKERS):
        audience.record_request_from(f"10.3.0.{number}", 0.1)

    assert audience.remote(0.1) == ()
