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


def logged_lines(act):
    """Returns the lines that `act` logs.

    eliot passes earlier messages to the first destination added; a separate
    destination receives and discards them.
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


def test_line_is_a_sentence_prefixed_by_its_part():
    log = PartLogger("membership", ManualClock())

    (line,) = logged_lines(
        lambda: log.warning("A member is suspected.", member="a")
    )

    assert line["text"] == "membership: A member is suspected."
    assert (line["level"], line["member"]) == ("warning", "a")


def test_repeated_sentences_are_suppressed_and_counted():
    clock = ManualClock()
    log = PartLogger("store", clock)

    def act():
        for _ in range(3):
            log.warning("The store is down.")
        clock.advance(11)
        log.warning("The store is down.")

    lines = logged_lines(act)

    assert [line.get("held_back") for line in lines] == [None, 2]


def test_exports_metrics_as_opentelemetry_json():
    metrics = NodeMetrics({"radishwind.target": "prenota-1"})
    metrics.add_counter("store.calls", "{call}", "Calls.", lambda: {"txn": 3})
    call = Call(
        *("1", "prenota", Request("GET", "/"), ServiceRules()),
        *(True, 9.0, 9, "c"),
    )
    metrics.finished(call, Done(Response(200)), 0.03)

    exported = json.loads(metrics.as_json())

    (resource,) = exported["resource_metrics"]
    points = {
        metric["name"]: metric["data"]["data_points"][0]
        for scope in resource["scope_metrics"]
        for metric in scope["metrics"]
    }
    assert points["radishwind.store.calls"]["value"] == 3
    assert points["radishwind.request.duration"]["count"] == 1
    attributes = points["radishwind.request.duration"]["attributes"]
    assert attributes == {"service": "prenota", "outcome": "Done", "code": 200}
