"""Gathers what the logs of all nodes tell of one request.

A log file has one JSON object a line; what stands before it, such as a time
and the name of a node that a collector put there, is kept. Around the lines of
the request itself stand the changes that the same node logged shortly before
and while it ran, since they are what the request met.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import pathlib
from typing import Any

import msgspec

#: Changes so long before the last line of a request belong to it (s).
CONTEXT_BEFORE_S = 3.0

_decoder = msgspec.json.Decoder(dict[str, Any])

#: Fields of every line that tell an operator nothing more.
_LEFT_OUT = frozenset(
    {"timestamp", "task_uuid", "task_level", "message_type", "level", "text"}
)


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Attributes:
      at: when it was written (s since the epoch, UTC).
      node: who wrote it: the word before the object, or the file's name.
      text: the sentence.
      fields: what it is about.
    """

    at: float
    node: str
    text: str
    fields: dict[str, Any]

    def format_row(self) -> str:
        """Returns the line as one row for an operator."""
        told = " ".join(f"{k}={v}" for k, v in self.fields.items())
        return f"{self.at:.3f} {self.node}: {self.text} {told}".rstrip()


def read_log(path: pathlib.Path) -> Iterator[LogLine]:
    """Yields the lines of one file; what is no log line is passed over."""
    with path.open("rb") as file:
        for raw in file:
            line = _parsed(raw, path.stem)
            if line is not None:
                yield line


def explain_request(
    request_id: str, paths: Iterable[pathlib.Path]
) -> list[LogLine]:
    """Returns the lines that tell what became of a request, by time.

    Args:
      request_id: the name of the request, as its caller sent it.
      paths: the logs of all nodes.
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
    first = min(_began(line) for line in own) - CONTEXT_BEFORE_S
    last = max(line.at for line in own)
    named = _names_in(own)
    around = [
        line
        for path in files
        for line in read_log(path)
        if "request" not in line.fields
        and first <= line.at <= last
        and (line.node in named or _is_about(line, named))
    ]
    return sorted([*own, *around], key=lambda line: line.at)


def _parsed(raw: bytes, default_node: str) -> LogLine | None:
    start = raw.find(b"{")
    if start < 0:
        return None
    try:
        told = _decoder.decode(raw[start:])
    except msgspec.MsgspecError:
        return None
    if "timestamp" not in told:
        return None
    before = raw[:start].decode("utf-8", "replace").split()
    fields = {
        k: v
        for k, v in told.items()
        if k not in _LEFT_OUT and v not in (None, "")
    }
    node = before[-1] if before else default_node
    text = str(told.get("text", ""))
    return LogLine(float(told["timestamp"]), node, text, fields)


def _began(line: LogLine) -> float:
    return line.at - float(line.fields.get("elapsed_ms", 0.0)) / 1000


def _names_in(lines: list[LogLine]) -> frozenset[str]:
    """Returns the nodes that answered and those that were tried."""
    names = {line.node for line in lines}
    for line in lines:
        for step in str(line.fields.get("steps", "")).split("; "):
            if step:
                names.add(step.split(" ", 1)[0])
    return frozenset(names)


def _is_about(line: LogLine, names: frozenset[str]) -> bool:
    return any(name in line.text for name in names)
