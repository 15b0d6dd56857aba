"""Prints a table and keeps it with its JSON under docs/measurements/."""

from collections.abc import Sequence
import json
import os
import pathlib
import platform
import subprocess
from typing import Any
from typing import TypeAlias

#: A heading and the rows of the table below it.
Section: TypeAlias = tuple[str, Sequence[dict[str, Any]]]

_FOLDER = pathlib.Path(__file__).parents[1] / "docs" / "measurements"


def commit() -> str:
    """Returns the commit the bench runs on, `+` for uncommitted changes."""
    root = _FOLDER.parents[1]
    revision = _git(root, "rev-parse", "--short=12", "HEAD")
    changed = _git(root, "status", "--porcelain", "--", "src", "bench")
    return revision + ("+" if changed else "")


def _git(root: pathlib.Path, *arguments: str) -> str:
    done = subprocess.run(
        ["git", "-C", str(root), *arguments],
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout.strip()


def table(rows: Sequence[dict[str, Any]]) -> str:
    """Returns `rows` as a Markdown table; the first row names the columns."""
    if not rows:
        return "(no rows)\n"
    columns = list(rows[0])
    lines = [
        "| " + " | ".join(columns) + " |",
        "|" + "---|" * len(columns),
    ]
    for row in rows:
        cells = [_cell(row.get(column, "")) for column in columns]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def _cell(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, dict):
        return ", ".join(f"{k}: {v}" for k, v in value.items())
    return str(value)


def keep(
    name: str,
    title: str,
    command: str,
    sections: Sequence[Section],
    notes: str = "",
) -> None:
    """Prints the sections and writes NAME.md and NAME.json.

    Args:
      name: of the files.
      title: of the page.
      command: that makes them again.
      sections: the tables.
      notes: what the reader must know of the run.
    """
    about = _about(command)
    text = _page(title, about, sections, notes)
    print(text)
    _FOLDER.mkdir(parents=True, exist_ok=True)
    (_FOLDER / f"{name}.md").write_text(text)
    content = {**about, "sections": {h: list(r) for h, r in sections}}
    (_FOLDER / f"{name}.json").write_text(json.dumps(content, indent=1) + "\n")


def _about(command: str) -> dict[str, Any]:
    """Returns what the figures were taken with."""
    return {
        "command": command,
        "commit": commit(),
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "load_at_end": os.getloadavg()[0],
    }


def _page(
    title: str,
    about: dict[str, Any],
    sections: Sequence[Section],
    notes: str,
) -> str:
    lines = [f"# {title}\n", f"    {about['command']}\n"]
    lines.append(
        f"Commit {about['commit']}, Python {about['python']}, "
        f"{about['cores']} cores, load average at the end "
        f"{about['load_at_end']:.1f}.\n"
    )
    if notes:
        lines.append(notes + "\n")
    for heading, rows in sections:
        lines.append(f"## {heading}\n")
        lines.append(table(rows))
    return "\n".join(lines)
