"""Targets are chosen by fresh reports, and attempts are forecast by them."""

import math
import random

import pytest

from radishwind.core.codes import ResultCode
from radishwind.http.types import Address
from radishwind.http.types import Response
from radishwind.membership.directory import Member
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun
from radishwind.outcomes import Unknown
from radishwind.routing.chooser import LoadReport
from radishwind.routing.fresh_load_chooser import FreshLoadChooser
from radishwind.routing.pace_statistics import PaceStatistics

OK = Done(Response(200))


def member(name, domain="a"):
    return Member(name, "s", domain, Address("10.0.0.1", 80))


def report(pace=1.0, busy=0, slots=6, **fields):
    return LoadReport(slots, busy, 0, 90.0, pace=pace, **fields)


class Setup:
    def __init__(self, **options):
        self.chooser = FreshLoadChooser(
            random.Random(3),
            node_name="own",
            failure_domain="a",
            own_load=lambda: report(),
            **options,
        )
        self.order = 0

    def tell(self, name, said, now=0.0, start=1):
        self.order += 1
        self.chooser.receive_report(name, said, start, self.order, now)

    def choose(self, *members, now=0.0, exclude=frozenset()):
        chosen = self.chooser.choose(members, now, exclude, "r")
        return chosen and chosen.name

    def learn(self, name, work_s, now=0.0):
        self.chooser.attempt_started(name, now)
        self.chooser.attempt_finished(
            name, now, 0.0, OK, report(normal_run_ms=work_s * 1000), "r"
        )


@pytest.fixture
def setup():
    return Setup()


def test_the_instance_at_the_usual_pace_is_chosen(setup):
    setup.tell("slow", report(5.0))
    setup.tell("fast", report(1.0))

    assert setup.choose(member("slow"), member("fast")) == "fast"


def test_a_free_slot_goes_before_a_queue(setup):
    setup.tell("full", report(busy=6))
    setup.tell("free", report(busy=2))

    assert setup.choose(member("full"), member("free")) == "free"


def test_near_goes_before_far_where_they_do_alike(setup):
    setup.tell("near", report())
    setup.tell("far", report())

    assert setup.choose(member("far", "b"), member("near")) == "near"


def test_far_goes_before_late(setup):
    setup.learn("near", 0.09)
    setup.tell("near", report(5.0))
    setup.tell("far", report(1.0))

    assert setup.choose(member("far", "b"), member("near")) == "far"


def test_own_attempts_count_before_the_next_report(setup):
    setup.tell("x", report(busy=3))
    setup.tell("y", report(busy=4))
    for _ in range(4):
        setup.chooser.attempt_started("x", 0.0)

    assert setup.choose(member("x"), member("y")) == "y"


def test_a_late_report_is_not_taken(setup):
    setup.tell("x", report(1.0))
    setup.chooser.receive_report("x", report(5.0), 1, 0, 0.0)

    assert setup.chooser.describe_cost(member("x"), 0.0, "r").count("pace=1 ")


def test_a_report_of_a_node_that_began_anew_is_taken(setup):
    setup.tell("x", report(1.0))
    setup.chooser.receive_report("x", report(5.0), 2, 0, 0.0)

    assert setup.chooser.describe_cost(member("x"), 0.0, "r").count("pace=5 ")


def test_one_that_takes_no_work_is_passed_over(setup):
    setup.tell("x", report())
    setup.tell("y", report(5.0))
    refused = NotRun(ResultCode.LEAVING, "x")
    setup.chooser.attempt_started("x", 0.0)
    setup.chooser.attempt_finished("x", 0.0, 0.0, refused, None, "r")

    assert setup.choose(member("x"), member("y")) == "y"
    assert math.isinf(setup.chooser.cost_s(member("x"), 0.1, "r"))


def test_failures_make_a_target_dear_and_fade(setup):
    setup.tell("x", report())
    before = setup.chooser.cost_s(member("x"), 0.0, "r")
    broken = Unknown(ResultCode.EXCHANGE_BROKEN, "x")
    setup.chooser.attempt_started("x", 0.0)
    setup.chooser.attempt_finished("x", 0.0, 0.0, broken, None, "r")

    assert setup.chooser.cost_s(member("x"), 0.0, "r") > 2 * before
    setup.tell("x", report(), 20.0)
    assert setup.chooser.cost_s(member("x"), 20.0, "r") < 1.1 * before


def test_failures_make_no_answer_later_than_it_would_be(setup):
    """Servers whose runs fail for want of a call are free all the same."""
    setup.tell("x", report())
    before_s = setup.chooser.expected_s(member("x"), 0.0, "r")
    for _ in range(3):
        setup.chooser.attempt_started("x", 0.0)
        failed = Done(Response(500))
        setup.chooser.attempt_finished("x", 0.0, 0.0, failed, report(), "r")

    assert setup.chooser.expected_s(member("x"), 0.0, "r") == before_s
    assert setup.chooser.cost_s(member("x"), 0.0, "r") > 2 * before_s


