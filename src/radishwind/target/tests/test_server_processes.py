"""A server may restart under the same incarnation."""

import pytest
from tests.support.registered_server import make_registered_server
from tests.support.registered_server import refusal_code
from tests.support.registered_server import SERVER_ADDRESS

from radishwind.core import ManualClock
from radishwind.core.codes import ResultCode
from radishwind.target.registered_server import ACCEPT_OLDER_AFTER_S
from radishwind.target.registered_server import Registration
from radishwind.target.server_process import ServerProcess

FIRST, SECOND, THIRD = 1_000_000, 1_060_000, 1_120_000


def heartbeat(
    started_ms, sequence=1, leaving=False, incarnation="i-1", warmup_left_s=0.0
):
    return Registration(
        incarnation,
        "s",
        SERVER_ADDRESS,
        6,
        leaving,
        warmup_left_s,
        sequence,
        started_ms,
    )


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def server(clock):
    return make_registered_server(clock)


def test_later_process_is_accepted_after_the_previous_one_left(server):
    server.register(heartbeat(FIRST, 9))
    server.register(heartbeat(FIRST, 10, leaving=True))
    assert refusal_code(server) is ResultCode.LEAVING

    assert server.register(heartbeat(SECOND, 1))

    assert refusal_code(server) is None
    assert server.process == ServerProcess("i-1", SECOND)


def test_sequence_restarts_with_a_new_process(server, clock):
    server.register(heartbeat(FIRST, 500))
    server.register(heartbeat(SECOND, 1, warmup_left_s=3.0))
    assert server.warm_fraction(clock.monotonic()) < 1.0

    server.register(heartbeat(SECOND, 2, warmup_left_s=0.0))

    assert server.warm_fraction(clock.monotonic()) == 1.0


@pytest.mark.parametrize("leaving", [False, True])
def test_late_heartbeat_of_the_previous_process_is_ignored(server, leaving):
    server.register(heartbeat(FIRST, 5))
    server.register(heartbeat(SECOND, 1))

    server.register(heartbeat(FIRST, 6, leaving=leaving))

    assert server.process == ServerProcess("i-1", SECOND)
    assert refusal_code(server) is None


def test_late_heartbeat_of_an_unknown_earlier_process_is_ignored(server):
    server.register(heartbeat(SECOND, 3))

    server.register(heartbeat(FIRST, 90))

    assert server.process == ServerProcess("i-1", SECOND)


def test_process_is_accepted_after_the_clock_stepped_back(server, clock):
    server.register(heartbeat(SECOND, 30))
    clock.advance(ACCEPT_OLDER_AFTER_S + 0.1)

    assert server.register(heartbeat(FIRST, 3))
    assert server.process == ServerProcess("i-1", FIRST)

    # If that heartbeat was merely late, the later process is accepted again.
    assert server.register(heartbeat(SECOND, 31))
    assert server.process == ServerProcess("i-1", SECOND)


def test_later_process_that_leaves_at_once_gets_no_requests(server):
    server.register(heartbeat(FIRST, 5))

    server.register(heartbeat(SECOND, 1, leaving=True))

    assert refusal_code(server) is ResultCode.LEAVING
    assert not server.register(heartbeat(SECOND, 0))
    assert server.register(heartbeat(THIRD, 1))


def test_deregistration_without_start_time_applies_to_the_current_process(
    server,
):
    server.register(heartbeat(FIRST, 5))

    server.mark_leaving(ServerProcess("i-1"))

    assert refusal_code(server) is ResultCode.LEAVING
    assert server.register(heartbeat(SECOND, 1))


def test_leaving_record_applies_to_one_process(server):
    server.mark_leaving(ServerProcess.from_key(ServerProcess("i-1", FIRST).key))

    assert not server.register(heartbeat(FIRST, 8))
    assert server.register(heartbeat(SECOND, 1))


def test_leaving_record_without_start_time_applies_to_the_incarnation(server):
    server.mark_leaving(ServerProcess.from_key("i-1"))

    assert not server.register(heartbeat(FIRST, 8))


def test_process_known_by_its_responses_may_state_its_start_time_later(server):
    server.register(heartbeat(0, 1))

    assert not server.register(heartbeat(FIRST, 2))

    assert server.process == ServerProcess("i-1", FIRST)
    assert server.process_count == 1


@pytest.mark.parametrize(
    "process",
    [
        ServerProcess("i-1"),
        ServerProcess("i-1", 5),
        ServerProcess("a@b", 7),
        ServerProcess("a@b"),
        ServerProcess("a@5"),
    ],
)
def test_key_identifies_its_process(process):
    assert ServerProcess.from_key(process.key) == process


def test_process_known_by_its_responses_may_leave_and_restart(server):
    server.register(heartbeat(0, 0))

    server.register(heartbeat(FIRST, 3, leaving=True))

    assert refusal_code(server) is ResultCode.LEAVING
    assert not server.register(heartbeat(FIRST, 4))
    assert server.register(heartbeat(SECOND, 1))
