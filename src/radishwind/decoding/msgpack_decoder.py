"""Decodes MessagePack into a type."""

from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec

from radishwind.core.errors import RadishwindError
from radishwind.decoding.errors import check_size
from radishwind.decoding.errors import DECODE_ERRORS
from radishwind.decoding.errors import malformed
from radishwind.decoding.errors import MalformedInputError

_T = TypeVar("_T")


class MsgpackDecoder(Generic[_T]):
    """Decodes MessagePack messages of one type.

    Only nodes write them. Unknown fields are ignored, but a message that is
    nested more deeply than the parser accepts, some hundred levels, is refused.
    """

    def __init__(
        self,
        kind: Any,
        what: str,
        max_bytes: int,
        error: type[RadishwindError] = MalformedInputError,
    ) -> None:
        """Creates a decoder.

        Args:
          kind: type of the messages; a union of types as well.
          what: names a message in errors, such as `a load report`.
          max_bytes: size of the longest message accepted (bytes).
          error: raised for what can't be decoded.
        """
        self._decoder: msgspec.msgpack.Decoder[_T] = msgspec.msgpack.Decoder(
            kind
        )
        self._what = what
        self._max_bytes = max_bytes
        self._error = error

    def decode(self, data: bytes) -> _T:
        """Returns the message encoded in `data`.

        Raises:
          RadishwindError: `data` is too long or not such a message; of the
            type given to this decoder.
        """
        check_size(self._what, len(data), self._max_bytes, self._error)
        try:
            return self._decoder.decode(data)
        except DECODE_ERRORS as exc:
            raise malformed(self._what, exc, self._error) from exc
