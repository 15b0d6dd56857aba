"""Calls expected to be late at every target are shed by priority."""

import pytest
from tests.support.calls import make_call

from radishwind.core.codes import ResultCode
from radishwind.entry.load_shedder import MAX_LATENESS_S
from radishwind.entry.load_shedder import PRIORITY_STEP_S
from radishwind.entry.load_shedder import ShedLateCalls
from radishwind.http.types import Address
from radishwind.membership.directory import Member
from radishwind.routing.chooser import TargetChooser

MEMBER = Member("t", "s", "a", Address("h", 1))


class Chooser(TargetChooser):
    def __init__(self, expected_s, usual_s):
        self._expected_s = expected_s
        self._usual_s = usual_s

    def choose(self, members, now, exclude=frozenset(), route="", aim=0.0):
        return members[0]

    def attempt_started(self, name, now, expected_s=0.0):
        pass

    def attempt_finished(self, name, now, elapsed_s, outcome, load, route=""):
        pass

    def expected_s(self, member, now, route):
        return self._expected_s

    def mean_run_s(self, route):
        return self._usual_s


def refusal(expected_s, aim_s, priority=0, usual_s=0.2, **changed):
    shedder = ShedLateCalls(Chooser(expected_s, usual_s))
    call = make_call(aim=10.0 + aim_s, priority=priority, **changed)
    return shedder.refusal(call, MEMBER, 10.0)


def test_call_expected_in_time_is_sent():
    assert refusal(0.4, aim_s=0.5) is None


def test_late_call_is_refused_with_a_retry_time():
    refused = refusal(1.0, aim_s=0.5)

    assert refused.code is ResultCode.OVERLOADED
    assert refused.retry_after_s == pytest.approx(1.0 - 0.5 - MAX_LATENESS_S)


def test_highest_priority_is_shed_last():
    expected_s = 0.5 + MAX_LATENESS_S - PRIORITY_STEP_S / 2

    assert refusal(expected_s, 0.5, priority=0) is None
    assert refusal(expected_s, 0.5, priority=1) is not None
    assert refusal(0.5, 0.5, priority=9) is None


def test_call_past_its_aim_is_sent_if_it_need_not_queue():
    assert refusal(0.25, aim_s=-0.3, usual_s=0.2) is None
    assert refusal(0.6, aim_s=-0.3, usual_s=0.2) is not None


def test_call_without_an_expected_time_is_sent():
    assert refusal(0.0, aim_s=-1.0) is None


def test_nested_call_is_sent_while_its_response_is_still_of_use():
    """A request waits up to 1.2 s for a nested call with an aim of 0.15 s."""
    nested = {"depth": 1, "deadline": 11.2}

    assert refusal(0.55, aim_s=0.15, priority=2) is not None
    assert refusal(0.55, aim_s=0.15, priority=2, **nested) is None
    assert refusal(0.7, aim_s=0.15, priority=0, **nested) is not None
