"""Log lines and metrics."""

import json

import eliot

from radishwind.config.model import ServiceRules
from radishwind.core import ManualClock
from radishwind.entry.call import Call
from radishwind.http import Request
from radishwind.http import Response
from radishwind.outcomes import Done
from radishwind.telemetry import PartLogger
from radishwind.telemetry.node_metrics import NodeMetrics


def logged(act):
    """Returns what `act` logs.

    eliot hands what was logged before to the first destination, so that is
    taken out of the way.
    """
    earlier, lines = [], []
    eliot.add_destinations(earlier.append)
    eliot.add_destinations(lines.append)
    try:
        del lines[:]
        act()
    finally:
        eliot.remove_destination(lines.append)
        eliot.remove_destination(earlier.append)
    return lines


def test_a_line_is_a_sentence_behind_its_part():
    log = PartLogger("membership", ManualClock())

    (line,) = logged(lambda: log.warning("A member is suspected.", member="a"))

    assert line["text"] == "membership: A member is suspected."
    assert (line["level"], line["member"]) == ("warning", "a")


def test_what_comes_again_is_held_back_and_counted():
    clock = ManualClock()
    log = PartLogger("store", clock)

    def act():
        for _ in range(3):
            log.warning("The store is down.")
        clock.advance(11)
        log.warning("The store is down.")

    lines = logged(act)

    assert [line.get("held_back") for line in lines] == [None, 2]


def test_metrics_are_told_as_opentelemetry_json():
    metrics = NodeMetrics({"radishwind.target": "prenota-1"})
    metrics.add_counter("store.calls", "{call}", "Calls.", lambda: {"txn": 3})
    call = Call(
        *("1", "prenota", Request("GET", "/"), ServiceRules()),
        *(True, 9.0, 9, "c"),
    )
    metrics.finished(call, Done(Response(200)), 0.03)

    told = json.loads(metrics.as_json())

    (resource,) = told["resource_metrics"]
    found = {
        metric["name"]: metric["data"]["data_points"][0]
        for scope in resource["scope_metrics"]
        for metric in scope["metrics"]
    }
    assert found["radishwind.store.calls"]["value"] == 3
    assert found["radishwind.request.duration"]["count"] == 1
    attributes = found["radishwind.request.duration"]["attributes"]
    assert attributes == {"service": "prenota", "outcome": "Done", "code": 200}
