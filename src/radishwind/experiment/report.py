"""What the callers of a play got."""

import collections
from collections.abc import Iterable
import dataclasses
import enum

from radishwind.experiment.scenario import RequestKind

#: Length of the windows of which the worst two are told (s).
WINDOW_S = 2.0


class RequestOutcome(enum.StrEnum):
    """What became of a request."""

    IN_AIM = "in aim"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRecord:
    """One request of a caller, with its returns.

    Attributes:
      kind: its kind.
      began: when it was sent first (s from the first caller).
      duration_s: until its end (s).
      end: what became of it.
      tries: how often it was sent.
    """

    kind: RequestKind
    began: float
    duration_s: float
    end: RequestOutcome
    tries: int

    @property
    def credit(self) -> float:
        """What it is worth."""
        if self.end is RequestOutcome.IN_AIM:
            return self.kind.worth
        return self.kind.late_worth if self.end is RequestOutcome.LATE else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class KindSummary:
    """The requests of one kind.

    Attributes:
      kind: its name.
      asked: requests.
      credit: earned, as a part of what was owed.
      ends: requests by what became of them.
      p50_s: median time of those answered (s).
      p99_s: 99th percentile of that (s).
    """

    kind: str
    asked: int
    credit: float
    ends: dict[RequestOutcome, int]
    p50_s: float
    p99_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The requests of a play.

    Attributes:
      answered: all of them.
      runs: requests that servers began to run.
      cold_crashes: how often a cold server got more than it stands.
    """

    records: tuple[RequestRecord, ...]
    runs: int
    cold_crashes: int = 0

    @property
    def credit(self) -> float:
        """What was earned, as a part of what was owed."""
        return _credit(self.records)

    @property
    def worst(self) -> float:
        """The mean of the two worst windows."""
        lowest = sorted(credit for _, credit in self.windows())[:2]
        return sum(lowest) / len(lowest) if lowest else 1.0

    def part(self, end: RequestOutcome) -> float:
        """Returns the part of the requests that ended so."""
        if not self.records:
            return 0.0
        return sum(a.end is end for a in self.records) / len(self.records)

    def windows(self) -> list[tuple[float, float]]:
        """Returns the beginning (s) and the credit of each window."""
        by_window: collections.defaultdict[int, list[RequestRecord]]
        by_window = collections.defaultdict(list)
        for answered in self.records:
            by_window[int(answered.began / WINDOW_S)].append(answered)
        return [
            (i * WINDOW_S, _credit(by_window[i])) for i in sorted(by_window)
        ]

    def kinds(self) -> list[KindSummary]:
        """Returns a row a kind, in order of name."""
        by_kind: collections.defaultdict[str, list[RequestRecord]]
        by_kind = collections.defaultdict(list)
        for answered in self.records:
            by_kind[answered.kind.name].append(answered)
        return [_row(name, by_kind[name]) for name in sorted(by_kind)]


def format_report(report: Report) -> str:
    """Returns `report` as text."""
    lines = [
        f"credit {report.credit:.3f}, worst windows {report.worst:.3f}, "
        f"{len(report.records)} requests, {report.runs} runs",
        f"{'kind':<18}{'asked':>7}{'credit':>8}"
        + "".join(f"{end:>9}" for end in RequestOutcome)
        + f"{'p50 ms':>9}{'p99 ms':>9}",
    ]
    lines += [
        f"{row.kind:<18}{row.asked:>7}{row.credit:>8.3f}"
        + "".join(f"{row.ends.get(end, 0):>9}" for end in RequestOutcome)
        + f"{row.p50_s * 1000:>9.0f}{row.p99_s * 1000:>9.0f}"
        for row in report.kinds()
    ]
    lines.append("from second  credit")
    lines += [f"{at:>11.0f}{credit:>8.3f}" for at, credit in report.windows()]
    return "\n".join(lines) + "\n"


def _row(name: str, answered: list[RequestRecord]) -> KindSummary:
    times = sorted(
        a.duration_s
        for a in answered
        if a.end in (RequestOutcome.IN_AIM, RequestOutcome.LATE)
    ) or [0.0]
    return KindSummary(
        name,
        len(answered),
        _credit(answered),
        dict(collections.Counter(a.end for a in answered)),
        times[len(times) // 2],
        times[int(len(times) * 0.99)],
    )


def _credit(answered: Iterable[RequestRecord]) -> float:
    answered = tuple(answered)
    owed = sum(a.kind.worth for a in answered)
    return sum(a.credit for a in answered) / owed if owed else 1.0
