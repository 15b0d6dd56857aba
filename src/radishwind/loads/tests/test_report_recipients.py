"""Load reports go to nodes of the own domain and to recent senders."""

import pytest

from radishwind.http.types import Address
from radishwind.loads.report_recipients import MAX_LOCAL_BROADCAST
from radishwind.loads.report_recipients import MAX_REMOTE_BROADCAST
from radishwind.loads.report_recipients import MAX_SENDERS
from radishwind.loads.report_recipients import ReportRecipients
from radishwind.loads.report_recipients import SENDER_RETENTION_S
from radishwind.membership.directory import Member


def member(number, domain):
    address = Address(f"10.0.{number // 250}.{number % 250}", 7600)
    return Member(f"{domain}-{number}", "s", domain, address)


OWN = Member("own", "s", "a", Address("10.9.9.9", 7600))
LOCAL = [member(number, "a") for number in range(1, 4)]
REMOTE = [
    member(number, "b") for number in range(11, 12 + MAX_REMOTE_BROADCAST)
]


@pytest.fixture
def recipients():
    created = ReportRecipients("own", "a")
    created.set_members([OWN, *LOCAL, *REMOTE])
    return created


def addresses(members):
    return {m.address for m in members}


def test_all_local_nodes_receive_reports_and_remote_ones_do_not(recipients):
    assert set(recipients.local(0.0)) == addresses(LOCAL)
    assert recipients.remote(0.0) == ()


def test_remote_sender_receives_reports_for_the_retention_time(recipients):
    recipients.record_request_from(REMOTE[1].address.host, 5.0)

    assert recipients.remote(5.0 + SENDER_RETENTION_S) == (REMOTE[1].address,)
    assert recipients.remote(5.1 + SENDER_RETENTION_S) == ()


def test_further_request_extends_the_retention_time(recipients):
    recipients.record_request_from(REMOTE[1].address.host, 5.0)
    recipients.record_request_from(REMOTE[0].address.host, 6.0)
    recipients.record_request_from(REMOTE[1].address.host, 6.5)

    assert set(recipients.remote(6.4 + SENDER_RETENTION_S)) == {
        REMOTE[1].address
    }


def test_of_many_local_nodes_only_senders_receive_reports(recipients):
    many = [member(number, "a") for number in range(MAX_LOCAL_BROADCAST + 1)]
    recipients.set_members([OWN, *many])
    recipients.record_request_from(many[7].address.host, 1.0)

    assert not recipients.reports_to_all_local()
    assert recipients.local(1.0) == (many[7].address,)


def test_few_remote_nodes_all_receive_reports(recipients):
    assert not recipients.reports_unsolicited("b")
    recipients.set_members([OWN, *LOCAL, *REMOTE[:-1]])

    assert len(recipients.remote(0.0)) == MAX_REMOTE_BROADCAST
    assert recipients.reports_unsolicited("b")


def test_host_that_is_not_a_member_receives_no_reports(recipients):
    recipients.record_request_from("10.7.7.7", 1.0)

    assert recipients.remote(1.0) == ()


def test_least_recent_sender_is_dropped_beyond_the_maximum(recipients):
    recipients.record_request_from(REMOTE[0].address.host, 0.0)
    for number in range(MAX_SENDERS):
        recipients.record_request_from(f"10.3.0.{number}", 0.1)

    assert recipients.remote(0.1) == ()
