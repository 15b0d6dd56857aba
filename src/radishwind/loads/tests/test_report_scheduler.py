"""What changed enough is told, sooner to near nodes than to far ones."""

import pytest

from radishwind.loads.report_scheduler import LEAST_FAR_GAP_S
from radishwind.loads.report_scheduler import LEAST_GAP_S
from radishwind.loads.report_scheduler import PERIOD_S
from radishwind.loads.report_scheduler import ReportScheduler
from radishwind.routing.chooser import LoadReport


def report(pace=1.0, busy=0, leaving=False, warm_fraction=1.0):
    return LoadReport(6, busy, 0, 90.0, leaving, warm_fraction, pace=pace)


@pytest.fixture
def teller():
    made = ReportScheduler()
    made.due(report(), 0.0)
    return made


def test_the_first_report_is_told_to_all():
    assert ReportScheduler().due(report(), 0.0) == (True, True)


def test_what_stays_the_same_is_told_once_a_period(teller):
    assert teller.due(report(), PERIOD_S - 0.01) == (False, False)
    assert teller.due(report(), PERIOD_S) == (True, True)


@pytest.mark.parametrize(
    "changed", [report(pace=5.0), report(busy=6), report(warm_fraction=0.4)]
)
def test_a_change_is_told_near_at_once_and_far_after_a_gap(teller, changed):
    assert teller.due(changed, LEAST_GAP_S) == (True, False)
    assert teller.due(changed, LEAST_FAR_GAP_S) == (False, True)


def test_a_small_change_is_not_worth_telling(teller):
    assert teller.due(report(pace=1.3, busy=1), 0.5) == (False, False)


def test_leaving_is_told_at_once_everywhere(teller):
    assert teller.due(report(leaving=True), 0.001) == (True, True)
