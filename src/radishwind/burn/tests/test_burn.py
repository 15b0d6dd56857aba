"""Tests of request counts per minute, their merging and burn rates."""

import msgspec

from radishwind.burn import burn_rows
from radishwind.burn import BurnLedger
from radishwind.burn import merge
from radishwind.burn.ledger import MAX_MINUTES
from radishwind.burn.page import burn_page
from radishwind.config.model import ServiceRules
from radishwind.core import ManualClock
from radishwind.core import ResultCode
from radishwind.entry.call import Call
from radishwind.http import Request
from radishwind.http import Response
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun

RULES = ServiceRules(
    latency_objective_ms=100, latency_target=0.9, success_target=0.99
)
OK = Done(Response(200))
REFUSED = NotRun(ResultCode.OVERLOADED, "full", 1.0)


def call(service="prenota", rules=RULES):
    return Call("1", service, Request("GET", "/"), rules, True, 9.0, 9, "c")


def count(ledger, outcome, elapsed_s, times):
    for _ in range(times):
        ledger.finished(call(), outcome, elapsed_s)


def test_burn_is_fraction_missed_over_fraction_allowed():
    clock = ManualClock()
    ledger = BurnLedger(clock)
    count(ledger, OK, 0.01, 96)
    count(ledger, REFUSED, 0.01, 2)
    count(ledger, Done(Response(503)), 0.01, 0)
    count(ledger, OK, 0.2, 2)
    minute = int(clock.now().timestamp()) // 60

    rows = burn_rows(ledger.services(), minute)

    burns = {
        row.objective: (row.requests, row.bad, round(row.burn, 6))
        for row in rows
        if row.window_min == 5
    }
    assert burns == {"success": (100, 2, 2.0), "latency": (100, 2, 0.2)}


def test_changed_latency_objective_applies_to_kept_counts():
    ledger = BurnLedger(ManualClock())
    ledger.finished(call(), OK, 0.01)
    changed = msgspec.structs.replace(RULES, latency_objective_ms=50)
    ledger.finished(call(rules=changed), OK, 0.01)
    (entry,) = ledger.services()
    assert entry.latency_objective_ms == 50
    assert entry.minutes[-1].requests == 2


def test_windows_exclude_older_minutes():
    clock = ManualClock()
    ledger = BurnLedger(clock)
    count(ledger, REFUSED, 0.01, 10)
    clock.advance(10 * 60)
    count(ledger, OK, 0.01, 10)
    minute = int(clock.now().timestamp()) // 60

    bad = {
        row.window_min: row.bad
        for row in burn_rows(ledger.services(), minute)
        if row.objective == "success"
    }

    assert bad == {5: 0, 30: 10, 60: 10, 360: 10}


def test_counts_of_several_nodes_are_summed():
    clock = ManualClock()
    nodes = [BurnLedger(clock) for _ in range(3)]
    for ledger in nodes:
        count(ledger, REFUSED, 0.01, 1)

    (entry,) = merge(ledger.services() for ledger in nodes)

    assert [(m.requests, m.failed) for m in entry.minutes] == [(3, 3)]


def test_number_of_kept_minutes_is_bounded():
    clock = ManualClock()
    ledger = BurnLedger(clock)
    for _ in range(MAX_MINUTES + 5):
        count(ledger, OK, 0.01, 1)
        clock.advance(60)

    assert len(ledger.services()[0].minutes) == MAX_MINUTES


def test_page_has_plot_escapes_text_and_highlights_burn():
    ledger = BurnLedger(ManualClock())
    count(ledger, REFUSED, 0.01, 1)
    minute = int(ManualClock().now().timestamp()) // 60

    page = burn_page(burn_rows(ledger.services(), minute), "<now>")

    assert "<svg" in page
    assert "&lt;now&gt;" in page
    assert "class='hot'>100.00" in page
