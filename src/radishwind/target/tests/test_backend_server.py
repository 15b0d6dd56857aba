"""The backend server by its announcements and health checks."""

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


def test_server_must_be_listed_and_announced_to_get_requests():
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


def test_callback_runs_once_at_each_change_of_ready():
    changes = []
    server = BackendServer("a", None, changes.append)
    assert not server.is_ready

    server.accept_announcement(Announcement("a", ADDRESS), 0.0)
    server.accept_announcement(Announcement("a", ADDRESS), 1.0)
    server.record_health(ServerState.DRAINING, None)
    server.record_health(ServerState.READY, None)

    assert changes == [True, False, True]


def test_announced_draining_overrides_health_check_of_ready():
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
    assert server.is_draining


def test_new_start_is_cold_and_warms_up():
    server = BackendServer("a", None)
    for instance, is_new in (("1", True), ("1", False), ("2", True)):
        announcement = Announcement(
            "a", ADDRESS, instance=instance, uptime_s=0.0
        )
        assert server.accept_announcement(announcement, 100.0) is is_new

    assert server.warm_fraction(100.0) == pytest.approx(0.1)
    assert server.warm_fraction(105.0) == pytest.approx(0.5)
    server.record_health(ServerState.READY, 0.9)
    assert server.warm_fraction(105.0) == pytest.approx(0.9)


def test_announcement_for_another_target_is_refused():
    server = BackendServer("a", None)
    with pytest.raises(AnnouncementRefusedError, match="expected target 'a'"):
        server.accept_announcement(Announcement("b", ADDRESS), 0.0)
    assert server.view is None


@pytest.mark.anyio
@pytest.mark.parametrize(
    "body", [b"", b"{", b'{"target": "a"}', b'{"target":"a","address":"x"}']
)
async def test_malformed_announcement_gets_error_with_code(body):
    started = []
    handler = AnnouncementHandler(
        ManualClock(), BackendServer("a", None), lambda: started.append(1)
    )

    response = await handler.handle(
        Request("POST", "/v1/server", (), body, len(body))
    )

    assert response.status == 400
    assert ("Radishwind-Code", "2006") in response.headers
    assert not started
