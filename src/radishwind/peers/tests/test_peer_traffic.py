"""Traffic between nodes is counted by failure domain, cause and route."""

from radishwind.config.model import ServiceRules
from radishwind.entry.call import Call
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.membership.directory import Member
from radishwind.peers.peer_socket import Channel
from radishwind.peers.peer_traffic import MAX_SERIES
from radishwind.peers.peer_traffic import PeerTraffic

REMOTE = Member("f", "s", "b", Address("10.0.0.2", 80))


def call(route="r", **fields):
    return Call(
        "c",
        "s",
        Request("GET", "/"),
        ServiceRules(),
        True,
        1.0,
        1,
        "",
        route=route,
        **fields,
    )


def labels(cause, route="", domain="b"):
    return f'domain="{domain}",cause="{cause}",route="{route}"'


def test_forwards_and_responses_are_counted_separately_by_route():
    traffic = PeerTraffic()
    request = Request("POST", "/", (("A", "bc"),), b"12345", 5)
    traffic.record_forward(REMOTE, call(), request)
    traffic.record_answer(REMOTE, call(), Response(200, (), b"x" * 90, 90))

    sizes = traffic.byte_counts()
    assert sizes[labels("first-head", "r")] == 7
    assert sizes[labels("first-body", "r")] == 5
    assert sizes[labels("answer-body", "r")] == 90
    assert traffic.message_counts()[labels("answer-body", "r")] == 1


def test_retry_is_counted_separately_from_first_attempts():
    traffic = PeerTraffic()
    traffic.record_forward(REMOTE, call(steps=["x"]), Request("GET", "/"))

    assert labels("again-head", "r") in traffic.message_counts()


def test_datagrams_and_control_messages_are_counted_by_domain_of_the_host():
    traffic = PeerTraffic()
    traffic.set_members((REMOTE,))
    traffic.record_datagram(Channel.LOADS, REMOTE.address, 40)
    traffic.record_datagram(Channel.GOSSIP, Address("10.0.0.9", 80), 10)
    traffic.record_control(REMOTE.address, "routes", 1000)

    sizes = traffic.byte_counts()
    assert sizes[labels("datagram-loads")] == 40
    assert sizes[labels("datagram-gossip", domain="other")] == 10
    assert sizes[labels("control-routes")] == 1000


def test_series_are_bounded_and_all_messages_are_counted():
    traffic = PeerTraffic()
    for number in range(2 * MAX_SERIES):
        traffic.record_answer(
            REMOTE, call(f"r{number}"), Response(200, (), b"x", 1)
        )

    assert len(traffic.byte_counts()) <= MAX_SERIES + 1
    assert sum(traffic.byte_counts().values()) == 2 * MAX_SERIES
