"""Cost of probes, through the real prober, budget, health and admission.

Guards against probes that use more than their share of slot time, or that are
sent to a full server.
"""

from unittest import mock

import anyio
import msgspec
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from radishwind.admission import AdmissionLimits
from radishwind.admission import Ticket
from radishwind.core import ManualClock
from radishwind.http import Address
from radishwind.http import ConnectFailedError
from radishwind.http import ExchangeBrokenError
from radishwind.http import Response
from radishwind.probing import ProbeBudget
from radishwind.probing import Prober
from radishwind.probing import prober as prober_module
from radishwind.probing.prober import POLL_INTERVAL_S
from radishwind.probing.prober import PROBE_TIMEOUT_S
from radishwind.target.backend_server import Announcement
from tests.support.in_process_sender import InProcessSender
from tests.support.targets import make_target_parts

scenarios("measuring.feature")

SERVER = Address("10.0.1.1", 80)
SHARE = 0.01
SLOTS = 9


class NoBudget(ProbeBudget):
    """Weak: allows every probe."""

    def allows(self, now: float) -> bool:
        return True


class ProbeScenario:
    """A prober and a server with a named fault."""

    def __init__(self) -> None:
        self.clock, self.sender = ManualClock(), InProcessSender()
        self.clock.advance(100.0)
        limits = AdmissionLimits(SLOTS, 250, 0, 10, 1.0)
        self.parts = make_target_parts(
            *("a", "s", self.clock, self.sender, SERVER, limits)
        )
        self.sender.handlers[SERVER] = self._handle
        self.prober = Prober(
            clock=self.clock,
            sender=self.sender,
            server=self.parts.server,
            admission=self.parts.admission,
            health=self.parts.health,
            on_connect_failed=lambda: None,
        )
        self.prober.set_budget_share(SHARE)
        self._announce(0)
        self.fault = ""
        self.joined_full = False
        self.cost_s = 0.0
        self.lines: list[str] = []

    def _announce(self, number: int) -> None:
        announcement = Announcement(
            "a",
            str(SERVER),
            instance=str(number),
            uptime_s=0.0,
            health_path="/healthz",
        )
        self.parts.server.accept_announcement(
            announcement, self.clock.monotonic()
        )

    async def _handle(self, request) -> Response:
        self.joined_full |= self.parts.admission.in_flight > SLOTS
        slow = "slow" in self.fault or "no answer" in self.fault
        cost_s = PROBE_TIMEOUT_S if slow else 0.006
        self.cost_s += cost_s
        at = self.clock.monotonic() - 100.0
        self.lines.append(f"{at:6.2f} s  node a  probes, {cost_s} s")
        self.clock.advance(cost_s)
        if "no answer" in self.fault:
            raise TimeoutError
        if "cut" in self.fault:
            raise ExchangeBrokenError("cut")
        if "no connection" in self.fault:
            raise ConnectFailedError("refused")
        if "fails fast" in self.fault:
            return Response(500, (), b"failed fast")
        state = "draining" if "drains" in self.fault else "ready"
        return Response(200, (), msgspec.json.encode({"state": state}))

    async def run(self, seconds: float) -> None:
        tickets = SLOTS if "busy" in self.fault else 0
        for _ in range(tickets):
            now = self.clock.monotonic()
            self.parts.admission.offer(
                Ticket("c", now + 9e9, now, lambda: None), now
            )
        end = self.clock.monotonic() + seconds
        number = 0
        while self.clock.monotonic() < end:
            number += 1
            if "anew" in self.fault:
                self._announce(number)
            await self.prober.tick()
            self.clock.advance(POLL_INTERVAL_S)


@pytest.fixture
def prober_budget():
    return {"budget": ProbeBudget}


@given("a prober without a budget")
def without_budget(prober_budget):
    prober_budget["budget"] = NoBudget


@given("a server of 9 slots with a probe share of 0.01")
def server():
    """Checks the constants that the scenario names."""
    assert (SLOTS, SHARE) == (9, 0.01)


@when(
    parsers.parse("the prober runs for {seconds:d} s while {fault}"),
    target_fixture="measured",
)
def probing(scenario_state, prober_budget, seconds, fault):
    budget = prober_budget["budget"]
    with mock.patch.object(prober_module, "ProbeBudget", budget):
        measured = ProbeScenario()
    measured.fault = fault
    anyio.run(measured.run, float(seconds))
    scenario_state.name = f"probing while {fault}"
    scenario_state.lines = measured.lines
    measured.allowed_s = SHARE * SLOTS * (seconds + 1) + PROBE_TIMEOUT_S
    return measured


@then("probes cost no more than their share of slot time")
def within(measured):
    assert measured.cost_s <= measured.allowed_s
    assert bool(measured.cost_s) is ("busy" not in measured.fault)


@then("probes cost more than their share of slot time")
def beyond(measured):
    assert measured.cost_s > measured.allowed_s


@then("no probe joined a full server")
def not_full(measured):
    assert not measured.joined_full
