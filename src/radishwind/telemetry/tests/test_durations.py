"""What is counted is what an instrument of the SDK would tell."""

import random

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation
from opentelemetry.sdk.metrics.view import View

from radishwind.telemetry import durations
from radishwind.telemetry.durations import BOUNDS_S
from radishwind.telemetry.durations import Durations


def test_points_equal_those_of_the_sdk():
    ours = Durations("d", "", 0)
    reader = InMemoryMetricReader()
    buckets = ExplicitBucketHistogramAggregation(BOUNDS_S)
    view = View(instrument_name="d", aggregation=buckets)
    provider = MeterProvider([reader], views=[view], shutdown_on_exit=False)
    theirs = provider.get_meter("m").create_histogram("d")
    rng = random.Random(1)
    for time_s in (*BOUNDS_S, 0.0, 99.0, *(rng.random() for _ in range(50))):
        code = rng.choice((200, 503))
        ours.record("s", "Done", code, time_s)
        told = {"service": "s", "outcome": "Done", "code": code}
        theirs.record(time_s, told)

    data = reader.get_metrics_data().resource_metrics[0].scope_metrics[0]
    expected = {
        p.attributes["code"]: p for p in data.metrics[0].data.data_points
    }
    for point in ours.metric(1).data.data_points:
        like = expected.pop(point.attributes["code"])
        for name in ("attributes", "count", "sum", "min", "max"):
            assert getattr(point, name) == getattr(like, name)
        assert list(point.bucket_counts) == list(like.bucket_counts)
        assert list(point.explicit_bounds) == list(like.explicit_bounds)
    assert not expected


def test_kinds_are_bounded():
    ours = Durations("d", "", 0)
    for number in range(durations.MOST_KINDS + 5):
        ours.record(f"s{number}", "Done", 200, 0.1)

    assert len(ours.metric(1).data.data_points) == durations.MOST_KINDS
