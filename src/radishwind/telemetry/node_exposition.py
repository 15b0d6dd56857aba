"""Counters and response times in Prometheus' text format.

For nodes on the platform, which start often: importing prometheus-client takes
0.23 s and 5 MB (`docs/sidecar.md`), while the whole node listens 0.48 s after
its start and peaks at 34 MB. The text format is therefore written here. What
OpenTelemetry's SDK would cost is unknown.
"""

import bisect
from collections.abc import Callable
from collections.abc import Mapping

from radishwind.entry.call import Call
from radishwind.entry.call import CallRejectedError
from radishwind.entry.observer import CallObserver
from radishwind.outcomes import Done
from radishwind.outcomes import Outcome

#: Upper bounds of the histogram buckets of the response times (s).
BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 1.5, 2.5)

#: Maximum number of series of a metric. Further label sets are counted
#: together, and have no histogram.
MAX_SERIES = 256

#: Returns the current values by the labels of their series.
MetricReader = Callable[[], Mapping[str, float]]


class Histogram:
    """Histogram with the bucket bounds `BOUNDS_S`.

    Attributes:
      counts: number of values per bucket; the last has no upper bound.
      total: sum of all values (s).
    """

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_S) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Adds `value` (s)."""
        self.counts[bisect.bisect_left(BOUNDS_S, value)] += 1
        self.total += value


class NodeExposition(CallObserver):
    """The metrics of a node, rendered as text."""

    def __init__(self) -> None:
        self._requests: dict[str, int] = {}
        self._histograms: dict[str, Histogram] = {}
        self._readers: list[tuple[str, str, str, MetricReader]] = []

    def finished(self, call: Call, outcome: Outcome, elapsed_s: float) -> None:
        self._count(call.service, type(outcome).__name__, _code(outcome))
        labels = _labels(
            service=call.service, idempotent=str(call.idempotent).lower()
        )
        histogram = self._histograms.get(labels)
        if histogram is None:
            if len(self._histograms) >= MAX_SERIES:
                return
            histogram = self._histograms[labels] = Histogram()
        histogram.observe(elapsed_s)

    def rejected(self, exc: CallRejectedError) -> None:
        self._count("", "NotRun", str(int(exc.code)))

    def _count(self, service: str, outcome: str, code: str) -> None:
        """Counts a request; beyond `MAX_SERIES` label sets as `other`."""
        labels = _labels(service=service, outcome=outcome, code=code)
        if labels not in self._requests and len(self._requests) >= MAX_SERIES:
            labels = _labels(service="other", outcome="other", code="")
        self._requests[labels] = self._requests.get(labels, 0) + 1

    def add_counter(self, name: str, text: str, read: MetricReader) -> None:
        """Adds a counter, the values of which are read when rendered."""
        self._readers.append(("counter", name, text, read))

    def add_gauge(self, name: str, text: str, read: MetricReader) -> None:
        """Adds a gauge, the values of which are read when rendered."""
        self._readers.append(("gauge", name, text, read))

    def metric_names(self) -> tuple[str, ...]:
        """Returns the names of all metrics."""
        read_names = tuple(name for _, name, _, _ in self._readers)
        return (
            "radishwind_requests_total",
            "radishwind_request_duration_seconds",
            *read_names,
        )

    def render(self) -> str:
        """Returns all metrics in Prometheus' text format."""
        lines = _head("counter", "radishwind_requests_total", "Answers.")
        lines += [
            f"radishwind_requests_total{{{labels}}} {count}"
            for labels, count in self._requests.items()
        ]
        lines += self._histogram_lines()
        for kind, name, text, read in self._readers:
            lines += _head(kind, name, text)
            lines += [
                f"{name}{{{labels}}} {value:g}"
                if labels
                else f"{name} {value:g}"
                for labels, value in read().items()
            ]
        return "\n".join(lines) + "\n"

    def _histogram_lines(self) -> list[str]:
        name = "radishwind_request_duration_seconds"
        lines = _head("histogram", name, "Answer times.")
        for labels, histogram in self._histograms.items():
            cumulative = 0
            for bound, count in zip(BOUNDS_S, histogram.counts, strict=False):
                cumulative += count
                lines.append(
                    f'{name}_bucket{{{labels},le="{bound:g}"}} {cumulative}'
                )
            cumulative += histogram.counts[-1]
            lines.append(f'{name}_bucket{{{labels},le="+Inf"}} {cumulative}')
            lines.append(f"{name}_sum{{{labels}}} {histogram.total:.6f}")
            lines.append(f"{name}_count{{{labels}}} {cumulative}")
        return lines


def _head(kind: str, name: str, text: str) -> list[str]:
    return [f"# HELP {name} {text}", f"# TYPE {name} {kind}"]


def _labels(**values: str) -> str:
    """Returns labels in the text format; values have at most 64 characters."""
    labels = (
        f'{name}="{value[:64]}"'.replace("\n", " ")
        for name, value in values.items()
    )
    return ",".join(labels)


def _code(outcome: Outcome) -> str:
    if isinstance(outcome, Done):
        return str(outcome.response.status)
    return str(int(outcome.code))
