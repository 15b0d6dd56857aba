"""Classifies from the logs of all nodes why requests were late or failed.

Nodes log one line for each unusual request with its outcome, the time left to
its aim and the attempts made. `Loss` names the cause by which the request was
lost, i.e. answered late, failed or refused. Nodes count the lines that they
suppressed, and the summary reports their number.
"""

import collections
from collections.abc import Iterable
import dataclasses
import enum
import re

from radishwind.telemetry.explain import LogLine

#: A refusal up to this time after the request counts as immediate (ms).
IMMEDIATE_REFUSAL_MS = 50.0

#: Pace of an instance (run time relative to normal) from which its runs count
#: as slow.
SLOW_PACE = 1.5

_LOG_SENTENCE = "Answered a request"
_STEP = re.compile(
    r"(?P<target>\S+) \((?P<inputs>.*)\) (?P<took>\d+)ms (?P<end>\S+)"
)
_PACE = re.compile(r"pace=([\d.]+)")
_BUSY = re.compile(r"busy=(\d+)\+(\d+)/(\d+)")


class Loss(enum.StrEnum):
    """Cause by which a request was lost.

    Attributes:
      NONE: answered within its aim.
      QUEUE: late, and all slots of its target were in use.
      SLOW_INSTANCE: late, and its instance was slow when it was chosen.
      LONG_RUN: late, though its target was neither full nor slow.
      SEVERAL_TRIES: late after failed attempts.
      FAILED: its server failed, mostly because a call of the server failed.
      BROKEN_OFF: its response broke off or never arrived.
      REFUSED: refused immediately.
      REFUSED_LATE: refused after a wait.
    """

    NONE = "none"
    QUEUE = "late: queue"
    SLOW_INSTANCE = "late: slow instance"
    LONG_RUN = "late: long run"
    SEVERAL_TRIES = "late: several tries"
    FAILED = "failed at its server"
    BROKEN_OFF = "broken off"
    REFUSED = "refused at once"
    REFUSED_LATE = "refused late"


@dataclasses.dataclass(frozen=True, slots=True)
class LossRow:
    """Requests of one route that were lost by one cause.

    Attributes:
      route: name of the route.
      loss: cause.
      requests: number of logged requests.
      mean_ms: mean duration of the requests (ms).
    """

    route: str
    loss: Loss
    requests: int
    mean_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class LossSummary:
    """Lost requests by route, cause and time.

    Attributes:
      rows: lost requests by route and cause, the most frequent first.
      by_second: number of lost requests by second of the log and cause.
      held_back: number of lines that nodes suppressed.
    """

    rows: tuple[LossRow, ...]
    by_second: dict[int, collections.Counter[Loss]]
    held_back: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Step:
    """One logged attempt.

    Attributes:
      pace: run time relative to normal of the instance when it was chosen.
      is_full: whether all slots of the target were in use then.
      end: status, code or `cancelled`.
    """

    pace: float
    is_full: bool
    end: str


def summarize_losses(lines: Iterable[LogLine]) -> LossSummary:
    """Counts the lost requests in `lines`."""
    durations_ms: collections.defaultdict[tuple[str, Loss], list[float]]
    durations_ms = collections.defaultdict(list)
    by_second: dict[int, collections.Counter[Loss]] = {}
    held_back = 0
    for line in lines:
        if not line.text.removeprefix("entry: ").startswith(_LOG_SENTENCE):
            continue
        held_back += int(line.fields.get("held_back", 0))
        loss = classify_loss(line)
        if loss is Loss.NONE:
            continue
        route = str(line.fields.get("route", ""))
        durations_ms[route, loss].append(
            float(line.fields.get("elapsed_ms", 0.0))
        )
        second = by_second.setdefault(int(line.at), collections.Counter())
        second[loss] += 1
    rows = [
        LossRow(route, loss, len(durations), sum(durations) / len(durations))
        for (route, loss), durations in durations_ms.items()
    ]
    rows.sort(key=lambda row: (-row.requests, row.route, row.loss))
    return LossSummary(tuple(rows), by_second, held_back)


def classify_loss(line: LogLine) -> Loss:
    """Returns the cause by which the request of `line` was lost."""
    code = int(line.fields.get("code", 0))
    steps = _parse_steps(str(line.fields.get("steps", "")))
    if 3000 <= code < 4000:
        is_immediate = (
            float(line.fields.get("elapsed_ms", 0.0)) <= IMMEDIATE_REFUSAL_MS
        )
        return Loss.REFUSED if is_immediate else Loss.REFUSED_LATE
    if code >= 4000:
        return Loss.BROKEN_OFF
    if code >= 500:
        return Loss.FAILED
    if float(line.fields.get("aim_left_ms", 0.0)) >= 0:
        return Loss.NONE
    return _classify_late(steps)


def _classify_late(steps: list[_Step]) -> Loss:
    served = [step for step in steps if step.end == "200"]
    if len(steps) > 1 and any(step.end != "cancelled" for step in steps[:-1]):
        return Loss.SEVERAL_TRIES
    if not served:
        return Loss.LONG_RUN
    if served[-1].pace >= SLOW_PACE:
        return Loss.SLOW_INSTANCE
    return Loss.QUEUE if served[-1].is_full else Loss.LONG_RUN


def _parse_steps(text: str) -> list[_Step]:
    return [
        _parse_step(match)
        for match in map(_STEP.match, text.split("; "))
        if match
    ]


def _parse_step(match: re.Match[str]) -> _Step:
    inputs = match["inputs"]
    pace = _PACE.search(inputs)
    busy = _BUSY.search(inputs)
    is_full = False
    if busy is not None:
        running, waiting, slots = map(int, busy.groups())
        is_full = running + waiting >= slots
    return _Step(float(pace[1]) if pace else 1.0, is_full, match["end"])
