"""Which incarnation of the server counts, and that leaving is for good."""

import pytest
from tests.support.registered import code
from tests.support.registered import HERE
from tests.support.registered import registered

from radishwind.core import ManualClock
from radishwind.core.codes import ResultCode
from radishwind.target.registered_server import Registration
from radishwind.target.server_process import ServerProcess


def told(incarnation, order=1, leaving=False, service="s", slots=6, cold_s=0.0):
    return Registration(
        incarnation, service, HERE, slots, leaving, cold_s, order
    )


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def server(clock):
    return registered(clock)


def test_nothing_is_sent_before_the_first_heartbeat(server):
    assert code(server) is ResultCode.SERVER_UNANNOUNCED
    assert server.register(told("i-1"))
    assert code(server) is None
    assert (server.incarnation, server.slots) == ("i-1", 6)


def test_a_late_heartbeat_of_an_earlier_incarnation_changes_nothing(server):
    server.register(told("i-1", 7))
    server.register(told("i-2", 1))

    assert not server.register(told("i-1", 9))
    assert server.incarnation == "i-2"


def test_a_late_heartbeat_does_not_end_a_drain(server):
    server.register(told("i-1", 3))
    server.register(told("i-1", 4, leaving=True))

    server.register(told("i-1", 2))

    assert code(server) is ResultCode.LEAVING


def test_one_that_deregisters_first_gets_nothing_new(server):
    server.register(told("i-1", 3))
    server.mark_leaving(ServerProcess("i-1"))

    server.register(told("i-1", 9))

    assert code(server) is ResultCode.LEAVING


def test_a_record_of_before_a_restart_binds(server):
    server.mark_leaving(ServerProcess("i-1"))

    assert not server.register(told("i-1", 5))
    assert code(server) is ResultCode.SERVER_UNANNOUNCED


def test_a_new_incarnation_takes_work_after_one_that_left(server):
    server.register(told("i-1"))
    server.mark_leaving(ServerProcess("i-1"))
    server.register(told("i-2"))

    assert code(server) is None


def test_the_incarnation_that_answers_is_believed(server):
    server.register(told("i-1"))

    server.record_answering_incarnation("i-1", "i-2")
    server.register(told("i-1", 9))

    assert server.incarnation == "i-2"


def test_one_that_answers_but_left_gets_nothing(server):
    server.mark_leaving(ServerProcess("i-2"))
    server.register(told("i-1"))

    server.record_answering_incarnation("i-1", "i-2")

    assert code(server) is ResultCode.LEAVING


def test_a_server_that_takes_no_connection_is_down_until_it_does(server):
    server.register(told("i-1"))

    server.mark_unreachable()
    assert code(server) is ResultCode.SERVER_DOWN
    assert not server.ready
    server.mark_reachable()

    assert code(server) is None


def test_a_cold_server_is_told_as_such(server, clock):
    server.register(told("i-1", cold_s=3.0))

    assert server.warm_fraction(clock.monotonic()) < 1
    clock.advance(3.1)
    assert server.warm_fraction(clock.monotonic()) == 1.0


def test_an_address_used_by_another_service_is_told(server):
    server.register(told("i-1", service="s"))
    server.register(told("i-9", service="other"))

    assert server.service == "other"
