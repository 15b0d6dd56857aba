import pytest

from radishwind.core import ManualClock
from radishwind.core import ResultCode
from radishwind.http import Address
from radishwind.http import Request
from radishwind.target.announcement_handler import AnnouncementHandler
from radishwind.target.backend_server import Announcement
from radishwind.target.backend_server import AnnouncementRefusedError
from radishwind.target.backend_server import BackendServer
from radishwind.target.backend_server import ServerState

ADDRESS = "127.0.0.1:9000"


def test_nothing_is_sent_before_the_server_is_listed_and_announced():
    server = BackendServer("a", None)
    assert server.refusal().code is ResultCode.TARGET_UNLISTED

    server.set_listed(True)
    assert server.refusal().code is ResultCode.SERVER_UNANNOUNCED

    assert server.accept_announcement(
        Announcement("a", ADDRESS, instance="1"), 0.0
    )
    assert server.refusal() is None
    assert server.view.address == Address("127.0.0.1", 9000)

    server.set_listed(False)
    assert server.refusal().code is ResultCode.TARGET_UNLISTED


def test_ready_is_told_once_at_each_change():
    told = []
    server = BackendServer("a", None, told.append)
    assert not server.ready

    server.accept_announcement(Announcement("a", ADDRESS), 0.0)
    server.accept_announcement(Announcement("a", ADDRESS), 1.0)
    server.record_health(ServerState.DRAINING, None)
    server.record_health(ServerState.READY, None)

    assert told == [True, False, True]


def test_announced_draining_outweighs_a_health_answer_of_ready():
    server = BackendServer("a", None)
    server.set_listed(True)
    server.accept_announcement(
        Announcement("a", ADDRESS, ServerState.DRAINING), 0.0
    )
    server.record_health(ServerState.READY, 1.0)
    assert server.refusal().code is ResultCode.LEAVING

    server.accept_announcement(Announcement("a", ADDRESS), 1.0)
    assert server.refusal() is None

    server.record_health(ServerState.DRAINING, None)
    assert server.draining


def test_a_new_start_is_cold_and_warms_up():
    server = BackendServer("a", None)
    for instance, fresh in (("1", True), ("1", False), ("2", True)):
        told = Announcement("a", ADDRESS, instance=instance, uptime_s=0.0)
        assert server.accept_announcement(told, 100.0) is fresh

    assert server.warm_fraction(100.0) == pytest.approx(0.1)
    assert server.warm_fraction(105.0) == pytest.approx(0.5)
    server.record_health(ServerState.READY, 0.9)
    assert server.warm_fraction(105.0) == pytest.approx(0.9)


def test_an_announcement_for_another_target_is_refused():
    server = BackendServer("a", None)
    with pytest.raises(AnnouncementRefusedError, match="expected target 'a'"):
        server.accept_announcement(Announcement("b", ADDRESS), 0.0)
    assert server.view is None


@pytest.mark.anyio
@pytest.mark.parametrize(
    "body", [b"", b"{", b'{"target": "a"}', b'{"target":"a","address":"x"}']
)
async def test_a_malformed_announcement_gets_a_numbered_error(body):
    started = []
    handler = AnnouncementHandler(
        ManualClock(), BackendServer("a", None), lambda: started.append(1)
    )

    answer = await handler.handle(
        Request("POST", "/v1/server", (), body, len(body))
    )

    assert answer.status == 400
    assert ("Radishwind-Code", "2006") in answer.headers
    assert not started
