"""A server may start again under the incarnation that it had."""

import pytest
from tests.support.registered import code
from tests.support.registered import HERE
from tests.support.registered import registered

from radishwind.core import ManualClock
from radishwind.core.codes import ResultCode
from radishwind.target.registered_server import ACCEPT_OLDER_AFTER_S
from radishwind.target.registered_server import Registration
from radishwind.target.server_process import ServerProcess

FIRST, SECOND, THIRD = 1_000_000, 1_060_000, 1_120_000


def told(started_ms, order=1, leaving=False, incarnation="i-1", cold_s=0.0):
    return Registration(
        incarnation, "s", HERE, 6, leaving, cold_s, order, started_ms
    )


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def server(clock):
    return registered(clock)


def test_a_later_life_comes_back_after_the_one_before_left(server):
    server.register(told(FIRST, 9))
    server.register(told(FIRST, 10, leaving=True))
    assert code(server) is ResultCode.LEAVING

    assert server.register(told(SECOND, 1))

    assert code(server) is None
    assert server.process == ServerProcess("i-1", SECOND)


def test_its_heartbeats_count_anew(server, clock):
    server.register(told(FIRST, 500))
    server.register(told(SECOND, 1, cold_s=3.0))
    assert server.warm_fraction(clock.monotonic()) < 1.0

    server.register(told(SECOND, 2, cold_s=0.0))

    assert server.warm_fraction(clock.monotonic()) == 1.0


@pytest.mark.parametrize("leaving", [False, True])
def test_what_the_former_life_says_late_changes_nothing(server, leaving):
    server.register(told(FIRST, 5))
    server.register(told(SECOND, 1))

    server.register(told(FIRST, 6, leaving=leaving))

    assert server.process == ServerProcess("i-1", SECOND)
    assert code(server) is None


def test_a_former_life_that_was_never_heard_of_is_late_as_well(server):
    server.register(told(SECOND, 3))

    server.register(told(FIRST, 90))

    assert server.process == ServerProcess("i-1", SECOND)


def test_a_clock_that_stepped_back_shuts_nobody_out_for_good(server, clock):
    server.register(told(SECOND, 30))
    clock.advance(ACCEPT_OLDER_AFTER_S + 0.1)

    assert server.register(told(FIRST, 3))
    assert server.process == ServerProcess("i-1", FIRST)

    # Should it have been a late word after all, the later life comes back.
    assert server.register(told(SECOND, 31))
    assert server.process == ServerProcess("i-1", SECOND)


def test_a_later_life_that_leaves_at_once_gets_nothing(server):
    server.register(told(FIRST, 5))

    server.register(told(SECOND, 1, leaving=True))

    assert code(server) is ResultCode.LEAVING
    assert not server.register(told(SECOND, 0))
    assert server.register(told(THIRD, 1))


def test_the_end_of_a_registration_that_names_no_start_is_the_present_ones(
    server,
):
    server.register(told(FIRST, 5))

    server.mark_leaving(ServerProcess("i-1"))

    assert code(server) is ResultCode.LEAVING
    assert server.register(told(SECOND, 1))


def test_a_record_binds_one_life(server):
    server.mark_leaving(ServerProcess.from_key(ServerProcess("i-1", FIRST).key))

    assert not server.register(told(FIRST, 8))
    assert server.register(told(SECOND, 1))


def test_a_record_without_start_binds_whoever_has_the_incarnation(server):
    server.mark_leaving(ServerProcess.from_key("i-1"))

    assert not server.register(told(FIRST, 8))


def test_one_known_by_its_answers_is_the_one_that_tells_its_start(server):
    server.register(told(0, 1))

    assert not server.register(told(FIRST, 2))

    assert server.process == ServerProcess("i-1", FIRST)
    assert server.process_count == 1


@pytest.mark.parametrize(
    "life",
    [
        ServerProcess("i-1"),
        ServerProcess("i-1", 5),
        ServerProcess("a@b", 7),
        ServerProcess("a@b"),
        ServerProcess("a@5"),
    ],
)
def test_a_key_names_its_life(life):
    assert ServerProcess.from_key(life.key) == life


def test_one_known_by_its_answers_that_leaves_may_start_again(server):
    server.register(told(0, 0))

    server.register(told(FIRST, 3, leaving=True))

    assert code(server) is ResultCode.LEAVING
    assert not server.register(told(FIRST, 4))
    assert server.register(told(SECOND, 1))
