import pytest
from tests.support.targets import DirectBoard

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


def test_a_fingerprint_leaves_out_what_only_defeats_caches():
    same = Request("GET", "/a?x=1&_=77&y=2", (("X", "1"),), b"body")
    again = Request("GET", "/a?y=2&x=1&ts=9", (), b"body")
    assert fingerprint(same) == fingerprint(again)
    for other in (
        Request("POST", "/a?x=1&y=2", (), b"body"),
        Request("GET", "/a?x=1&y=3", (), b"body"),
        Request("GET", "/a?x=1&y=2", (), b"bodz"),
    ):
        assert fingerprint(same) != fingerprint(other)


def test_broken_exchanges_without_a_crash_suspect_nobody():
    crashes = CrashDetector()
    assert crashes.record_server_down(0.0) == ()
    crashes.record_broken_exchange(POISON, 1.0)
    assert crashes.record_server_down(30.0) == ()


def test_all_that_broke_before_the_refused_connection_are_suspects():
    crashes = CrashDetector()
    crashes.record_broken_exchange(POISON, 1.0)
    crashes.record_broken_exchange(INNOCENT, 1.001)
    found = crashes.record_server_down(1.5)
    assert found == (
        CrashSuspect(fingerprint(POISON), False),
        CrashSuspect(fingerprint(INNOCENT), False),
    )
    crashes.record_broken_exchange(POISON, 2.0)
    assert crashes.record_server_down(2.5) == (
        CrashSuspect(fingerprint(POISON), True),
    )


def test_one_crash_makes_a_suspect_that_runs_alone_for_a_while():
    book = SuspectRegistry()
    book.apply(SuspectReport("f", "a", 1000, True), 0.0)
    assert book.judge("f", 1.0).ruling is Ruling.RUN_ALONE
    assert book.judge("f", suspect_registry.SUSPICION_S).ruling is Ruling.RUN
    assert book.judge("other", 1.0).ruling is Ruling.RUN


def test_crashes_of_two_targets_refuse_for_a_bounded_time():
    book = SuspectRegistry()
    book.apply(SuspectReport("f", "a", 1000, False), 0.0)
    book.apply(SuspectReport("f", "b", 2000, True), 2.0)

    verdict = book.judge("f", 10.0)
    assert verdict.ruling is Ruling.REFUSE
    assert verdict.retry_after_s == pytest.approx(
        suspect_registry.QUARANTINE_S - 8
    )
    assert book.refused_fingerprints(10.0) == ("f",)
    assert (
        book.judge("f", 2.0 + suspect_registry.QUARANTINE_S).ruling
        is Ruling.RUN
    )


def test_an_innocent_in_two_crashes_is_tried_alone_soon_and_cleared():
    book = SuspectRegistry()
    book.apply(SuspectReport("f", "a", 1000, False), 0.0)
    book.apply(SuspectReport("f", "b", 2000, False), 0.0)
    assert book.judge("f", 1.0).ruling is Ruling.REFUSE
    assert (
        book.judge("f", suspect_registry.UNPROVEN_QUARANTINE_S).ruling
        is Ruling.RUN_ALONE
    )

    book.apply(book.clearance("f", "c"), suspect_registry.UNPROVEN_QUARANTINE_S)

    assert (
        book.judge("f", suspect_registry.UNPROVEN_QUARANTINE_S).ruling
        is Ruling.RUN
    )
    assert book.clearance("f", "c") is None
    book.apply(SuspectReport("f", "a", 3000, False), 9.0)
    assert book.judge("f", 9.0).ruling is Ruling.RUN_ALONE


def test_the_book_is_bounded():
    book = SuspectRegistry()
    for number in range(suspect_registry.MAX_SUSPECTS + 10):
        book.apply(
            SuspectReport(f"f{number}", "a", 1, False), float(number) / 100
        )
    assert len(book) == suspect_registry.MAX_SUSPECTS
    assert book.judge("f0", 11.0).ruling is Ruling.RUN


def call(request):
    return Call("1", "s", request, ServiceRules(), True, 9e9, 1 << 60, "c")


def test_every_node_refuses_what_crashed_two_targets():
    clock, rumor_bus = ManualClock(), DirectBoard()
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


def test_a_malformed_fact_is_left_out():
    rumor_bus = DirectBoard()
    node = Quarantine(
        target="a", service="s", clock=ManualClock(), rumor_bus=rumor_bus
    )
    rumor_bus.publish("quarantine", "s/f/b/crash", 1, b'["f"', 1.0)
    assert node.status() == {}


class BreaksEach:
    """Breaks off every attempt."""

    def __init__(self):
        self.calls = []

    async def run(self, call, member, attempt_id):
        self.calls.append(call)
        return AttemptResult(Unknown(ResultCode.EXCHANGE_BROKEN, ""))


@pytest.mark.anyio
async def test_a_call_that_broke_runs_alone_next_and_not_a_third_time():
    inner = BreaksEach()
    careful = IsolatingRunner(inner)
    results = [await careful.run(call(POISON), None, str(n)) for n in range(3)]

    assert [c.suspect for c in inner.calls] == [False, True]
    assert not any(isinstance(r.outcome, NotRun) for r in results)
