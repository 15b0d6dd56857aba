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
        return tomllib.loads(text)
    except DECODE_ERRORS as exc:
        raise malformed(what, exc, error) from exc
