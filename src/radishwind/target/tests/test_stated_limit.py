"""The limit in force follows what the responses of the server state."""

import pytest

from radishwind.core import ManualClock
from radishwind.target.dialect import ResponseMetadata
from radishwind.target.stated_limit import StatedLimit

SILENT = ResponseMetadata()
MALFORMED = ResponseMetadata(states_limit=True)


def stating(per_s):
    return ResponseMetadata(states_limit=True, limit_per_s=per_s)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def limit(clock):
    """A limit of 2 requests/s, stated a second ago."""
    limit = StatedLimit(clock)
    limit.record_response(stating(2.0), clock.monotonic(), is_success=True)
    clock.advance(1.0)
    return limit


def test_limit_follows_the_latest_value(clock, limit):
    limit.record_response(stating(0.5), clock.monotonic(), is_success=False)

    assert limit.per_s == 0.5


def test_limit_ends_once_a_successful_response_lacks_it(clock, limit):
    limit.record_response(SILENT, clock.monotonic(), is_success=False)
    assert limit.per_s == 2.0

    limit.record_response(SILENT, clock.monotonic(), is_success=True)
    assert limit.per_s is None


def test_late_response_to_an_earlier_request_does_not_end_the_limit(
    clock, limit
):
    limit.record_response(SILENT, clock.monotonic() - 1.001, is_success=True)

    assert limit.per_s == 2.0


def test_malformed_value_neither_ends_nor_changes_the_limit(clock, limit):
    limit.record_response(MALFORMED, clock.monotonic(), is_success=True)

    assert limit.per_s == 2.0


def test_health_responses_end_the_limit_only_if_they_state_limits(clock, limit):
    limit.record_check(SILENT, clock.monotonic())
    assert limit.per_s == 2.0

    limit.record_check(stating(2.0), clock.monotonic())
    clock.advance(1.0)
    limit.record_check(SILENT, clock.monotonic())
    assert limit.per_s is None