def test_a_silent_node_counts_as_far_worse(setup):
    setup.tell("silent", report(), 0.0)
    setup.tell("heard", report(), 3.0)

    assert setup.choose(member("silent"), member("heard"), now=3.0) == "heard"


def test_silence_of_one_that_does_not_tell_means_unknown():
    """A far target that tells only who sends it work is not cut off."""
    setup = Setup(reports_unsolicited=lambda m: m.failure_domain == "a")
    setup.tell("far", report(), now=0.0)
    setup.tell("near", report(busy=60), now=9.9)

    assert setup.choose(member("near"), member("far", "b"), now=10.0) == "far"


def test_one_unheard_that_takes_no_work_is_passed_over():
    setup = Setup(reports_unsolicited=lambda m: False)
    refused = NotRun(ResultCode.NO_TARGET, "none")
    setup.chooser.attempt_started("away", 0.0)
    setup.chooser.attempt_finished("away", 0.0, 0.0, refused, None, "r")

    assert setup.choose(member("away"), member("other", "b")) == "other"


def test_own_attempts_at_one_unheard_count():
    setup = Setup(reports_unsolicited=lambda m: False)
    for _ in range(3):
        setup.chooser.attempt_started("busy", 0.0)

    assert setup.choose(member("busy"), member("free")) == "free"


def test_where_all_are_away_one_is_tried(setup):
    setup.tell("x", report(leaving=True))

    assert setup.choose(member("x")) == "x"
    assert setup.choose(member("x"), exclude=frozenset({"x"})) is None


def test_the_wait_for_the_next_pace_is_forecast(setup):
    setup.learn("x", 0.09)
    told = {"pace_interval_ms": 150.0, "pace_interval_left_ms": 20.0}
    setup.tell("x", report(5.0, **told))
    soon = setup.chooser.cost_s(member("x"), 0.0, "r")
    setup.tell("x", report(5.0, **{**told, "pace_interval_left_ms": 140.0}))
    later = setup.chooser.cost_s(member("x"), 0.0, "r")

    assert soon + 0.1 < later < 0.09 * 5


def test_a_running_attempt_is_forecast_and_then_given_up(setup):
    setup.learn("x", 0.09)
    setup.tell("x", report())
    expected_s = setup.chooser.expected_s(member("x"), 0.0, "r")
    setup.chooser.attempt_started("x", 0.0, expected_s)

    def left(now):
        return setup.chooser.remaining_s("x", "r", 0.0, now)

    assert left(0.02) == pytest.approx(expected_s - 0.02)
    assert left(0.25) > 0.1
    assert math.isinf(left(2.0))


def test_the_habit_is_the_share_of_time_and_not_of_reports():
    habit = PaceStatistics()
    for _ in range(4000):
        habit.observe(1.0, 0.09)
        habit.observe(5.0, 0.01)

    assert habit.slow_share == pytest.approx(0.1, abs=0.02)
    assert habit.slow_pace == pytest.approx(5.0, abs=0.2)


def test_a_cold_server_whose_pace_tells_it_is_not_counted_twice(setup):
    setup.learn("warm", 0.1)
    cold = report(pace=2.0, base_pace=2.0, warm_fraction=0.5)
    setup.tell("tells", cold)
    setup.tell("untold", report(pace=1.0, base_pace=1.0, warm_fraction=0.5))
    setup.tell("warm", report())

    cost_s = {
        name: setup.chooser.cost_s(member(name), 0.0, "r")
        for name in ("warm", "tells", "untold")
    }

    assert cost_s["tells"] == pytest.approx(cost_s["untold"], rel=0.2)
    assert cost_s["tells"] < 2.5 * cost_s["warm"]


def test_a_cold_target_that_takes_no_more_is_passed_over(setup):
    setup.tell("x", report(warmup_requests_left=0))
    setup.tell("y", report(busy=6))

    assert setup.choose(member("x"), member("y")) == "y"
    assert setup.choose(member("x"), member("y"), now=0.2) == "x"


def test_where_all_are_cold_and_take_no_more_there_is_none_to_ask(setup):
    for name in "xy":
        setup.tell(name, report(warmup_requests_left=0))

    assert setup.choose(member("x"), member("y")) is None
    assert setup.choose(member("x"), member("y"), now=0.2) is not None


def test_own_starts_count_against_what_a_cold_target_takes(setup):
    setup.tell("x", report(warmup_requests_left=2))
    for _ in range(2):
        assert setup.choose(member("x")) == "x"
        setup.chooser.attempt_started("x", 0.0)

    assert setup.choose(member("x")) is None


def test_one_that_leaves_is_still_asked_where_nobody_else_is_left(setup):
    setup.tell("x", report(warmup_requests_left=0))
    setup.tell("y", report(leaving=True))

    assert setup.choose(member("x"), member("y")) == "y"
