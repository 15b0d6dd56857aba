"""Says by what requests lost their worth, from the logs of all nodes.

Each unusual request has one line with its outcome, the time left to its aim and
the attempts made; `Loss` names what it lost its worth by. Lines that were held
back are counted by their node and told as such.
"""

import collections
from collections.abc import Iterable
import dataclasses
import enum
import re

from radishwind.telemetry.explain import LogLine

#: A refusal within this time of the request is one at once (ms).
AT_ONCE_MS = 50.0

#: A pace from which on a run counts as slow by its instance.
SLOW_PACE = 1.5

_ANSWERED = "Answered a request"
_STEP = re.compile(
    r"(?P<target>\S+) \((?P<inputs>.*)\) (?P<took>\d+)ms (?P<end>\S+)"
)
_PACE = re.compile(r"pace=([\d.]+)")
_BUSY = re.compile(r"busy=(\d+)\+(\d+)/(\d+)")


class Loss(enum.StrEnum):
    """What a request lost its worth by.

    Attributes:
      NONE: it was answered within its aim.
      QUEUE: late, and every slot of its target was in use.
      SLOW_INSTANCE: late, and its instance was slow when it was chosen.
      LONG_RUN: late, though its target was neither full nor slow.
      SEVERAL_TRIES: late after attempts that came to nothing.
      FAILED: its server failed, mostly by a call of its own.
      BROKEN_OFF: its answer broke off or never came.
      REFUSED: refused at once.
      REFUSED_LATE: refused after it was held.
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
    """The requests of one route that lost their worth by one thing.

    Attributes:
      route: its name.
      loss: by what.
      requests: how many were logged.
      mean_ms: how long they took in the mean (ms).
    """

    route: str
    loss: Loss
    requests: int
    mean_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class LossSummary:
    """What was lost.

    Attributes:
      rows: the greatest first.
      by_second: losses by second of the log.
      held_back: lines that nodes did not write.
    """

    rows: tuple[LossRow, ...]
    by_second: dict[int, collections.Counter[Loss]]
    held_back: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Step:
    """One attempt as the log tells it."""

    pace: float
    is_full: bool
    end: str


def summarize_losses(lines: Iterable[LogLine]) -> LossSummary:
    """Returns what the requests in `lines` lost their worth by."""
    times: collections.defaultdict[tuple[str, Loss], list[float]]
    times = collections.defaultdict(list)
    by_second: dict[int, collections.Counter[Loss]] = {}
    held_back = 0
    for line in lines:
        if not line.text.removeprefix("entry: ").startswith(_ANSWERED):
            continue
        held_back += int(line.fields.get("held_back", 0))
        loss = classify_loss(line)
        if loss is Loss.NONE:
            continue
        route = str(line.fields.get("route", ""))
        times[route, loss].append(float(line.fields.get("elapsed_ms", 0.0)))
        second = by_second.setdefault(int(line.at), collections.Counter())
        second[loss] += 1
    rows = [
        LossRow(route, loss, len(took), sum(took) / len(took))
        for (route, loss), took in times.items()
    ]
    rows.sort(key=lambda row: (-row.requests, row.route, row.loss))
    return LossSummary(tuple(rows), by_second, held_back)


def classify_loss(line: LogLine) -> Loss:
    """Returns what the request of `line` lost its worth by."""
    code = int(line.fields.get("code", 0))
    steps = _steps(str(line.fields.get("steps", "")))
    if 3000 <= code < 4000:
        at_once = float(line.fields.get("elapsed_ms", 0.0)) <= AT_ONCE_MS
        return Loss.REFUSED if at_once else Loss.REFUSED_LATE
    if code >= 4000:
        return Loss.BROKEN_OFF
    if code >= 500:
        return Loss.FAILED
    if float(line.fields.get("aim_left_ms", 0.0)) >= 0:
        return Loss.NONE
    return _late(steps)


def _late(steps: list[_Step]) -> Loss:
    served = [step for step in steps if step.end == "200"]
    if len(steps) > 1 and any(step.end != "cancelled" for step in steps[:-1]):
        return Loss.SEVERAL_TRIES
    if not served:
        return Loss.LONG_RUN
    if served[-1].pace >= SLOW_PACE:
        return Loss.SLOW_INSTANCE
    return Loss.QUEUE if served[-1].is_full else Loss.LONG_RUN


def _steps(text: str) -> list[_Step]:
    return [
        _step(found) for found in map(_STEP.match, text.split("; ")) if found
    ]


def _step(found: re.Match[str]) -> _Step:
    inputs = found["inputs"]
    pace = _PACE.search(inputs)
    busy = _BUSY.search(inputs)
    is_full = False
    if busy is not None:
        running, waiting, slots = map(int, busy.groups())
        is_full = running + waiting >= slots
    return _Step(float(pace[1]) if pace else 1.0, is_full, found["end"])
