"""Connections that a server dropped silently while idle are not reused.

The next request on such a connection is reset, and whether it was executed is
unknown.
"""

import math

import pytest

from radishwind.http import httptools_sender
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.httptools_sender import HttptoolsSender
from radishwind.http.httptools_sender import IDLE_LIMIT_DURATION_S
from radishwind.http.httptools_sender import MIN_IDLE_LIMIT_S
from radishwind.http.tests.test_malformed_responses import ANSWER
from radishwind.http.tests.test_malformed_responses import RawServer
from radishwind.http.tests.test_malformed_responses import reset

pytestmark = pytest.mark.anyio


def age_idle_connections(server, for_s):
    """Makes the idle connections of the sender idle for `for_s` longer."""
    idle = server.sender._pools[server.address].idle
    for conn in idle:
        conn.idle_since -= for_s
    return len(idle)


@pytest.fixture(autouse=True)
def long_detection_time(monkeypatch):
    """Keeps an immediate reset from counting as a late one under load."""
    monkeypatch.setattr(httptools_sender, "STALE_DETECTION_S", 30.0)


async def test_connections_idle_as_long_are_not_reused_for_a_while():
    async def script(count, writer):
        if count == 2:
            reset(writer)
            return
        writer.write(ANSWER % count)
        await writer.drain()

    RawServer.sender_type = HttptoolsSender
    async with RawServer(script) as server:
        await server.ask()
        age_idle_connections(server, 1.0)
        with pytest.raises(ExchangeBrokenError):
            await server.ask("POST")
        await server.ask()
        assert age_idle_connections(server, 0.6) == 1
        kept = server.sender._pools[server.address].idle[0]

        await server.ask()

        assert not kept.is_usable
        assert server.requests == ["GET", "POST", "GET", "GET"]


def test_idle_limit_expires_and_has_a_minimum():
    pool = httptools_sender._Pool()
    pool.record_stale(0.4, 10.0)
    assert pool.max_idle_s(11.0) == pytest.approx(0.2)
    pool.record_stale(0.01, 12.0)
    assert pool.max_idle_s(13.0) == MIN_IDLE_LIMIT_S
    assert math.isinf(pool.max_idle_s(12.0 + IDLE_LIMIT_DURATION_S))
