"""Choices and forecasts by recent load reports."""

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


def report(pace=1.0, in_flight=0, slots=6, **fields):
    return LoadReport(slots, in_flight, 0, 90.0, pace=pace, **fields)


class ChooserFixture:
    def __init__(self, **options):
        self.chooser = FreshLoadChooser(
            random.Random(3),
            node_name="own",
            failure_domain="a",
            own_load=lambda: report(),
            **options,
        )
        self.sequence = 0

    def send_report(self, name, load, now=0.0, start_id=1):
        self.sequence += 1
        self.chooser.receive_report(name, load, start_id, self.sequence, now)

    def choose(self, *members, now=0.0, exclude=frozenset()):
        chosen = self.chooser.choose(members, now, exclude, "r")
        return chosen and chosen.name

    def learn(self, name, run_s, now=0.0):
        self.chooser.attempt_started(name, now)
        self.chooser.attempt_finished(
            name, now, 0.0, OK, report(normal_run_ms=run_s * 1000), "r"
        )


@pytest.fixture
def setup():
    return ChooserFixture()


def test_instance_at_the_normal_pace_is_chosen(setup):
    setup.send_report("slow", report(5.0))
    setup.send_report("fast", report(1.0))

    assert setup.choose(member("slow"), member("fast")) == "fast"


def test_free_slot_is_preferred_to_a_queue(setup):
    setup.send_report("full", report(in_flight=6))
    setup.send_report("free", report(in_flight=2))

    assert setup.choose(member("full"), member("free")) == "free"


def test_local_target_is_preferred_at_equal_load(setup):
    setup.send_report("near", report())
    setup.send_report("far", report())

    assert setup.choose(member("far", "b"), member("near")) == "near"


def test_remote_target_is_preferred_to_a_slow_local_one(setup):
    setup.learn("near", 0.09)
    setup.send_report("near", report(5.0))
    setup.send_report("far", report(1.0))

    assert setup.choose(member("far", "b"), member("near")) == "far"


def test_own_attempts_count_until_the_next_report(setup):
    setup.send_report("x", report(in_flight=3))
    setup.send_report("y", report(in_flight=4))
    for _ in range(4):
        setup.chooser.attempt_started("x", 0.0)

    assert setup.choose(member("x"), member("y")) == "y"


def test_reordered_report_is_rejected(setup):
    setup.send_report("x", report(1.0))
    setup.chooser.receive_report("x", report(5.0), 1, 0, 0.0)

    assert setup.chooser.describe_cost(member("x"), 0.0, "r").count("pace=1 ")


def test_report_of_a_restarted_node_is_accepted(setup):
    setup.send_report("x", report(1.0))
    setup.chooser.receive_report("x", report(5.0), 2, 0, 0.0)

    assert setup.chooser.describe_cost(member("x"), 0.0, "r").count("pace=5 ")


def test_target_that_refuses_requests_is_excluded(setup):
    setup.send_report("x", report())
    setup.send_report("y", report(5.0))
    refused = NotRun(ResultCode.LEAVING, "x")
    setup.chooser.attempt_started("x", 0.0)
    setup.chooser.attempt_finished("x", 0.0, 0.0, refused, None, "r")

    assert setup.choose(member("x"), member("y")) == "y"
    assert math.isinf(setup.chooser.cost_s(member("x"), 0.1, "r"))


def test_failures_raise_the_cost_and_decay(setup):
    setup.send_report("x", report())
    before = setup.chooser.cost_s(member("x"), 0.0, "r")
    failure = Unknown(ResultCode.EXCHANGE_BROKEN, "x")
    setup.chooser.attempt_started("x", 0.0)
    setup.chooser.attempt_finished("x", 0.0, 0.0, failure, None, "r")

    assert setup.chooser.cost_s(member("x"), 0.0, "r") > 2 * before
    setup.send_report("x", report(), 20.0)
    assert setup.chooser.cost_s(member("x"), 20.0, "r") < 1.1 * before


