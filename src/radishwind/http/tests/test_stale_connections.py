"""A server that forgets connections which rested is asked on new ones."""

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


def rest(server, for_s):
    """Lets the idle connections of the sender have rested so long."""
    idle = server.sender._pools[server.address].idle
    for conn in idle:
        conn.idle_since -= for_s
    return len(idle)


@pytest.fixture(autouse=True)
def patient(monkeypatch):
    """A busy machine must not make a break at once look like a late one."""
    monkeypatch.setattr(httptools_sender, "STALE_DETECTION_S", 30.0)


async def test_what_rested_as_long_is_not_used_again_for_a_while():
    async def script(count, writer):
        if count == 2:
            reset(writer)
            return
        writer.write(ANSWER % count)
        await writer.drain()

    RawServer.sender_type = HttptoolsSender
    async with RawServer(script) as server:
        await server.ask()
        rest(server, 1.0)
        with pytest.raises(ExchangeBrokenError):
            await server.ask("POST")
        await server.ask()
        assert rest(server, 0.6) == 1
        kept = server.sender._pools[server.address].idle[0]

        await server.ask()

        assert not kept.usable
        assert server.requests == ["GET", "POST", "GET", "GET"]


def test_the_trust_comes_back_and_is_never_less_than_the_least():
    pool = httptools_sender._Pool()
    pool.record_stale(0.4, 10.0)
    assert pool.max_idle_s(11.0) == pytest.approx(0.2)
    pool.record_stale(0.01, 12.0)
    assert pool.max_idle_s(13.0) == MIN_IDLE_LIMIT_S
    assert math.isinf(pool.max_idle_s(12.0 + IDLE_LIMIT_DURATION_S))
