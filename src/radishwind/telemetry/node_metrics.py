"""OpenTelemetry metrics, served by the admin listener.

Counters that other packages keep anyway are observed only when the metrics are
read, so that they cost nothing per request. Only the response times are
recorded per request.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from opentelemetry.metrics import CallbackOptions
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation
from opentelemetry.sdk.metrics.view import View
from opentelemetry.sdk.resources import Resource

from radishwind.entry.call import Call
from radishwind.entry.observer import CallObserver
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import Outcome

#: Upper bounds of the histogram buckets of the response times (s).
_BOUNDS_S = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.05),
    *(0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0),
)

_DURATION = "radishwind.request.duration"


class NodeMetrics(CallObserver):
    """The metrics of one node.

    Args:
      resource: attributes that identify this node, e.g. its target.
    """

    def __init__(self, resource: Mapping[str, str]) -> None:
        self._reader = InMemoryMetricReader()
        view = View(
            instrument_name=_DURATION,
            aggregation=ExplicitBucketHistogramAggregation(_BOUNDS_S),
        )
        self._provider = MeterProvider(
            metric_readers=[self._reader],
            resource=Resource(dict(resource)),
            views=[view],
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter("radishwind")
        self._duration = self._meter.create_histogram(
            _DURATION, unit="s", description="Answer times by outcome."
        )
        self._attributes: dict[tuple[str, str, int], dict[str, str | int]] = {}

    def finished(self, call: Call, outcome: Outcome, elapsed_s: float) -> None:
        key = (call.service, type(outcome).__name__, _code(outcome))
        attributes = self._attributes.get(key)
        if attributes is None:
            attributes = {
                "service": key[0],
                "outcome": key[1],
                "code": key[2],
            }
            self._attributes[key] = attributes
        self._duration.record(elapsed_s, attributes)

    def add_gauge(
        self,
        name: str,
        unit: str,
        description: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Adds a gauge with the attribute `kind`, read on demand."""
        self._meter.create_observable_gauge(
            f"radishwind.{name}",
            [_callback(read)],
            unit=unit,
            description=description,
        )

    def add_counter(
        self,
        name: str,
        unit: str,
        description: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Adds a counter with the attribute `kind`, read on demand."""
        self._meter.create_observable_counter(
            f"radishwind.{name}",
            [_callback(read)],
            unit=unit,
            description=description,
        )

    def as_json(self) -> bytes:
        """Returns all metrics in OpenTelemetry's JSON format."""
        data = self._reader.get_metrics_data()
        if data is None:
            return b'{"resource_metrics": []}'
        return data.to_json(indent=None).encode()


def _callback(
    read: Callable[[], Mapping[str, float]],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        return [
            Observation(value, {"kind": kind}) for kind, value in read().items()
        ]

    return observe


def _code(outcome: Outcome) -> int:
    if isinstance(outcome, Done):
        return outcome.response.status
    return int(outcome.code)
