"""Requests sent to a server whose domain is evacuated, or that is cold."""

import anyio
import pytest
from tests.support.local_server import config
from tests.support.local_server import LocalServer
from tests.support.local_server import MAX_COLD

from radishwind.core.codes import ResultCode
from radishwind.target.dialect import ResponseMetadata

pytestmark = pytest.mark.anyio


async def test_evacuated_server_gets_nothing_and_node_reports_not_run():
    local = LocalServer()
    local.send_heartbeat()

    local.evacuate("a")

    assert await local.run() is ResultCode.DOMAIN_EMPTIED
    assert local.sender.sent == []
    assert local.target.pipeline.load_report().leaving
    assert local.target._view() is None


@pytest.mark.parametrize("names", [(), ("b",), ("unknown",)])
async def test_servers_of_other_failure_domains_stay_in_use(names):
    local = LocalServer()
    local.send_heartbeat()

    local.evacuate(*names)

    assert await local.run() is None


async def test_evacuation_refuses_queued_requests_at_once():
    local = LocalServer()
    local.send_heartbeat()
    local.may_answer = anyio.Event()
    codes = []

    async def one():
        codes.append(await local.run())

    async with anyio.create_task_group() as tasks:
        for _ in range(8):
            tasks.start_soon(one)
        await anyio.wait_all_tasks_blocked()
        assert local.target.admission.queued == 3
        local.evacuate("a")
        await anyio.wait_all_tasks_blocked()
        assert codes == [ResultCode.DOMAIN_EMPTIED] * 3
        local.may_answer.set()

    assert codes[3:] == [None] * 5
    assert len(local.sender.sent) == 5


async def test_server_is_cold_after_evacuation_until_it_reports():
    local = LocalServer()
    local.send_heartbeat()
    local.evacuate("a")
    sent_before = local.clock.monotonic()
    local.clock.advance(5.0)
    local.evacuate(revision=2)

    local.target._on_health_response(
        ResponseMetadata(warmup_left_s=0.0), True, sent_before
    )
    codes = await local.burst(MAX_COLD + 5)

    assert codes == [None] * MAX_COLD + [ResultCode.SERVER_COLD] * 5
    now = local.clock.monotonic()
    local.target._on_health_response(
        ResponseMetadata(warmup_left_s=0.0), True, now
    )
    assert await local.run() is None


async def test_server_reachable_again_is_cold_until_it_reports():
    local = LocalServer()
    local.send_heartbeat()
    local.target.server.mark_unreachable()
    sent_at = local.clock.monotonic()

    local.target._on_health_response(
        ResponseMetadata(warmup_left_s=2.9), True, sent_at
    )

    assert (await local.burst(MAX_COLD + 1))[-1] is ResultCode.SERVER_COLD


async def test_other_incarnation_that_answers_is_cold_until_it_reports():
    local = LocalServer()
    local.send_heartbeat()
    assert (await local.burst(40))[-1] is None

    local.target._on_server_replaced("i-1", "i-2")

    assert await local.run() is ResultCode.SERVER_COLD


async def test_server_without_heartbeat_is_limited_from_first_request():
    local = LocalServer()
    local.target._on_health_response(
        ResponseMetadata(incarnation="i-1"), True, local.clock.monotonic()
    )

    assert (await local.burst(MAX_COLD + 1))[-1] is ResultCode.SERVER_COLD


async def test_cold_server_without_configured_limit_gets_all_requests():
    local = LocalServer(per_s=None)
    local.send_heartbeat(warmup_left_s=3.0)

    assert set(await local.burst(60)) == {None}
    assert local.target.pipeline.load_report().requests_left is None


async def test_load_report_states_remaining_requests_of_cold_server():
    local = LocalServer()
    local.send_heartbeat(warmup_left_s=3.0)
    await local.burst(MAX_COLD - 2)

    assert local.target.pipeline.load_report().requests_left == 2


async def test_new_warmup_limit_applies_at_once():
    local = LocalServer(per_s=None)
    local.send_heartbeat(warmup_left_s=3.0)
    await local.burst(30)

    local.target.adopt(config(7.0))

    assert await local.run() is ResultCode.SERVER_COLD