def test_failures_do_not_change_the_expected_response_time(setup):
    """A server may have free slots though runs fail in a nested call."""
    setup.send_report("x", report())
    before_s = setup.chooser.expected_s(member("x"), 0.0, "r")
    for _ in range(3):
        setup.chooser.attempt_started("x", 0.0)
        failed = Done(Response(500))
        setup.chooser.attempt_finished("x", 0.0, 0.0, failed, report(), "r")

    assert setup.chooser.expected_s(member("x"), 0.0, "r") == before_s
    assert setup.chooser.cost_s(member("x"), 0.0, "r") > 2 * before_s


def test_overdue_report_raises_the_cost(setup):
    setup.send_report("overdue", report(), 0.0)
    setup.send_report("recent", report(), 3.0)

    assert (
        setup.choose(member("overdue"), member("recent"), now=3.0) == "recent"
    )


def test_overdue_report_of_a_selective_reporter_means_unknown_load():
    """A remote target that reports only to senders isn't unreachable."""
    setup = ChooserFixture(
        reports_unsolicited=lambda m: m.failure_domain == "a"
    )
    setup.send_report("far", report(), now=0.0)
    setup.send_report("near", report(in_flight=60), now=9.9)

    assert setup.choose(member("near"), member("far", "b"), now=10.0) == "far"


def test_refusing_target_without_reports_is_excluded():
    setup = ChooserFixture(reports_unsolicited=lambda m: False)
    refused = NotRun(ResultCode.NO_TARGET, "none")
    setup.chooser.attempt_started("away", 0.0)
    setup.chooser.attempt_finished("away", 0.0, 0.0, refused, None, "r")

    assert setup.choose(member("away"), member("other", "b")) == "other"


def test_own_attempts_count_at_a_target_without_reports():
    setup = ChooserFixture(reports_unsolicited=lambda m: False)
    for _ in range(3):
        setup.chooser.attempt_started("busy", 0.0)

    assert setup.choose(member("busy"), member("free")) == "free"


def test_one_target_is_tried_if_all_are_excluded(setup):
    setup.send_report("x", report(leaving=True))

    assert setup.choose(member("x")) == "x"
    assert setup.choose(member("x"), exclude=frozenset({"x"})) is None


def test_cost_includes_the_wait_for_the_next_pace_change(setup):
    setup.learn("x", 0.09)
    fields = {"pace_interval_ms": 150.0, "pace_interval_left_ms": 20.0}
    setup.send_report("x", report(5.0, **fields))
    soon = setup.chooser.cost_s(member("x"), 0.0, "r")
    setup.send_report(
        "x", report(5.0, **{**fields, "pace_interval_left_ms": 140.0})
    )
    later = setup.chooser.cost_s(member("x"), 0.0, "r")

    assert soon + 0.1 < later < 0.09 * 5


def test_remaining_time_is_forecast_until_it_is_unknown(setup):
    setup.learn("x", 0.09)
    setup.send_report("x", report())
    expected_s = setup.chooser.expected_s(member("x"), 0.0, "r")
    setup.chooser.attempt_started("x", 0.0, expected_s)

    def remaining_s(now):
        return setup.chooser.remaining_s("x", "r", 0.0, now)

    assert remaining_s(0.02) == pytest.approx(expected_s - 0.02)
    assert remaining_s(0.25) > 0.1
    assert math.isinf(remaining_s(2.0))


def test_slow_share_is_of_time_and_not_of_reports():
    statistics = PaceStatistics()
    for _ in range(4000):
        statistics.observe(1.0, 0.09)
        statistics.observe(5.0, 0.01)

    assert statistics.slow_share == pytest.approx(0.1, abs=0.02)
    assert statistics.slow_pace == pytest.approx(5.0, abs=0.2)


def test_slow_start_reflected_in_the_pace_is_not_counted_twice(setup):
    setup.learn("warm", 0.1)
    cold_load = report(pace=2.0, base_pace=2.0, warm_fraction=0.5)
    setup.send_report("slow_pace", cold_load)
    setup.send_report(
        "normal_pace", report(pace=1.0, base_pace=1.0, warm_fraction=0.5)
    )
    setup.send_report("warm", report())

    cost_s = {
        name: setup.chooser.cost_s(member(name), 0.0, "r")
        for name in ("warm", "slow_pace", "normal_pace")
    }

    assert cost_s["slow_pace"] == pytest.approx(cost_s["normal_pace"], rel=0.2)
    assert cost_s["slow_pace"] < 2.5 * cost_s["warm"]


