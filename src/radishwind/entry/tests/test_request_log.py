"""Each unusual result of a request is logged, also after a disconnect."""

import pytest
from tests.support.calls import make_call

from radishwind.core import ManualClock
from radishwind.entry.key_authenticator import KeyRefusedError
from radishwind.entry.request_log import MAX_LINES_PER_S
from radishwind.entry.request_log import RequestLog
from radishwind.telemetry import part_logger


@pytest.fixture
def lines(monkeypatch):
    written = []
    monkeypatch.setattr(part_logger, "_sinks", [written.append])
    return written


def test_a_disconnect_is_logged_with_the_attempts(lines):
    call = make_call(call_id="r-1", aim=0.5)
    call.steps.append("t-1 (cost=90ms) 800ms cancelled")

    RequestLog(ManualClock()).disconnected(call, 0.8)

    assert len(lines) == 1
    assert (
        lines[0]["text"] == "entry: A caller disconnected before its response."
    )
    assert lines[0]["request"] == "r-1"
    assert lines[0]["elapsed_ms"] == 800.0
    assert "cancelled" in lines[0]["steps"]


def test_log_lines_are_rate_limited_and_suppressed_lines_counted(lines):
    clock = ManualClock()
    log = RequestLog(clock)
    for _ in range(int(MAX_LINES_PER_S) + 7):
        log.disconnected(make_call(), 0.1)
    clock.advance(1.0)
    log.disconnected(make_call(), 0.1)

    assert len(lines) == MAX_LINES_PER_S + 1
    assert lines[-1]["held_back"] == 7


def test_a_rejected_request_is_logged_without_its_content(lines):
    error = KeyRefusedError("expected one key, got secret-key")
    error.call_id = "r-2"

    RequestLog(ManualClock()).rejected(error)

    assert lines[0]["text"] == "entry: Rejected a request."
    assert (lines[0]["request"], lines[0]["code"]) == ("r-2", 2007)
    assert "secret-key" not in repr(lines)
