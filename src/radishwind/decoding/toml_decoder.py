"""Decodes TOML into a type."""

import tomllib
from typing import Any
from typing import TypeVar

from radishwind.core.errors import RadishwindError
from radishwind.decoding.errors import check_size
from radishwind.decoding.errors import DECODE_ERRORS
from radishwind.decoding.errors import malformed
from radishwind.decoding.errors import MalformedInputError
from radishwind.decoding.values import convert

#: Size of the longest file accepted (bytes).
MAX_TOML_BYTES = 1 << 20

#: Maximum number of parts of a dotted key. The time that the parser takes for
#: one grows with their square, and blocks the event loop.
MAX_KEY_PARTS = 128

#: Characters that end a dotted key.
_KEY_ENDS = frozenset("\n,={}[]#")

_T = TypeVar("_T")


def decode_toml(
    text: str,
    kind: type[_T],
    what: str,
    error: type[RadishwindError] = MalformedInputError,
) -> _T:
    """Returns the document in `text`.

    Args:
      text: a TOML document.
      kind: type of the document.
      what: names the document in errors, such as `a settings file`.
      error: raised for what can't be decoded.

    Raises:
      RadishwindError: `text` is too long or not such a document; of the type
        `error`.
    """
    return convert(parse_toml(text, what, error), kind, what, error)


def parse_toml(
    text: str,
    what: str,
    error: type[RadishwindError] = MalformedInputError,
) -> dict[str, Any]:
    """Returns the tables in `text`, unchecked; see `decode_toml`."""
    try:
        size_bytes = len(text.encode())
        check_size(what, size_bytes, MAX_TOML_BYTES, error)
        _check_keys(text)
        return tomllib.loads(text)
    except DECODE_ERRORS as exc:
        raise malformed(what, exc, error) from exc


def _check_keys(text: str) -> None:
    """Checks the length of dotted keys, before they are parsed.

    Raises:
      ValueError: a key has too many parts.
    """
    parts = 0
    for part in text.split("."):
        is_key_part = part.strip() and _KEY_ENDS.isdisjoint(part)
        parts = parts + 1 if is_key_part else 1
        if parts > MAX_KEY_PARTS:
            raise ValueError(
                f"expected dotted keys of {MAX_KEY_PARTS} parts at most"
            )
