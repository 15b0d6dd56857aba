"""Answer times by kind, counted in buckets and told as OpenTelemetry does.

An instrument of the SDK costs each request some 30 us for its views, locks and
exemplars; a place in a list costs one.
"""

import bisect
import dataclasses
import math
from collections.abc import Mapping

from opentelemetry.sdk.metrics.export import AggregationTemporality
from opentelemetry.sdk.metrics.export import Histogram
from opentelemetry.sdk.metrics.export import HistogramDataPoint
from opentelemetry.sdk.metrics.export import Metric

#: Bounds of the answer times (s).
BOUNDS_S = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.05),
    *(0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0),
)

#: Kinds told apart; what comes after them is not counted.
MOST_KINDS = 2000


@dataclasses.dataclass(slots=True)
class _Buckets:
    """The answer times of one kind."""

    attributes: Mapping[str, str | int]
    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(BOUNDS_S) + 1)
    )
    sum_s: float = 0.0
    least_s: float = math.inf
    most_s: float = -math.inf


class Durations:
    """A histogram of answer times for each service, outcome and code."""

    def __init__(self, name: str, description: str, began_ns: int) -> None:
        """Makes an empty histogram.

        Args:
          name: of the metric.
          description: of the metric.
          began_ns: wall-clock time (ns since the epoch, UTC).
        """
        self._name = name
        self._description = description
        self._began_ns = began_ns
        self._kinds: dict[tuple[str, str, int], _Buckets] = {}

    def record(
        self, service: str, outcome: str, code: int, elapsed_s: float
    ) -> None:
        """Counts one answer time (s)."""
        key = (service, outcome, code)
        buckets = self._kinds.get(key)
        if buckets is None:
            if len(self._kinds) >= MOST_KINDS:
                return
            told: dict[str, str | int] = {
                "service": service,
                "outcome": outcome,
                "code": code,
            }
            buckets = self._kinds[key] = _Buckets(told)
        # A value that equals a bound counts below it, as in OpenTelemetry.
        buckets.counts[bisect.bisect_left(BOUNDS_S, elapsed_s)] += 1
        buckets.sum_s += elapsed_s
        buckets.least_s = min(buckets.least_s, elapsed_s)
        buckets.most_s = max(buckets.most_s, elapsed_s)

    def metric(self, now_ns: int) -> Metric:
        """Returns what was counted until `now_ns` (ns since the epoch)."""
        points = [self._point(b, now_ns) for b in self._kinds.values()]
        data = Histogram(points, AggregationTemporality.CUMULATIVE)
        return Metric(self._name, self._description, "s", data)

    def _point(self, buckets: _Buckets, now_ns: int) -> HistogramDataPoint:
        return HistogramDataPoint(
            buckets.attributes,
            self._began_ns,
            now_ns,
            sum(buckets.counts),
            buckets.sum_s,
            list(buckets.counts),
            BOUNDS_S,
            buckets.least_s,
            buckets.most_s,
        )
