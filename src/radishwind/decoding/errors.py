"""The error of every decoder, and the errors of the libraries behind it."""

import binascii
import zlib

import msgspec

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError

#: What the parsers raise for some input. `ValueError` includes text that isn't
#: UTF-8 and integers of more digits than the interpreter converts;
#: `RecursionError` comes of input that is nested too deeply.
DECODE_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    OverflowError,
    RecursionError,
    binascii.Error,
    zlib.error,
)

#: Longest reason in a message (characters); it may quote the input.
MAX_REASON_CHARS = 160


class MalformedInputError(RadishwindError):
    """Bytes of another program can't be decoded; nothing of them is used."""

    code = ResultCode.INPUT_MALFORMED


def malformed(
    what: str, exc: Exception, error: type[RadishwindError]
) -> RadishwindError:
    """Returns the `error` that stands for `exc`, raised while decoding `what`.

    Its message has no line breaks or lone surrogates, so that it can be logged.
    """
    reason = str(exc)[:MAX_REASON_CHARS] or type(exc).__name__
    if not reason.isprintable():
        reason = ascii(reason)
    return error(f"expected {what}, got malformed input: {reason}")


def check_size(
    what: str, size_bytes: int, max_bytes: int, error: type[RadishwindError]
) -> None:
    """Raises `error` if the input is longer than `max_bytes`."""
    if size_bytes > max_bytes:
        raise error(
            f"expected at most {max_bytes} bytes of {what}, got {size_bytes}"
        )
