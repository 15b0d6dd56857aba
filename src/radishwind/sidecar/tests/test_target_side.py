"""Requests sent to a server whose domain is evacuated, or that is cold."""

import anyio
import pytest
from tests.support.calls import make_call
from tests.support.in_process_sender import InProcessSender

from radishwind.core import ManualClock
from radishwind.core.codes import ResultCode
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.membership.rumor_bus import NullRumorBus
from radishwind.outcomes.model import Done
from radishwind.platform import PlatformDialect
from radishwind.routes.evacuation import EvacuatedDomains
from radishwind.routes.model import RouteConfig
from radishwind.routes.model import ServiceInfo
from radishwind.settings.placed_settings import PlacedSettings
from radishwind.sidecar.target_side import SidecarTarget
from radishwind.target.dialect import ResponseMetadata
from radishwind.target.registered_server import Registration
from radishwind.target.warmup_limiter import WINDOW_S

pytestmark = pytest.mark.anyio

HERE = Address("10.0.0.1", 80)
MAX_COLD = 17


@pytest.fixture
def anyio_backend():
    return "asyncio"


def config(per_s=7.0):
    info = ServiceInfo("s", "/health", 100, 3.0, per_s)
    return RouteConfig(1, (), {"s": info})


def settings():
    return PlacedSettings(
        node="t-1",
        service="s",
        failure_domain="a",
        failure_domains=("a", "b"),
        host="10.0.0.1",
        peer_port=7600,
        callers=HERE,
        ready=HERE,
        control=HERE,
        server=HERE,
        store=HERE,
        metrics_port=0,
        heartbeat_s=1.5,
        drain_s=2.0,
        stop_grace_s=6.0,
        ack_s=4.0,
        retry_share=0.2,
        retry_slack=20.0,
        retry_window_s=10.0,
        cold_over=1.5,
        cold_slack=8.0,
    )


class LocalServer:
    """A target side whose server answers at once, or once allowed to."""

    def __init__(self, per_s=7.0):
        self.clock = ManualClock()
        self.sender = InProcessSender()
        self.sender.handlers[HERE] = self.answer
        self.may_answer = anyio.Event()
        self.may_answer.set()
        self.target = SidecarTarget(
            settings=settings(),
            clock=self.clock,
            sender=self.sender,
            dialect=PlatformDialect(),
            rumor_bus=NullRumorBus(),
            on_ready_changed=lambda ready: None,
            is_early_learner=lambda: True,
        )
        self.target.adopt(config(per_s))
        self.clock.advance(WINDOW_S)

    async def answer(self, request):
        await self.may_answer.wait()
        signed = ("Response-Signature", "x")
        name = ("Attempt-Id", "1")
        return Response(200, (signed, name), b"ok", 2)

    def send_heartbeat(self, warmup_left_s=0.0, incarnation="i-1", order=1):
        self.target.register(
            Registration(incarnation, "s", HERE, 5, False, warmup_left_s, order)
        )

    def evacuate(self, *names, revision=1):
        domains = EvacuatedDomains(revision, frozenset(names))
        self.target.apply_evacuation(domains)

    async def run(self, priority=0):
        call = make_call(
            request=Request("GET", "/", (("Attempt-Id", "1"),)),
            priority=priority,
        )
        outcome = (await self.target.pipeline.run(call)).outcome
        return None if isinstance(outcome, Done) else outcome.code

    async def burst(self, count):
        return [await self.run() for _ in range(count)]


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
    assert local.target.pipeline.load_report().warmup_requests_left is None


async def test_load_report_states_remaining_requests_of_cold_server():
    local = LocalServer()
    local.send_heartbeat(warmup_left_s=3.0)
    await local.burst(MAX_COLD - 2)

    assert local.target.pipeline.load_report().warmup_requests_left == 2


async def test_new_warmup_limit_applies_at_once():
    local = LocalServer(per_s=None)
    local.send_heartbeat(warmup_left_s=3.0)
    await local.burst(30)

    local.target.adopt(config(7.0))

    assert await local.run() is ResultCode.SERVER_COLD
