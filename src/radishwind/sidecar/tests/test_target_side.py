"""What a server gets: nothing where it is emptied, little while cold."""

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
from radishwind.settings.placed import PlacedSettings
from radishwind.sidecar.target_side import SidecarTarget
from radishwind.target.dialect import ResponseMetadata
from radishwind.target.registered_server import Registration
from radishwind.target.warmup_limiter import WINDOW_S

pytestmark = pytest.mark.anyio

HERE = Address("10.0.0.1", 80)
MOST = 17


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


class Beside:
    """A target side with a server that answers at once, or when let."""

    def __init__(self, per_s=7.0):
        self.clock = ManualClock()
        self.sender = InProcessSender()
        self.sender.handlers[HERE] = self.answer
        self.go = anyio.Event()
        self.go.set()
        self.target = SidecarTarget(
            settings=settings(),
            clock=self.clock,
            sender=self.sender,
            dialect=PlatformDialect(),
            rumor_bus=NullRumorBus(),
            on_ready_changed=lambda ready: None,
            learns_for_others=lambda: True,
        )
        self.target.adopt(config(per_s))
        self.clock.advance(WINDOW_S)

    async def answer(self, request):
        await self.go.wait()
        signed = ("Response-Signature", "x")
        name = ("Attempt-Id", "1")
        return Response(200, (signed, name), b"ok", 2)

    def beat(self, cold_s=0.0, incarnation="i-1", order=1):
        self.target.register(
            Registration(incarnation, "s", HERE, 5, False, cold_s, order)
        )

    def empty(self, *names, revision=1):
        told = EvacuatedDomains(revision, frozenset(names))
        self.target.apply_evacuation(told)

    async def run(self, rank=0):
        call = make_call(
            request=Request("GET", "/", (("Attempt-Id", "1"),)), priority=rank
        )
        outcome = (await self.target.pipeline.run(call)).outcome
        return None if isinstance(outcome, Done) else outcome.code

    async def burst(self, count):
        return [await self.run() for _ in range(count)]


async def test_an_emptied_server_gets_nothing_and_its_node_says_not_run():
    beside = Beside()
    beside.beat()

    beside.empty("a")

    assert await beside.run() is ResultCode.DOMAIN_EMPTIED
    assert beside.sender.sent == []
    assert beside.target.pipeline.load_report().leaving
    assert beside.target._view() is None


@pytest.mark.parametrize("names", [(), ("b",), ("unknown",)])
async def test_servers_of_other_failure_domains_are_used_on(names):
    beside = Beside()
    beside.beat()

    beside.empty(*names)

    assert await beside.run() is None


async def test_what_waits_when_it_is_emptied_goes_elsewhere_at_once():
    beside = Beside()
    beside.beat()
    beside.go = anyio.Event()
    codes = []

    async def one():
        codes.append(await beside.run())

    async with anyio.create_task_group() as tasks:
        for _ in range(8):
            tasks.start_soon(one)
        await anyio.wait_all_tasks_blocked()
        assert beside.target.admission.queued == 3
        beside.empty("a")
        await anyio.wait_all_tasks_blocked()
        assert codes == [ResultCode.DOMAIN_EMPTIED] * 3
        beside.go.set()

    assert codes[3:] == [None] * 5
    assert len(beside.sender.sent) == 5


async def test_one_taken_back_is_cold_until_it_tells_anew():
    beside = Beside()
    beside.beat()
    beside.empty("a")
    asked_before = beside.clock.monotonic()
    beside.clock.advance(5.0)
    beside.empty(revision=2)

    beside.target._on_health_response(
        ResponseMetadata(warmup_left_s=0.0), True, asked_before
    )
    codes = await beside.burst(MOST + 5)

    assert codes == [None] * MOST + [ResultCode.SERVER_COLD] * 5
    now = beside.clock.monotonic()
    beside.target._on_health_response(
        ResponseMetadata(warmup_left_s=0.0), True, now
    )
    assert await beside.run() is None


async def test_a_server_that_fell_and_stands_again_is_cold_until_it_tells():
    beside = Beside()
    beside.beat()
    beside.target.server.mark_unreachable()
    asked = beside.clock.monotonic()

    beside.target._on_health_response(
        ResponseMetadata(warmup_left_s=2.9), True, asked
    )

    assert (await beside.burst(MOST + 1))[-1] is ResultCode.SERVER_COLD


async def test_another_incarnation_that_answers_is_cold_until_it_tells():
    beside = Beside()
    beside.beat()
    assert (await beside.burst(40))[-1] is None

    beside.target._on_server_replaced("i-1", "i-2")

    assert await beside.run() is ResultCode.SERVER_COLD


async def test_a_server_that_nobody_told_of_is_bounded_from_the_first_on():
    beside = Beside()
    beside.target._on_health_response(
        ResponseMetadata(incarnation="i-1"), True, beside.clock.monotonic()
    )

    assert (await beside.burst(MOST + 1))[-1] is ResultCode.SERVER_COLD


async def test_where_nothing_is_configured_a_cold_server_gets_all_that_comes():
    beside = Beside(per_s=None)
    beside.beat(cold_s=3.0)

    assert set(await beside.burst(60)) == {None}
    assert beside.target.pipeline.load_report().warmup_requests_left is None


async def test_the_load_tells_how_many_a_cold_server_still_takes():
    beside = Beside()
    beside.beat(cold_s=3.0)
    await beside.burst(MOST - 2)

    assert beside.target.pipeline.load_report().warmup_requests_left == 2


async def test_a_new_law_holds_at_once():
    beside = Beside(per_s=None)
    beside.beat(cold_s=3.0)
    await beside.burst(30)

    beside.target.adopt(config(7.0))

    assert await beside.run() is ResultCode.SERVER_COLD
