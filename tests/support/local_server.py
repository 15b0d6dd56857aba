"""A target side and its backend server in one process, for tests."""

import anyio

from radishwind.core import ManualClock
from radishwind.http.types import Address
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.membership.rumor_bus import NullRumorBus
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import Outcome
from radishwind.platform import PlatformDialect
from radishwind.routes.evacuation import EvacuatedDomains
from radishwind.routes.model import RouteConfig
from radishwind.routes.model import ServiceInfo
from radishwind.settings.placed_settings import PlacedSettings
from radishwind.sidecar.target_side import SidecarTarget
from radishwind.target.registered_server import Registration
from radishwind.target.warmup import WINDOW_S
from tests.support.calls import make_call
from tests.support.in_process_sender import InProcessSender

HERE = Address("10.0.0.1", 80)
HEALTH_PATH = "/health"

#: Requests that a cold server gets in any second.
MAX_COLD = 17


def config(per_s=7.0):
    info = ServiceInfo("s", HEALTH_PATH, 100, 3.0, per_s)
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
    """A target side whose server answers at once, or once allowed to.

    Attributes:
      clock: the clock of the target side.
      target: the target side.
      fields: header fields of each response to a request.
      health_fields: header fields of each response to a health check.
      sent_at: when each request reached the server (monotonic s).
      checked_at: when each health check did (monotonic s).
    """

    def __init__(self, per_s=7.0, *, clock=None, rumor_bus=None):
        self.clock = clock or ManualClock()
        self.sender = InProcessSender()
        self.sender.handlers[HERE] = self.answer
        self.may_answer = anyio.Event()
        self.may_answer.set()
        self.fields: Headers = ()
        self.health_fields: Headers = ()
        self.sent_at: list[float] = []
        self.checked_at: list[float] = []
        self.target = SidecarTarget(
            settings=settings(),
            clock=self.clock,
            sender=self.sender,
            check_sender=self.sender,
            dialect=PlatformDialect(),
            rumor_bus=rumor_bus or NullRumorBus(),
            on_ready_changed=lambda ready: None,
            is_early_learner=lambda: True,
        )
        self.target.adopt(config(per_s))
        self.clock.advance(WINDOW_S)

    async def answer(self, request):
        if request.path == HEALTH_PATH:
            self.checked_at.append(self.clock.monotonic())
            return Response(200, self.health_fields, b"", 0)
        self.sent_at.append(self.clock.monotonic())
        await self.may_answer.wait()
        signed = ("Response-Signature", "x")
        name = ("Attempt-Id", "1")
        return Response(200, (signed, name, *self.fields), b"ok", 2)

    def send_heartbeat(self, warmup_left_s=0.0, incarnation="i-1", order=1):
        self.target.register(
            Registration(incarnation, "s", HERE, 5, False, warmup_left_s, order)
        )

    def evacuate(self, *names, revision=1):
        domains = EvacuatedDomains(revision, frozenset(names))
        self.target.apply_evacuation(domains)

    async def attempt(self, priority=0) -> Outcome:
        """Runs an attempt and returns its outcome."""
        call = make_call(
            request=Request("GET", "/", (("Attempt-Id", "1"),)),
            priority=priority,
        )
        return (await self.target.pipeline.run(call)).outcome

    async def run(self, priority=0):
        """Runs an attempt; returns the code of a refusal, `None` if it ran."""
        outcome = await self.attempt(priority)
        return None if isinstance(outcome, Done) else outcome.code

    async def burst(self, count):
        return [await self.run() for _ in range(count)]

    async def check(self):
        """Sends a health check."""
        await self.target.load_poller.send_check(self.target._view())

    async def offer(self, per_s, for_s, priority=0):
        """Runs attempts at a constant rate and a health check when one is due.

        Returns:
          The result of each attempt, as `run` returns it.
        """
        results = []
        for _ in range(round(per_s * for_s)):
            self.clock.advance(1 / per_s)
            if self.target.load_monitor.next_check_s() <= 0:
                self.target.load_monitor.record_check_sent()
                await self.check()
            results.append(await self.run(priority))
        return results
