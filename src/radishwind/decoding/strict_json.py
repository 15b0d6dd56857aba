"""Parses JSON that a person wrote, so that slips in it are reported."""

from collections.abc import Callable
import json
from typing import Any
from typing import NoReturn
from typing import TypeAlias

from radishwind.decoding.errors import check_size
from radishwind.decoding.errors import DECODE_ERRORS
from radishwind.decoding.errors import malformed
from radishwind.decoding.errors import MalformedInputError

#: Called with the fields of an object in order, also the repeated ones.
MakeObject: TypeAlias = Callable[[list[tuple[str, Any]]], Any]


def parse_strict_json(
    content: bytes, what: str, max_bytes: int, make_object: MakeObject
) -> Any:
    """Returns the builtin types for a document.

    Unlike `JsonDecoder`, it keeps the fields that no type has.

    Args:
      content: JSON in UTF-8.
      what: names the document in errors.
      max_bytes: size of the longest document accepted (bytes).
      make_object: returns the value for an object.

    Raises:
      MalformedInputError: `content` is too long or not JSON.
    """
    check_size(what, len(content), max_bytes, MalformedInputError)
    try:
        return json.loads(
            content.decode(),
            object_pairs_hook=make_object,
            parse_constant=_refuse_constant,
        )
    except DECODE_ERRORS as exc:
        raise malformed(what, exc, MalformedInputError) from exc


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name}, which is not a JSON number")
