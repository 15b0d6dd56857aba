"""Decodes MessagePack into a type."""

from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec

from radishwind.decoding.errors import check_size
from radishwind.decoding.errors import DECODE_ERRORS
from radishwind.decoding.errors import malformed

_T = TypeVar("_T")


class MsgpackDecoder(Generic[_T]):
    """Decodes MessagePack messages of one type."""

    def __init__(self, kind: Any, what: str, max_bytes: int) -> None:
        """Creates a decoder.

        Args:
          kind: type of the messages; a union of types as well.
          what: names a message in errors, such as `a load report`.
          max_bytes: size of the longest message accepted (bytes).
        """
        self._decoder: msgspec.msgpack.Decoder[_T] = msgspec.msgpack.Decoder(
            kind
        )
        self._what = what
        self._max_bytes = max_bytes

    def decode(self, data: bytes) -> _T:
        """Returns the message encoded in `data`.

        Raises:
          MalformedInputError: `data` is too long or not such a message.
        """
        check_size(self._what, len(data), self._max_bytes)
        try:
            return self._decoder.decode(data)
        except DECODE_ERRORS as exc:
            raise malformed(self._what, exc) from exc
