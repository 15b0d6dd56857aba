"""Which incarnation of the server is current, and leaving is permanent."""

import pytest
from tests.support.registered_server import make_registered_server
from tests.support.registered_server import refusal_code
from tests.support.registered_server import SERVER_ADDRESS

from radishwind.core import ManualClock
from radishwind.core.codes import ResultCode
from radishwind.target.registered_server import Registration
from radishwind.target.server_process import ServerProcess


def heartbeat(
    incarnation,
    sequence=1,
    leaving=False,
    service="s",
    slots=6,
    warmup_left_s=0.0,
):
    return Registration(
        incarnation,
        service,
        SERVER_ADDRESS,
        slots,
        leaving,
        warmup_left_s,
        sequence,
    )


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def server(clock):
    return make_registered_server(clock)


def test_no_requests_before_the_first_heartbeat(server):
    assert refusal_code(server) is ResultCode.SERVER_UNANNOUNCED
    assert server.register(heartbeat("i-1"))
    assert refusal_code(server) is None
    assert (server.incarnation, server.slots) == ("i-1", 6)


def test_late_heartbeat_of_an_earlier_incarnation_is_ignored(server):
    server.register(heartbeat("i-1", 7))
    server.register(heartbeat("i-2", 1))

    assert not server.register(heartbeat("i-1", 9))
    assert server.incarnation == "i-2"


def test_late_heartbeat_does_not_end_a_drain(server):
    server.register(heartbeat("i-1", 3))
    server.register(heartbeat("i-1", 4, leaving=True))

    server.register(heartbeat("i-1", 2))

    assert refusal_code(server) is ResultCode.LEAVING


def test_deregistered_process_gets_no_new_requests(server):
    server.register(heartbeat("i-1", 3))
    server.mark_leaving(ServerProcess("i-1"))

    server.register(heartbeat("i-1", 9))

    assert refusal_code(server) is ResultCode.LEAVING


def test_leaving_record_holds_after_a_restart_of_the_node(server):
    server.mark_leaving(ServerProcess("i-1"))

    assert not server.register(heartbeat("i-1", 5))
    assert refusal_code(server) is ResultCode.SERVER_UNANNOUNCED


def test_new_incarnation_gets_requests_after_one_that_left(server):
    server.register(heartbeat("i-1"))
    server.mark_leaving(ServerProcess("i-1"))
    server.register(heartbeat("i-2"))

    assert refusal_code(server) is None


def test_answering_incarnation_overrides_heartbeats(server):
    server.register(heartbeat("i-1"))

    server.record_answering_incarnation("i-1", "i-2")
    server.register(heartbeat("i-1", 9))

    assert server.incarnation == "i-2"


def test_answering_incarnation_that_left_gets_no_requests(server):
    server.mark_leaving(ServerProcess("i-2"))
    server.register(heartbeat("i-1"))

    server.record_answering_incarnation("i-1", "i-2")

    assert refusal_code(server) is ResultCode.LEAVING


def test_unreachable_server_is_down_until_it_is_reachable(server):
    server.register(heartbeat("i-1"))

    server.mark_unreachable()
    assert refusal_code(server) is ResultCode.SERVER_DOWN
    assert not server.is_ready
    server.mark_reachable()

    assert refusal_code(server) is None


def test_cold_server_is_reported_as_cold(server, clock):
    server.register(heartbeat("i-1", warmup_left_s=3.0))

    assert server.warm_fraction(clock.monotonic()) < 1
    clock.advance(3.1)
    assert server.warm_fraction(clock.monotonic()) == 1.0


def test_service_follows_the_latest_registration(server):
    server.register(heartbeat("i-1", service="s"))
    server.register(heartbeat("i-9", service="other"))

    assert server.service == "other"
