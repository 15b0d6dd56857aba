"""Rendering of metrics in Prometheus' text format."""

from radishwind.config.model import ServiceRules
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun
from radishwind.telemetry.node_exposition import MAX_SERIES
from radishwind.telemetry.node_exposition import NodeExposition


def make_call(service="library"):
    rules = ServiceRules()
    return Call("9c", service, Request("GET", "/"), rules, True, 1.0, 1, "c")


def test_counts_and_times_requests():
    metrics = NodeExposition()
    metrics.finished(make_call(), Done(Response(200)), 0.04)
    metrics.finished(make_call(), Done(Response(200)), 0.2)
    metrics.finished(make_call(), NotRun(ResultCode.OVERLOADED, "full"), 9.0)
    metrics.add_gauge("radishwind_members", "Nodes.", lambda: {'state="x"': 3})

    lines = metrics.render().splitlines()

    labels = 'service="library",outcome="Done",code="200"'
    assert f"radishwind_requests_total{{{labels}}} 2" in lines
    histogram_labels = 'service="library",idempotent="true"'
    name = "radishwind_request_duration_seconds"
    assert f'{name}_bucket{{{histogram_labels},le="0.05"}} 1' in lines
    assert f'{name}_bucket{{{histogram_labels},le="0.2"}} 2' in lines
    assert f'{name}_bucket{{{histogram_labels},le="+Inf"}} 3' in lines
    assert f"{name}_count{{{histogram_labels}}} 3" in lines
    assert 'radishwind_members{state="x"} 3' in lines


def test_number_of_series_is_limited():
    metrics = NodeExposition()
    for number in range(2 * MAX_SERIES):
        metrics.finished(make_call(f"s{number}"), Done(Response(200)), 0.1)

    series = [
        line
        for line in metrics.render().splitlines()
        if line.startswith("radishwind_requests_total{")
    ]
    assert len(series) == MAX_SERIES + 1
