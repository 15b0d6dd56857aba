"""Tests of crash detection, the suspect registry and the quarantine."""

import pytest
from tests.support.targets import SynchronousRumorBus

from radishwind.config.model import ServiceRules
from radishwind.core import ManualClock
from radishwind.core import ResultCode
from radishwind.entry.call import Call
from radishwind.entry.pipeline import AttemptResult
from radishwind.http import Request
from radishwind.outcomes import NotRun
from radishwind.outcomes import Unknown
from radishwind.quarantine import CrashDetector
from radishwind.quarantine import CrashSuspect
from radishwind.quarantine import fingerprint
from radishwind.quarantine import Quarantine
from radishwind.quarantine import suspect_registry
from radishwind.quarantine import SuspectRegistry
from radishwind.quarantine.isolating_runner import IsolatingRunner
from radishwind.quarantine.suspect_registry import Ruling
from radishwind.quarantine.suspect_registry import SuspectReport

POISON = Request("GET", "/spots/recco?wave=-1")
INNOCENT = Request("GET", "/spots/camogli")


def test_fingerprint_ignores_parameters_that_bypass_caches():
    same = Request("GET", "/a?x=1&_=77&y=2", (("X", "1"),), b"body")
    again = Request("GET", "/a?y=2&x=1&ts=9", (), b"body")
    assert fingerprint(same) == fingerprint(again)
    for other in (
        Request("POST", "/a?x=1&y=2", (), b"body"),
        Request("GET", "/a?x=1&y=3", (), b"body"),
        Request("GET", "/a?x=1&y=2", (), b"bodz"),
    ):
        assert fingerprint(same) != fingerprint(other)


def test_broken_exchanges_without_crash_make_no_suspects():
    detector = CrashDetector()
    assert detector.record_server_down(0.0) == ()
    detector.record_broken_exchange(POISON, 1.0)
    assert detector.record_server_down(30.0) == ()


def test_exchanges_broken_before_refused_connection_are_suspects():
    detector = CrashDetector()
    detector.record_broken_exchange(POISON, 1.0)
    detector.record_broken_exchange(INNOCENT, 1.001)
    found = detector.record_server_down(1.5)
    assert found == (
        CrashSuspect(fingerprint(POISON), False),
        CrashSuspect(fingerprint(INNOCENT), False),
    )
    detector.record_broken_exchange(POISON, 2.0)
    assert detector.record_server_down(2.5) == (
        CrashSuspect(fingerprint(POISON), True),
    )


def test_suspect_of_one_crash_runs_alone_for_a_while():
    registry = SuspectRegistry()
    registry.apply(SuspectReport("f", "a", 1000, True), 0.0)
    assert registry.judge("f", 1.0).ruling is Ruling.RUN_ALONE
    assert (
        registry.judge("f", suspect_registry.SUSPICION_S).ruling is Ruling.RUN
    )
    assert registry.judge("other", 1.0).ruling is Ruling.RUN


def test_suspect_of_two_crashes_is_refused_for_bounded_time():
    registry = SuspectRegistry()
    registry.apply(SuspectReport("f", "a", 1000, False), 0.0)
    registry.apply(SuspectReport("f", "b", 2000, True), 2.0)

    verdict = registry.judge("f", 10.0)
    assert verdict.ruling is Ruling.REFUSE
    assert verdict.retry_after_s == pytest.approx(
        suspect_registry.QUARANTINE_S - 8
    )
    assert registry.refused_fingerprints(10.0) == ("f",)
    assert (
        registry.judge("f", 2.0 + suspect_registry.QUARANTINE_S).ruling
        is Ruling.RUN
    )


def test_innocent_suspect_of_two_crashes_soon_runs_alone_and_is_cleared():
    registry = SuspectRegistry()
    registry.apply(SuspectReport("f", "a", 1000, False), 0.0)
    registry.apply(SuspectReport("f", "b", 2000, False), 0.0)
    assert registry.judge("f", 1.0).ruling is Ruling.REFUSE
    assert (
        registry.judge("f", suspect_registry.UNPROVEN_QUARANTINE_S).ruling
        is Ruling.RUN_ALONE
    )

    registry.apply(
        registry.clearance("f", "c"), suspect_registry.UNPROVEN_QUARANTINE_S
    )

    assert (
        registry.judge("f", suspect_registry.UNPROVEN_QUARANTINE_S).ruling
        is Ruling.RUN
    )
    assert registry.clearance("f", "c") is None
    registry.apply(SuspectReport("f", "a", 3000, False), 9.0)
    assert registry.judge("f", 9.0).ruling is Ruling.RUN_ALONE


def test_size_of_registry_is_bounded():
    registry = SuspectRegistry()
    for number in range(suspect_registry.MAX_SUSPECTS + 10):
        registry.apply(
            SuspectReport(f"f{number}", "a", 1, False), float(number) / 100
        )
    assert len(registry) == suspect_registry.MAX_SUSPECTS
    assert registry.judge("f0", 11.0).ruling is Ruling.RUN


def call(request):
    return Call("1", "s", request, ServiceRules(), True, 9e9, 1 << 60, "c")


def test_all_nodes_refuse_request_that_crashed_two_targets():
    clock, rumor_bus = ManualClock(), SynchronousRumorBus()
    nodes = [
        Quarantine(target=name, service="s", clock=clock, rumor_bus=rumor_bus)
        for name in ("a", "b", "c")
    ]
    nodes[0].record_crash(
        [
            CrashSuspect(fingerprint(POISON), False),
            CrashSuspect(fingerprint(INNOCENT), False),
        ]
    )
    assert nodes[1].must_run_alone(call(POISON))
    assert nodes[1].must_run_alone(call(INNOCENT))
    nodes[1].record_safe_run(call(INNOCENT))
    nodes[1].record_crash([CrashSuspect(fingerprint(POISON), True)])

    for node in nodes:
        refusal = node.refusal(call(POISON))
        assert refusal.code is ResultCode.QUARANTINED
        assert 0 < refusal.retry_after_s <= suspect_registry.QUARANTINE_S
        assert node.refusal(call(INNOCENT)) is None
        assert not node.must_run_alone(call(INNOCENT))
        assert node.status() == {"s": [fingerprint(POISON)]}


def test_malformed_report_is_ignored():
    rumor_bus = SynchronousRumorBus()
    node = Quarantine(
        target="a", service="s", clock=ManualClock(), rumor_bus=rumor_bus
    )
    rumor_bus.publish("quarantine", "s/f/b/crash", 1, b'["f"', 1.0)
    assert node.status() == {}


class BreakingRunner:
    """Every attempt breaks off."""

    def __init__(self):
        self.calls = []

    async def run(self, call, member, attempt_id):
        self.calls.append(call)
        return AttemptResult(Unknown(ResultCode.EXCHANGE_BROKEN, ""))


@pytest.mark.anyio
async def test_broken_call_runs_alone_next_and_is_not_tried_a_third_time():
    inner = BreakingRunner()
    isolating = IsolatingRunner(inner)
    results = [
        await isolating.run(call(POISON), None, str(n)) for n in range(3)
    ]

    assert [c.suspect for c in inner.calls] == [False, True]
    assert not any(isinstance(r.outcome, NotRun) for r in results)
