"""Decodes TOML into a type."""

import tomllib
from typing import TypeVar

import msgspec

from radishwind.decoding.errors import check_size
from radishwind.decoding.errors import DECODE_ERRORS
from radishwind.decoding.errors import malformed

#: Size of the longest file accepted (bytes).
MAX_TOML_BYTES = 1 << 20

_T = TypeVar("_T")


def decode_toml(text: str, kind: type[_T], what: str) -> _T:
    """Returns the document in `text`.

    Args:
      text: a TOML document.
      kind: type of the document.
      what: names the document in errors, such as `a settings file`.

    Raises:
      MalformedInputError: `text` is too long or not such a document.
    """
    check_size(what, len(text), MAX_TOML_BYTES)
    try:
        return msgspec.convert(tomllib.loads(text), kind)
    except DECODE_ERRORS as exc:
        raise malformed(what, exc) from exc
