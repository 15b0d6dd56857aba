"""The error of every decoder, and the errors of the libraries behind it."""

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
)

#: Longest reason in a message (characters); it may quote the input.
MAX_REASON_CHARS = 160


class MalformedInputError(RadishwindError):
    """Bytes of another program can't be decoded; nothing of them is used."""

    code = ResultCode.INPUT_MALFORMED


def malformed(what: str, exc: Exception) -> MalformedInputError:
    """Returns the error that stands for `exc`, raised while decoding `what`."""
    reason = str(exc)[:MAX_REASON_CHARS] or type(exc).__name__
    return MalformedInputError(f"expected {what}: {reason}")


def check_size(what: str, size_bytes: int, max_bytes: int) -> None:
    """Raises `MalformedInputError` if the input is longer than `max_bytes`."""
    if size_bytes > max_bytes:
        raise MalformedInputError(
            f"expected {what} of at most {max_bytes} bytes, got {size_bytes}"
        )
