"""Compares the record of a session with its golden file.

A record has one line a message or decision, without ports, ids or times that
vary. `scripts/test tests/proofs --refresh-golden` writes the files anew.
"""

from collections.abc import Sequence
import difflib
import pathlib

GOLDEN = pathlib.Path(__file__).parents[1] / "golden"


def file_name(words: str) -> str:
    """Returns the name of the golden file of a session."""
    kept = "".join(c if c.isalnum() else "-" for c in words.lower())
    return kept.strip("-") + ".txt"


def difference(
    words: str, lines: Sequence[str], refresh: bool, golden: pathlib.Path
) -> str:
    """Returns how a session differs from its golden file; empty if not.

    Args:
      words: name the session.
      lines: its record.
      refresh: whether to write the file instead.
      golden: where the files are.
    """
    path = golden / file_name(words)
    if refresh:
        path.write_text("".join(f"{line}\n" for line in lines))
        return ""
    if not path.is_file():
        return f"{path.name} is missing; make it with --refresh-golden"
    kept = path.read_text().splitlines()
    return "\n".join(
        difflib.unified_diff(kept, lines, path.name, "now", lineterm="")
    )


class Golden:
    """The golden files, refreshed or compared as the run was asked to."""

    def __init__(self, refresh: bool) -> None:
        self._refresh = refresh

    def check(self, words: str, lines: Sequence[str]) -> None:
        """Fails with a diff where the session is not the recorded one."""
        told = difference(words, lines, self._refresh, GOLDEN)
        assert not told, told
