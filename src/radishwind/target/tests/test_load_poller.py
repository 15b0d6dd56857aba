"""Which responses a health check accepts, and what a failed one means."""

import pytest
from tests.support.cutting_proxy import CutEnd
from tests.support.cutting_server import CuttingServer

from radishwind.core import ManualClock
from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.errors import ResponseTooLongError
from radishwind.http.httptools_sender import HttptoolsSender
from radishwind.http.tests.test_senders import raw_server
from radishwind.http.types import Address
from radishwind.platform import PlatformDialect
from radishwind.target.backend_server import ServerView
from radishwind.target.load_monitor import LoadMonitor
from radishwind.target.load_poller import LoadPoller

pytestmark = pytest.mark.anyio

HEALTHY = (
    b"HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nServer-Load: 1,0,6,100\r\n"
    b"Content-Length: 0\r\n\r\n"
)
TO_REQUEST = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: 9c\r\nServer-Load: 5,5,6,900\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class FailingSender:
    def __init__(self, error):
        self.error = error

    async def send(self, address, request, connect_timeout_s, check=None):
        raise self.error


class Poller:
    def __init__(self, sender):
        clock = ManualClock()
        self.monitor = LoadMonitor(clock)
        self.responses = []
        self.unreachable_count = 0
        self.poller = LoadPoller(
            clock=clock,
            sender=sender,
            dialect=PlatformDialect(),
            monitor=self.monitor,
            view=lambda: None,
            on_sent=lambda: None,
            on_response=lambda *response: self.responses.append(response),
            on_unreachable=self._count_unreachable,
        )

    def _count_unreachable(self):
        self.unreachable_count += 1

    async def check(self, address=None):
        """Returns whether no invalid response came."""
        view = ServerView(
            address or Address("10.0.0.1", 1), health_path="/health"
        )
        return await self.poller.send_check(view)


async def test_late_response_to_a_request_is_not_taken_for_a_health_response():
    async with raw_server([TO_REQUEST, HEALTHY]) as (server, address):
        sender = HttptoolsSender(1)
        poller = Poller(sender)

        assert not await poller.check(address)
        assert poller.responses == []
        assert poller.monitor.load is None

        assert await poller.check(address)
        assert poller.monitor.load.in_flight == 1
        assert server.connections == 2
        assert poller.unreachable_count == 0
        await sender.close()


@pytest.mark.parametrize(
    ("error", "is_unreachable"),
    [
        (ResponseTooLongError("too long"), False),
        (ExchangeBrokenError("reset"), True),
        (ConnectFailedError("refused"), True),
        (TimeoutError(), False),
    ],
)
async def test_only_a_broken_connection_makes_the_server_unreachable(
    error, is_unreachable
):
    poller = Poller(FailingSender(error))
    await poller.check()
    assert poller.unreachable_count == is_unreachable


async def test_health_response_cut_at_any_byte_states_nothing():
    sender = HttptoolsSender(1)
    poller = Poller(sender)
    raw = HEALTHY.replace(b"Length: 0", b"Length: 4") + b"fine"
    async with CuttingServer(raw) as server:
        for _ in server.cuts():
            await poller.check(server.address)
        assert poller.responses == []
        assert poller.monitor.load is None

        server.size, server.end = len(raw), CutEnd.CLOSE
        await poller.check(server.address)
        assert poller.monitor.load.in_flight == 1
    await sender.close()
