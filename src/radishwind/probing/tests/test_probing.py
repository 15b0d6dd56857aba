"""Probes cost little, join no full server and yield to real responses."""

import msgspec
import pytest
from tests.support.in_process_sender import Fault
from tests.support.in_process_sender import InProcessSender

from radishwind.admission import AdmissionLimits
from radishwind.admission import FairAdmission
from radishwind.admission import Ticket
from radishwind.core import ManualClock
from radishwind.http import Address
from radishwind.http import Response
from radishwind.probing import HealthEstimator
from radishwind.probing import ProbeBudget
from radishwind.probing import ProbePolicy
from radishwind.probing import Prober
from radishwind.probing.policy import Occupancy
from radishwind.probing.policy import ProbeDecision
from radishwind.target.backend_server import Announcement
from radishwind.target.backend_server import BackendServer

ADDRESS = Address("127.0.0.1", 9000)
FREE = Occupancy(9, 0, 0)


def make_policy(share=0.01):
    budget, health = ProbeBudget(), HealthEstimator()
    budget.set_rate(share, 9, 0.0)
    return ProbePolicy(budget, health), budget, health


def test_no_probe_after_a_recent_response():
    policy, _, health = make_policy()
    health.record_response(True, 9.5)
    assert policy.decide(FREE, False, 10.0) is ProbeDecision.TRAFFIC
    assert policy.decide(FREE, False, 10.5) is ProbeDecision.PROBE


@pytest.mark.parametrize("busy", [Occupancy(9, 9, 0), Occupancy(9, 8, 1)])
def test_no_probe_of_a_full_server(busy):
    policy, _, _ = make_policy()
    assert policy.decide(busy, True, 10.0) is ProbeDecision.FULL


@pytest.mark.parametrize("cost_s", [0.006, 0.2, 0.5])
def test_cost_of_probes_stays_within_the_budget(cost_s):
    policy, budget, _ = make_policy()
    now = 10.0
    while now < 1000.0:
        if policy.decide(FREE, True, now) is ProbeDecision.PROBE:
            policy.record_probe(cost_s, False, now)
        now += 0.05
    assert 0 < budget.spent_s <= 0.01 * 9 * 990 + 0.09 + cost_s


def test_no_probe_with_a_share_of_zero():
    policy, _, _ = make_policy(share=0.0)
    assert policy.decide(FREE, True, 1e6) is ProbeDecision.BUDGET


def test_failures_of_requests_take_precedence_over_successful_probes():
    health = HealthEstimator()
    for _ in range(10):
        health.record_response(False, 100.0)
    score_after_failures = health.score(100.0)
    for _ in range(20):
        health.record_probe(True, 100.5)

    assert score_after_failures < 0.2
    assert health.score(100.5) < 0.3
    for _ in range(20):
        health.record_response(True, 101.0)
    assert health.score(101.0) > 0.95


def test_failure_rate_decays_so_that_the_server_is_tried_again():
    health = HealthEstimator()
    for _ in range(30):
        health.record_response(False, 0.0)
    assert health.score(0.0) < 0.01
    assert health.score(15.0) > 0.8


class ProbedServer:
    """A prober with a server whose health response is set by the test."""

    def __init__(self):
        self.clock, self.sender = ManualClock(), InProcessSender()
        self.clock.advance(100.0)
        self.server = BackendServer("a", None)
        self.server.set_listed(True)
        announcement = Announcement("a", str(ADDRESS), health_path="/healthz")
        self.server.accept_announcement(announcement, 100.0)
        self.health = HealthEstimator()
        self.connect_failures = []
        self.admission = FairAdmission(AdmissionLimits(1, 10, 0, 8, 1.0))
        self.prober = Prober(
            clock=self.clock,
            sender=self.sender,
            server=self.server,
            admission=self.admission,
            health=self.health,
            on_connect_failed=lambda: self.connect_failures.append(True),
        )
        self.prober.set_budget_share(0.1)
        self.status = 200
        self.answer = {"state": "ready"}
        self.sender.handlers[ADDRESS] = self.handle
        self.clock.advance(10.0)

    async def handle(self, request):
        assert self.admission.in_flight == 1
        self.clock.advance(0.006)
        return Response(self.status, (), msgspec.json.encode(self.answer))


@pytest.mark.anyio
async def test_health_response_can_announce_draining():
    probed = ProbedServer()
    probed.answer = {"state": "draining", "warm": 1.0}
    await probed.prober.tick()

    assert probed.server.is_draining
    assert probed.admission.in_flight == 0
    status = probed.prober.status()
    assert status["probes"] == 1
    assert status["cost_s"] == pytest.approx(0.006)


@pytest.mark.anyio
async def test_failed_probe_lowers_the_score_without_requests():
    probed = ProbedServer()
    probed.sender.faults[ADDRESS] = Fault.REFUSED
    await probed.prober.tick()
    assert probed.health.score(probed.clock.monotonic()) < 1.0
    assert probed.connect_failures == [True]


@pytest.mark.anyio
async def test_json_without_a_state_does_not_override_an_error_status():
    probed = ProbedServer()
    probed.status, probed.answer = 500, {"error": "no database"}
    await probed.prober.tick()
    assert probed.health.score(probed.clock.monotonic()) < 1.0


@pytest.mark.anyio
async def test_prober_sends_nothing_to_a_full_server():
    probed = ProbedServer()
    probed.admission.offer(Ticket("c", 999.0, 110.0, lambda: None), 110.0)
    await probed.prober.tick()
    assert probed.sender.sent == []
