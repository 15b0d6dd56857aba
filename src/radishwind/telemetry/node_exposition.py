"""Counters and answer times as Prometheus text, for a node that starts often.

prometheus-client took 0.23 s and 5 MB at its first import
(`docs/sidecar.md`), where the whole node listens 0.48 s after its start and
peaks at 34 MB; so the text format is written here. What OpenTelemetry's SDK
would take there was not measured.
"""

import bisect
from collections.abc import Callable
from collections.abc import Mapping

from radishwind.entry.call import Call
from radishwind.entry.call import CallRejectedError
from radishwind.entry.observer import CallObserver
from radishwind.outcomes import Done
from radishwind.outcomes import Outcome

#: Upper bounds of the answer times (s).
BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 1.5, 2.5)

#: Kinds of requests counted apart; further ones are counted together.
MAX_SERIES = 256

#: Reads values by the labels of their series.
Read = Callable[[], Mapping[str, float]]


class Histogram:
    """Counts values by upper bounds.

    Attributes:
      counts: values up to each bound, and beyond the last.
      total: the sum of all values.
    """

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_S) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Counts `value`."""
        self.counts[bisect.bisect_left(BOUNDS_S, value)] += 1
        self.total += value


class NodeExposition(CallObserver):
    """What a node counts, as text."""

    def __init__(self) -> None:
        self._requests: dict[str, int] = {}
        self._times: dict[str, Histogram] = {}
        self._read: list[tuple[str, str, str, Read]] = []

    def finished(self, call: Call, outcome: Outcome, elapsed_s: float) -> None:
        self._count(call.service, type(outcome).__name__, _code(outcome))
        kind = _labels(
            service=call.service, idempotent=str(call.idempotent).lower()
        )
        times = self._times.get(kind)
        if times is None:
            if len(self._times) >= MAX_SERIES:
                return
            times = self._times[kind] = Histogram()
        times.observe(elapsed_s)

    def rejected(self, exc: CallRejectedError) -> None:
        self._count("", "NotRun", str(int(exc.code)))

    def _count(self, service: str, outcome: str, code: str) -> None:
        """Counts a request; one of too many kinds among the others."""
        labels = _labels(service=service, outcome=outcome, code=code)
        if labels not in self._requests and len(self._requests) >= MAX_SERIES:
            labels = _labels(service="other", outcome="other", code="")
        self._requests[labels] = self._requests.get(labels, 0) + 1

    def add_counter(self, name: str, text: str, read: Read) -> None:
        """Adds values that only grow, read when they are asked for."""
        self._read.append(("counter", name, text, read))

    def add_gauge(self, name: str, text: str, read: Read) -> None:
        """Adds values that go up and down, read when they are asked for."""
        self._read.append(("gauge", name, text, read))

    def metric_names(self) -> tuple[str, ...]:
        """Returns the names of all metrics."""
        read = tuple(name for _, name, _, _ in self._read)
        return (
            "radishwind_requests_total",
            "radishwind_request_duration_seconds",
            *read,
        )

    def render(self) -> str:
        """Returns every metric in Prometheus' text format."""
        lines = _head("counter", "radishwind_requests_total", "Answers.")
        lines += [
            f"radishwind_requests_total{{{labels}}} {count}"
            for labels, count in self._requests.items()
        ]
        lines += self._histogram_lines()
        for kind, name, text, read in self._read:
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
        for labels, times in self._times.items():
            below = 0
            for bound, count in zip(BOUNDS_S, times.counts, strict=False):
                below += count
                lines.append(
                    f'{name}_bucket{{{labels},le="{bound:g}"}} {below}'
                )
            below += times.counts[-1]
            lines.append(f'{name}_bucket{{{labels},le="+Inf"}} {below}')
            lines.append(f"{name}_sum{{{labels}}} {times.total:.6f}")
            lines.append(f"{name}_count{{{labels}}} {below}")
        return lines


def _head(kind: str, name: str, text: str) -> list[str]:
    return [f"# HELP {name} {text}", f"# TYPE {name} {kind}"]


def _labels(**values: str) -> str:
    """Returns labels as the text format has them."""
    told = (
        f'{name}="{value[:64]}"'.replace("\n", " ")
        for name, value in values.items()
    )
    return ",".join(told)


def _code(outcome: Outcome) -> str:
    if isinstance(outcome, Done):
        return str(outcome.response.status)
    return str(int(outcome.code))
