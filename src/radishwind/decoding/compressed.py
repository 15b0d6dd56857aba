"""Decompresses zlib streams up to a size."""

import zlib

from radishwind.core.errors import RadishwindError
from radishwind.decoding.errors import DECODE_ERRORS
from radishwind.decoding.errors import malformed
from radishwind.decoding.errors import MalformedInputError


def decompress(
    packed: bytes,
    what: str,
    max_bytes: int,
    error: type[RadishwindError] = MalformedInputError,
) -> bytes:
    """Returns the content of a zlib stream.

    Args:
      packed: the stream.
      what: names the content in errors.
      max_bytes: size of the longest content accepted (bytes).
      error: raised for what can't be decompressed.

    Raises:
      RadishwindError: `packed` isn't a whole stream, or its content is too
        long; of the type `error`.
    """
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(packed, max_bytes)
    except DECODE_ERRORS as exc:
        raise malformed(what, exc, error) from exc
    if not decompressor.eof:
        raise error(
            f"expected {what} of at most {max_bytes} bytes in a whole stream"
        )
    return raw
