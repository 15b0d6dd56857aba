"""Compares the recorded lines of a session with its golden file.

A session has one line for each message or decision, without ports, ids or times
that vary between runs. `scripts/test tests/proofs --refresh-golden` rewrites
the files.
"""

from collections.abc import Sequence
import difflib
import pathlib

GOLDEN_DIR = pathlib.Path(__file__).parents[1] / "golden"


def golden_file_name(session_name: str) -> str:
    """Returns the name of the golden file of a session."""
    slug = "".join(c if c.isalnum() else "-" for c in session_name.lower())
    return slug.strip("-") + ".txt"


def golden_diff(
    session_name: str,
    lines: Sequence[str],
    refresh: bool,
    directory: pathlib.Path,
) -> str:
    """Returns the difference of a session from its golden file; empty if none.

    Args:
      session_name: name of the session.
      lines: recorded lines of the session.
      refresh: whether to write the file instead of comparing it.
      directory: directory of the golden files.
    """
    path = directory / golden_file_name(session_name)
    if refresh:
        path.write_text("".join(f"{line}\n" for line in lines))
        return ""
    if not path.is_file():
        return f"{path.name} is missing; make it with --refresh-golden"
    expected = path.read_text().splitlines()
    return "\n".join(
        difflib.unified_diff(expected, lines, path.name, "now", lineterm="")
    )


class GoldenFiles:
    """Compares sessions with the golden files, or rewrites the files."""

    def __init__(self, refresh: bool) -> None:
        self._refresh = refresh

    def check(self, session_name: str, lines: Sequence[str]) -> None:
        """Fails with a diff if the session differs from its golden file."""
        diff = golden_diff(session_name, lines, self._refresh, GOLDEN_DIR)
        assert not diff, diff
