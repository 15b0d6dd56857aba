"""Decodes UTF-8 and base64."""

import base64

from radishwind.core.errors import RadishwindError
from radishwind.decoding.errors import check_size
from radishwind.decoding.errors import DECODE_ERRORS
from radishwind.decoding.errors import malformed
from radishwind.decoding.errors import MalformedInputError


def decode_text(
    data: bytes,
    what: str,
    max_bytes: int,
    error: type[RadishwindError] = MalformedInputError,
) -> str:
    """Returns the UTF-8 text in `data`.

    Args:
      data: the bytes.
      what: names the text in errors.
      max_bytes: size of the longest text accepted (bytes).
      error: raised for what can't be decoded.

    Raises:
      RadishwindError: `data` is too long or not UTF-8; of the type `error`.
    """
    check_size(what, len(data), max_bytes, error)
    try:
        return data.decode()
    except DECODE_ERRORS as exc:
        raise malformed(what, exc, error) from exc


def decode_base64(
    text: str,
    what: str,
    error: type[RadishwindError] = MalformedInputError,
    *,
    is_url_safe: bool = False,
) -> bytes:
    """Returns the bytes that are encoded in `text`.

    Args:
      text: base64, with padding.
      what: names the bytes in errors.
      error: raised for what can't be decoded.
      is_url_safe: whether `text` has `-` and `_` in place of `+` and `/`.

    Raises:
      RadishwindError: `text` isn't base64; of the type `error`.
    """
    altchars = b"-_" if is_url_safe else None
    try:
        return base64.b64decode(text, altchars, validate=True)
    except DECODE_ERRORS as exc:
        raise malformed(what, exc, error) from exc
