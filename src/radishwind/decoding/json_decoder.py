"""Decodes JSON into a type."""

from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec

from radishwind.core.errors import RadishwindError
from radishwind.decoding.errors import check_size
from radishwind.decoding.errors import DECODE_ERRORS
from radishwind.decoding.errors import malformed
from radishwind.decoding.errors import MalformedInputError
from radishwind.decoding.json_pruning import prune_deep_values

#: Size of the longest document that is shortened (bytes). The search takes
#: seconds for longer ones, in which the event loop waits.
MAX_PRUNED_BYTES = 1 << 20

_T = TypeVar("_T")


class JsonDecoder(Generic[_T]):
    """Decodes JSON documents of one type.

    Fields that the type doesn't have are ignored, however deeply their values
    are nested: a newer version of the writer may add any.
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
          kind: type of the documents; a union of types as well.
          what: names a document in errors, such as `a heartbeat`.
          max_bytes: size of the longest document accepted (bytes).
          error: raised for what can't be decoded.
        """
        self._decoder: msgspec.json.Decoder[_T] = msgspec.json.Decoder(kind)
        self._what = what
        self._max_bytes = max_bytes
        self._error = error

    def decode(self, data: bytes | str | msgspec.Raw) -> _T:
        """Returns the document encoded in `data`.

        Raises:
          RadishwindError: `data` is too long or not such a document; of the
            type given to this decoder.
        """
        if isinstance(data, msgspec.Raw):
            data = bytes(data)
        check_size(self._what, len(data), self._max_bytes, self._error)
        try:
            return self._decoder.decode(data)
        except RecursionError:
            # Where the parser gives up depends on the depth of the call stack,
            # so what it refuses is decoded again at a depth that it always
            # accepts.
            return self._decode_pruned(data)
        except DECODE_ERRORS as exc:
            raise malformed(self._what, exc, self._error) from exc

    def _decode_pruned(self, data: bytes | str) -> _T:
        raw = data.encode() if isinstance(data, str) else data
        try:
            check_size(
                f"{self._what} nested so deeply",
                len(raw),
                MAX_PRUNED_BYTES,
                self._error,
            )
            return self._decoder.decode(prune_deep_values(raw))
        except DECODE_ERRORS as exc:
            raise malformed(self._what, exc, self._error) from exc
