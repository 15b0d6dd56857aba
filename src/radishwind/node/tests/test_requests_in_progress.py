"""Tests for which requests a planned stop waits."""

import anyio
import anyio.lowlevel
import pytest

from radishwind.core import ManualClock
from radishwind.http import Request
from radishwind.http import Response
from radishwind.node.requests_in_progress import RequestsInProgress
from radishwind.peers.attempts import is_forwarded_attempt

ATTEMPT = Request("GET", "/a", (("Radishwind-Node-Attempt", "[]"),))
GOSSIP = Request("POST", "/radishwind/v1/gossip")

pytestmark = pytest.mark.anyio


async def respond(request):
    return Response(200, (), b"ok")


async def test_only_responses_to_attempts_request_connection_close():
    requests = RequestsInProgress(respond, ManualClock(), is_forwarded_attempt)
    assert (await requests.handle(ATTEMPT)).headers == ()

    requests.request_connection_close()

    assert (await requests.handle(ATTEMPT)).headers == (
        ("Connection", "close"),
    )
    assert (await requests.handle(GOSSIP)).headers == ()


async def test_quiet_period_begins_with_the_last_attempt():
    clock = ManualClock()
    requests = RequestsInProgress(respond, clock, is_forwarded_attempt)
    done = anyio.Event()

    async def wait():
        await requests.wait_quiet(0.01)
        done.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait)
        for _ in range(3):
            clock.advance(0.009)
            await requests.handle(ATTEMPT)
            await anyio.sleep(0.02)
            assert not done.is_set()
        clock.advance(0.009)
        await requests.handle(GOSSIP)
        clock.advance(0.009)
        with anyio.fail_after(5):
            await done.wait()


async def test_idle_once_the_last_request_has_its_response():
    release = anyio.Event()

    async def respond_late(request):
        await release.wait()
        return Response(200)

    requests = RequestsInProgress(respond_late, ManualClock())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(requests.handle, ATTEMPT)
        await anyio.lowlevel.checkpoint()
        assert requests.count == 1
        release.set()
        await requests.wait_idle()
    assert requests.count == 0