def test_target_with_exhausted_warmup_is_excluded(setup):
    setup.send_report("x", report(requests_left=0))
    setup.send_report("y", report(in_flight=6))

    assert setup.choose(member("x"), member("y")) == "y"
    assert setup.choose(member("x"), member("y"), now=0.2) == "x"


def test_none_is_chosen_if_warmup_of_all_is_exhausted(setup):
    for name in "xy":
        setup.send_report(name, report(requests_left=0))

    assert setup.choose(member("x"), member("y")) is None
    assert setup.choose(member("x"), member("y"), now=0.2) is not None


def test_own_attempts_count_against_the_warmup_limit(setup):
    setup.send_report("x", report(requests_left=2))
    for _ in range(2):
        assert setup.choose(member("x")) == "x"
        setup.chooser.attempt_started("x", 0.0)

    assert setup.choose(member("x")) is None


def test_leaving_target_is_tried_if_no_other_is_eligible(setup):
    setup.send_report("x", report(requests_left=0))
    setup.send_report("y", report(leaving=True))

    assert setup.choose(member("x"), member("y")) == "y"


def test_nodes_share_a_stated_limit_before_the_server_refuses():
    """Ten nodes offer far more than the 2 requests/s of one server."""
    fleet = [ChooserFixture(node_count=lambda: 10) for _ in range(10)]
    for number, setup in enumerate(fleet):
        setup.chooser._rng.seed(number)
        setup.send_report("x", report(limit_per_s=2.0, requests_left=4))
        setup.send_report("y", report(in_flight=6))
    chosen = 0
    for step in range(400):
        now = step * 0.05
        for setup in fleet:
            if setup.choose(member("x"), member("y"), now=now) == "x":
                setup.chooser.attempt_started("x", now)
                chosen += 1

    assert 20 <= chosen <= 20 * 2.0 * 2.0 * 1.2


def test_limited_server_is_used_beyond_the_share_if_no_other_is_eligible(
    setup,
):
    setup.send_report("x", report(limit_per_s=2.0, requests_left=4))

    for _ in range(4):
        assert setup.choose(member("x")) == "x"
        setup.chooser.attempt_started("x", 0.0)

    assert setup.choose(member("x")) is None


def test_refusal_states_when_the_first_limit_allows_a_request(setup):
    for name, wait_ms in (("x", 700.0), ("y", 400.0)):
        load = report(limit_per_s=2.0, requests_left=0, limit_wait_ms=wait_ms)
        setup.send_report(name, load)
    members = (member("x"), member("y"))

    assert setup.choose(*members) is None
    refusal = setup.chooser.refusal(members, 0.1)
    assert refusal.code is ResultCode.SERVER_LIMITED
    assert refusal.retry_after_s == pytest.approx(0.3)
    assert setup.choose(*members, now=0.5) == "y"


def test_limit_that_ended_is_not_kept(setup):
    setup.send_report(
        "x", report(limit_per_s=0.1, requests_left=0, limit_wait_ms=9000.0)
    )
    setup.send_report("x", report(), now=0.5)

    assert setup.choose(member("x"), now=0.5) == "x"
    assert not setup.chooser.is_limited("x")


def test_node_holds_off_a_server_whose_node_does_not_enforce_its_limit():
    setup = ChooserFixture(node_count=lambda: 10)
    setup.send_report("x", report())
    setup.send_report("y", report(in_flight=6))

    setup.chooser.statistics.record_unenforced_limit("x", 2.0, 0.0)
    setup.send_report("x", report(), now=1.0)

    assert setup.choose(member("x"), member("y"), now=2.4) == "y"
    assert setup.choose(member("x"), member("y"), now=7.6) == "x"
