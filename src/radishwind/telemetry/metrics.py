"""Metrics by OpenTelemetry, read through the admin listener.

Counters that the slices keep anyway are observed when they are read, so they
cost a request nothing; the answer times are counted by `Durations`.
"""

import time
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from opentelemetry.metrics import CallbackOptions
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.metrics.export import MetricsData
from opentelemetry.sdk.metrics.export import ResourceMetrics
from opentelemetry.sdk.metrics.export import ScopeMetrics
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.util.instrumentation import InstrumentationScope

from radishwind.entry.call import Call
from radishwind.entry.observer import CallObserver
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import Outcome
from radishwind.telemetry.durations import Durations

_SCOPE = "radishwind"
_DURATION = "radishwind.request.duration"


class NodeMetrics(CallObserver):
    """The metrics of one node."""

    def __init__(self, resource: Mapping[str, str]) -> None:
        """Makes the instruments.

        Args:
          resource: what tells this node from others, e.g. its target.
        """
        self._reader = InMemoryMetricReader()
        self._resource = Resource(dict(resource))
        self._provider = MeterProvider(
            metric_readers=[self._reader],
            resource=self._resource,
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter(_SCOPE)
        self._durations = Durations(
            _DURATION, "Answer times by outcome.", time.time_ns()
        )

    def finished(self, call: Call, outcome: Outcome, elapsed_s: float) -> None:
        self._durations.record(
            call.service, type(outcome).__name__, _code(outcome), elapsed_s
        )

    def gauge(
        self,
        name: str,
        unit: str,
        description: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Observes values that go up and down, by kind."""
        self._meter.create_observable_gauge(
            f"radishwind.{name}",
            [_callback(read)],
            unit=unit,
            description=description,
        )

    def counter(
        self,
        name: str,
        unit: str,
        description: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Observes values that only grow, by kind."""
        self._meter.create_observable_counter(
            f"radishwind.{name}",
            [_callback(read)],
            unit=unit,
            description=description,
        )

    def as_json(self) -> bytes:
        """Returns every metric as OpenTelemetry's JSON."""
        scopes = [
            ScopeMetrics(
                InstrumentationScope(_SCOPE),
                [self._durations.metric(time.time_ns())],
                "",
            )
        ]
        data = self._reader.get_metrics_data()
        if data is not None:
            for resource in data.resource_metrics:
                scopes.extend(resource.scope_metrics)
        whole = MetricsData([ResourceMetrics(self._resource, scopes, "")])
        return whole.to_json(indent=None).encode()


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
