"""Collects the log lines of all nodes that concern one request.

Each line of a log file has one JSON object. A collector may put a prefix before
it, such as a time and the name of the node; the last word of the prefix names
the node. The lines of the request are complemented by changes of state that may
have affected it: those that the involved nodes logged, or that mention one of
them, shortly before the request and while it ran.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import pathlib
from typing import Any
from typing import TypeGuard

from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError
from radishwind.decoding.numbers import MAX_FLOAT
from radishwind.decoding.sizes import MAX_LINE_BYTES

#: Changes logged up to this long before the start of a request are included
#: (s).
CONTEXT_BEFORE_S = 3.0

_decoder = JsonDecoder[dict[str, Any]](
    dict[str, Any], "a log line", MAX_LINE_BYTES
)

#: Fields of every line that are not shown to operators.
_HIDDEN_FIELDS = frozenset(
    {"timestamp", "task_uuid", "task_level", "message_type", "level", "text"}
)

#: Fields that are numbers; left out of a line in which they are something else.
_NUMBER_FIELDS = frozenset({"elapsed_ms", "held_back", "code", "aim_left_ms"})


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Attributes:
      at: time at which it was logged (s since the epoch, UTC).
      node: node that logged it: the word before the object, or the file's name.
      text: sentence.
      fields: further fields.
    """

    at: float
    node: str
    text: str
    fields: dict[str, Any]

    def format_row(self) -> str:
        """Returns the line as one row of text for operators."""
        fields = " ".join(f"{k}={v}" for k, v in self.fields.items())
        return f"{self.at:.3f} {self.node}: {self.text} {fields}".rstrip()


def read_log(path: pathlib.Path) -> Iterator[LogLine]:
    """Yields the log lines of one file; skips any other line."""
    with path.open("rb") as file:
        for raw in file:
            line = _parse_line(raw, path.stem)
            if line is not None:
                yield line


def explain_request(
    request_id: str, paths: Iterable[pathlib.Path]
) -> list[LogLine]:
    """Returns the lines that concern a request, ordered by time.

    Args:
      request_id: id of the request, as sent by its caller.
      paths: log files of all nodes.
    """
    files = list(paths)
    own = [
        line
        for path in files
        for line in read_log(path)
        if line.fields.get("request") == request_id
    ]
    if not own:
        return []
    first = min(_started_at(line) for line in own) - CONTEXT_BEFORE_S
    last = max(line.at for line in own)
    names = _involved_nodes(own)
    context = [
        line
        for path in files
        for line in read_log(path)
        if "request" not in line.fields
        and first <= line.at <= last
        and (line.node in names or _mentions_any(line, names))
    ]
    return sorted([*own, *context], key=lambda line: line.at)


def _parse_line(raw: bytes, default_node: str) -> LogLine | None:
    start = raw.find(b"{")
    if start < 0:
        return None
    try:
        message = _decoder.decode(raw[start:])
    except MalformedInputError:
        return None
    timestamp = message.get("timestamp")
    if not _is_number(timestamp):
        return None
    prefix = raw[:start].decode("utf-8", "replace").split()
    fields = {
        k: v
        for k, v in message.items()
        if k not in _HIDDEN_FIELDS
        and v not in (None, "")
        and (k not in _NUMBER_FIELDS or _is_number(v))
    }
    node = prefix[-1] if prefix else default_node
    text = str(message.get("text", ""))
    return LogLine(float(timestamp), node, text, fields)


def _is_number(value: Any) -> TypeGuard[float]:
    return isinstance(value, int | float) and abs(value) <= MAX_FLOAT


def _started_at(line: LogLine) -> float:
    return line.at - float(line.fields.get("elapsed_ms", 0.0)) / 1000


def _involved_nodes(lines: list[LogLine]) -> frozenset[str]:
    """Returns the nodes that logged `lines` and those that were tried."""
    names = {line.node for line in lines}
    for line in lines:
        for step in str(line.fields.get("steps", "")).split("; "):
            if step:
                names.add(step.split(" ", 1)[0])
    return frozenset(names)


def _mentions_any(line: LogLine, names: frozenset[str]) -> bool:
    return any(name in line.text for name in names)
