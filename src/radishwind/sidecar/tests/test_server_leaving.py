"""A server that states in its responses that it is leaving gets no requests."""

import anyio
import pytest
from tests.support.local_server import LocalServer

from radishwind.core.codes import ResultCode

pytestmark = pytest.mark.anyio

LEAVING = (("Server-Leaving", "1"),)


async def test_server_gets_no_request_after_a_response_that_it_is_leaving():
    server = LocalServer()
    server.send_heartbeat()
    server.fields = LEAVING
    assert await server.run() is None

    assert await server.burst(3) == [ResultCode.LEAVING] * 3
    assert server.target.pipeline.load_report().leaving
    assert len(server.sent_at) == 1


async def test_server_gets_no_request_after_a_health_response_that_it_leaves():
    server = LocalServer()
    server.send_heartbeat()
    server.health_fields = (("Instance-Id", "i-1"), *LEAVING)

    await server.check()

    assert await server.run() is ResultCode.LEAVING


async def test_late_ready_heartbeat_does_not_bring_a_leaving_server_back():
    server = LocalServer()
    server.send_heartbeat()
    server.fields = LEAVING
    await server.run()

    server.send_heartbeat(order=2)

    assert await server.run() is ResultCode.LEAVING


async def test_next_incarnation_of_a_leaving_server_gets_requests():
    server = LocalServer()
    server.send_heartbeat()
    server.fields = LEAVING
    await server.run()
    server.fields = ()

    server.send_heartbeat(incarnation="i-2")

    assert await server.run() is None


async def test_notices_in_a_late_response_do_not_concern_the_next_process():
    server = LocalServer(per_s=None)
    server.send_heartbeat()
    server.fields = (*LEAVING, ("Server-Limit", "0"))
    server.may_answer = anyio.Event()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        await anyio.wait_all_tasks_blocked()
        server.clock.advance(0.1)
        server.send_heartbeat(incarnation="i-2")
        server.may_answer.set()

    server.fields = ()
    assert server.target.stated_limit.per_s is None
    assert await server.run() is None


async def test_leaving_server_is_not_registered_by_its_health_response():
    server = LocalServer()
    server.health_fields = (("Instance-Id", "i-1"), *LEAVING)

    await server.check()

    assert await server.run() is ResultCode.SERVER_UNANNOUNCED
