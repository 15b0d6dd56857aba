"""Results of a simulation as its callers saw them."""

import collections
from collections.abc import Iterable
import dataclasses
import enum

from radishwind.experiment.scenario import RequestKind

#: Length of the windows over which the credit is reported (s).
WINDOW_S = 2.0


class RequestOutcome(enum.StrEnum):
    """Outcome of a request as its caller saw it.

    Attributes:
      IN_AIM: answered within the aim of its kind.
      LATE: answered later than that.
      REFUSED: refused with status 503 at the last attempt.
      FAILED: timed out, broken off or answered with another status.
    """

    IN_AIM = "in aim"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRecord:
    """One request of an external caller, including its retries.

    Attributes:
      kind: kind of the request.
      began: time of the first attempt (s since the start of the load).
      duration_s: time until the final outcome (s).
      outcome: outcome of the last attempt.
      attempts: number of attempts.
    """

    kind: RequestKind
    began: float
    duration_s: float
    outcome: RequestOutcome
    attempts: int

    @property
    def credit(self) -> float:
        """Credit earned by the request."""
        if self.outcome is RequestOutcome.IN_AIM:
            return self.kind.worth
        return (
            self.kind.late_worth if self.outcome is RequestOutcome.LATE else 0.0
        )


@dataclasses.dataclass(frozen=True, slots=True)
class KindSummary:
    """Summary of the requests of one kind.

    Attributes:
      kind: name of the kind.
      request_count: number of requests.
      credit: credit earned, as a fraction of the most that could be earned.
      outcomes: number of requests by outcome.
      p50_s: median response time of the answered requests (s).
      p99_s: 99th percentile of their response time (s).
    """

    kind: str
    request_count: int
    credit: float
    outcomes: dict[RequestOutcome, int]
    p50_s: float
    p99_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Results of a simulation.

    Attributes:
      records: all requests of external callers.
      runs: number of requests that backend servers started to run.
      cold_crashes: number of crashes of cold servers by overload.
      limit_excess: most requests beyond those allowed that a server got in a
        window while it stated a limit.
      late_arrivals: requests that reached servers too late after they had
        stated that they leave.
    """

    records: tuple[RequestRecord, ...]
    runs: int
    cold_crashes: int = 0
    limit_excess: float = 0.0
    late_arrivals: int = 0

    @property
    def credit(self) -> float:
        """Credit earned, as a fraction of the most that could be earned."""
        return _credit(self.records)

    @property
    def worst(self) -> float:
        """Mean credit of the two windows with the lowest credit."""
        lowest = sorted(credit for _, credit in self.windows())[:2]
        return sum(lowest) / len(lowest) if lowest else 1.0

    def outcome_fraction(self, outcome: RequestOutcome) -> float:
        """Returns the fraction of the requests with that `outcome`."""
        if not self.records:
            return 0.0
        return sum(a.outcome is outcome for a in self.records) / len(
            self.records
        )

    def windows(self) -> list[tuple[float, float]]:
        """Returns the start (s) and the credit of each window."""
        by_window: collections.defaultdict[int, list[RequestRecord]]
        by_window = collections.defaultdict(list)
        for record in self.records:
            by_window[int(record.began / WINDOW_S)].append(record)
        return [
            (i * WINDOW_S, _credit(by_window[i])) for i in sorted(by_window)
        ]

    def kind_summaries(self) -> list[KindSummary]:
        """Returns a summary of each kind, sorted by name."""
        by_kind: collections.defaultdict[str, list[RequestRecord]]
        by_kind = collections.defaultdict(list)
        for record in self.records:
            by_kind[record.kind.name].append(record)
        return [_summarize(name, by_kind[name]) for name in sorted(by_kind)]


def format_report(report: Report) -> str:
    """Formats `report` as a text table."""
    lines = [
        f"credit {report.credit:.3f}, worst windows {report.worst:.3f}, "
        f"{len(report.records)} requests, {report.runs} runs",
        f"{'kind':<18}{'asked':>7}{'credit':>8}"
        + "".join(f"{outcome:>9}" for outcome in RequestOutcome)
        + f"{'p50 ms':>9}{'p99 ms':>9}",
    ]
    lines += [
        f"{row.kind:<18}{row.request_count:>7}{row.credit:>8.3f}"
        + "".join(
            f"{row.outcomes.get(outcome, 0):>9}" for outcome in RequestOutcome
        )
        + f"{row.p50_s * 1000:>9.0f}{row.p99_s * 1000:>9.0f}"
        for row in report.kind_summaries()
    ]
    if report.limit_excess:
        lines.append(f"limit exceeded by {report.limit_excess:.1f} requests")
    if report.late_arrivals:
        lines.append(f"{report.late_arrivals} requests reached leaving servers")
    lines.append("from second  credit")
    lines += [f"{at:>11.0f}{credit:>8.3f}" for at, credit in report.windows()]
    return "\n".join(lines) + "\n"


def _summarize(name: str, records: list[RequestRecord]) -> KindSummary:
    times = sorted(
        a.duration_s
        for a in records
        if a.outcome in (RequestOutcome.IN_AIM, RequestOutcome.LATE)
    ) or [0.0]
    return KindSummary(
        name,
        len(records),
        _credit(records),
        dict(collections.Counter(a.outcome for a in records)),
        times[len(times) // 2],
        times[int(len(times) * 0.99)],
    )


def _credit(records: Iterable[RequestRecord]) -> float:
    records = tuple(records)
    max_credit = sum(a.kind.worth for a in records)
    return sum(a.credit for a in records) / max_credit if max_credit else 1.0
