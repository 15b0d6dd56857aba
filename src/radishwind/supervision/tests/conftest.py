"""Fixtures of the tests of supervision."""

import pytest

from radishwind.core import ManualClock
from radishwind.supervision import failure_log
from radishwind.supervision import FailureLog
from radishwind.supervision import set_failure_log
from radishwind.telemetry import part_logger


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def failures(clock):
    previous = failure_log()
    failures = FailureLog(clock)
    set_failure_log(failures)
    yield failures
    set_failure_log(previous)


@pytest.fixture
def lines(monkeypatch):
    """The lines logged since the start of the test."""
    lines = []
    monkeypatch.setattr(part_logger, "_sinks", [lines.append])
    return lines
