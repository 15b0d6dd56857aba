"""Converts values that were parsed before."""

from typing import Any
from typing import TypeVar

import msgspec

from radishwind.core.errors import RadishwindError
from radishwind.decoding.errors import DECODE_ERRORS
from radishwind.decoding.errors import malformed
from radishwind.decoding.errors import MalformedInputError

_T = TypeVar("_T")


def convert(
    value: Any,
    kind: type[_T],
    what: str,
    error: type[RadishwindError] = MalformedInputError,
) -> _T:
    """Returns `value` as an instance of `kind`.

    Args:
      value: builtin types, such as parsers return.
      kind: the type.
      what: names the value in errors.
      error: raised for what can't be converted.

    Raises:
      RadishwindError: `value` isn't such an instance; of the type `error`.
    """
    try:
        return msgspec.convert(value, kind)
    except DECODE_ERRORS as exc:
        raise malformed(what, exc, error) from exc
