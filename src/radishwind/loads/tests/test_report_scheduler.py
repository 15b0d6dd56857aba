"""Significant changes are reported, and sooner within the failure domain."""

import pytest

from radishwind.loads.report_scheduler import MIN_LOCAL_GAP_S
from radishwind.loads.report_scheduler import MIN_REMOTE_GAP_S
from radishwind.loads.report_scheduler import REPORT_INTERVAL_S
from radishwind.loads.report_scheduler import ReportScheduler
from radishwind.routing.chooser import LoadReport


def report(pace=1.0, in_flight=0, leaving=False, warm_fraction=1.0):
    return LoadReport(6, in_flight, 0, 90.0, leaving, warm_fraction, pace=pace)


@pytest.fixture
def scheduler():
    created = ReportScheduler()
    created.due(report(), 0.0)
    return created


def test_first_report_is_sent_to_all_nodes():
    assert ReportScheduler().due(report(), 0.0) == (True, True)


def test_unchanged_load_is_sent_once_per_interval(scheduler):
    assert scheduler.due(report(), REPORT_INTERVAL_S - 0.01) == (False, False)
    assert scheduler.due(report(), REPORT_INTERVAL_S) == (True, True)


@pytest.mark.parametrize(
    "changed",
    [report(pace=5.0), report(in_flight=6), report(warm_fraction=0.4)],
)
def test_change_is_sent_locally_at_once_and_remotely_later(scheduler, changed):
    assert scheduler.due(changed, MIN_LOCAL_GAP_S) == (True, False)
    assert scheduler.due(changed, MIN_REMOTE_GAP_S) == (False, True)


def test_small_change_is_not_sent(scheduler):
    assert scheduler.due(report(pace=1.3, in_flight=1), 0.5) == (False, False)


def test_leaving_is_sent_to_all_nodes_at_once(scheduler):
    assert scheduler.due(report(leaving=True), 0.001) == (True, True)
