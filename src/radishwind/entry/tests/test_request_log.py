"""Each unusual end of a request has its line, also one that nobody awaits."""

import pytest
from tests.support.calls import make_call

from radishwind.core import ManualClock
from radishwind.entry.key_authenticator import KeyRefusedError
from radishwind.entry.request_log import MOST_PER_S
from radishwind.entry.request_log import RequestLog
from radishwind.telemetry import logs


@pytest.fixture
def lines(monkeypatch):
    taken = []
    monkeypatch.setattr(logs, "_takers", [taken.append])
    return taken


def test_a_caller_that_leaves_is_told_with_what_was_tried(lines):
    call = make_call(call_id="r-1", aim=0.5)
    call.steps.append("t-1 (cost=90ms) 800ms cancelled")

    RequestLog(ManualClock()).disconnected(call, 0.8)

    assert len(lines) == 1
    assert lines[0]["text"] == "entry: A caller left before its answer."
    assert lines[0]["request"] == "r-1"
    assert lines[0]["elapsed_ms"] == 800.0
    assert "cancelled" in lines[0]["steps"]


def test_many_that_leave_at_once_are_bounded_and_counted(lines):
    clock = ManualClock()
    log = RequestLog(clock)
    for _ in range(int(MOST_PER_S) + 7):
        log.disconnected(make_call(), 0.1)
    clock.advance(1.0)
    log.disconnected(make_call(), 0.1)

    assert len(lines) == MOST_PER_S + 1
    assert lines[-1]["held_back"] == 7


def test_a_rejected_request_is_told_without_what_it_sent(lines):
    error = KeyRefusedError("expected one key, got secret-key")
    error.call_id = "r-2"

    RequestLog(ManualClock()).rejected(error)

    assert lines[0]["text"] == "entry: Rejected a request."
    assert (lines[0]["request"], lines[0]["code"]) == ("r-2", 2007)
    assert "secret-key" not in repr(lines)
