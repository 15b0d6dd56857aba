"""Decodes JSON into a type."""

from typing import Generic
from typing import TypeVar

import msgspec

from radishwind.decoding.errors import check_size
from radishwind.decoding.errors import DECODE_ERRORS
from radishwind.decoding.errors import malformed
from radishwind.decoding.json_pruning import prune_deep_values

_T = TypeVar("_T")


class JsonDecoder(Generic[_T]):
    """Decodes JSON documents of one type.

    Fields that the type doesn't have are ignored, however deeply their values
    are nested: a newer version of the writer may add any.
    """

    def __init__(self, kind: type[_T], what: str, max_bytes: int) -> None:
        """Creates a decoder.

        Args:
          kind: type of the documents.
          what: names a document in errors, such as `a heartbeat`.
          max_bytes: size of the longest document accepted (bytes).
        """
        self._decoder = msgspec.json.Decoder(kind)
        self._what = what
        self._max_bytes = max_bytes

    def decode(self, data: bytes | msgspec.Raw) -> _T:
        """Returns the document encoded in `data`.

        Raises:
          MalformedInputError: `data` is too long or not such a document.
        """
        check_size(self._what, len(memoryview(data)), self._max_bytes)
        try:
            return self._decoder.decode(data)
        except RecursionError:
            # Where the parser gives up depends on the depth of the call stack,
            # so what it refuses is decoded again at a depth that it always
            # accepts.
            data = prune_deep_values(bytes(data))
        except DECODE_ERRORS as exc:
            raise malformed(self._what, exc) from exc
        try:
            return self._decoder.decode(data)
        except DECODE_ERRORS as exc:
            raise malformed(self._what, exc) from exc
