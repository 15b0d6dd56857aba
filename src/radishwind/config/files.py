"""Reads the operators' files; each is accepted or refused as a whole."""

from typing import Any
from typing import TypeVar

import msgspec

from radishwind.config import consistency
from radishwind.config.model import Inventory
from radishwind.config.model import Rules
from radishwind.config.validation import DuplicateKeysObject
from radishwind.config.validation import FileFault
from radishwind.config.validation import FileInvalidError
from radishwind.config.validation import find_model_faults
from radishwind.decoding import convert
from radishwind.decoding import MalformedInputError
from radishwind.decoding import parse_strict_json

#: Maximum size of a file (bytes): about 15 times that of the largest
#: deployment designed for.
MAX_FILE_BYTES = 16 * 1024 * 1024

_T = TypeVar("_T")


def read_inventory(content: bytes) -> Inventory:
    """Returns the inventory in `content`.

    Raises:
      FileInvalidError: the file has faults; the error lists all of them.
    """
    document = _decode(content)
    faults = find_model_faults(Inventory, document)
    faults += consistency.find_inventory_faults(document)
    if faults:
        raise FileInvalidError(faults)
    return _convert(document, Inventory)


def read_rules(content: bytes) -> Rules:
    """Returns the rules in `content`, with defaults filled in.

    Fields that a service leaves out are taken from the `defaults` of the file.

    Raises:
      FileInvalidError: the file has faults; the error lists all of them.
    """
    document = _decode(content)
    faults = find_model_faults(Rules, document)
    faults += consistency.find_rules_faults(document)
    if faults:
        raise FileInvalidError(faults)
    defaults = document.get("defaults", {})
    services = {
        name: {**defaults, **entry}
        for name, entry in document.get("services", {}).items()
    }
    return _convert({"defaults": defaults, "services": services}, Rules)


def check_together(
    inventory: Inventory, rules: Rules, changed: str = "rules"
) -> None:
    """Checks that an inventory and rules are consistent with each other.

    Args:
      inventory: the inventory.
      rules: the rules.
      changed: which of the two is being changed, for the places of faults.

    Raises:
      FileInvalidError: they are not consistent.
    """
    faults = consistency.find_cross_faults(
        msgspec.to_builtins(inventory), msgspec.to_builtins(rules), changed
    )
    if faults:
        raise FileInvalidError(faults)


def write_file(value: Inventory | Rules) -> bytes:
    """Returns `value` as the content of an operator's file.

    The JSON is indented by two spaces for each level.
    """
    encoded = msgspec.json.encode(value)
    return msgspec.json.format(encoded, indent=2) + b"\n"


def _decode(content: bytes) -> Any:
    try:
        return parse_strict_json(
            content, "JSON in UTF-8", MAX_FILE_BYTES, _make_object
        )
    except MalformedInputError as exc:
        raise FileInvalidError([FileFault("", exc.args[0])]) from exc


def _convert(document: Any, model: type[_T]) -> _T:
    try:
        return convert(document, model, "an operator's file")
    except MalformedInputError as exc:
        raise FileInvalidError([FileFault("", exc.args[0])]) from exc


def _make_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    unique = dict(pairs)
    if len(unique) == len(pairs):
        return unique
    found = DuplicateKeysObject(unique)
    keys = [key for key, _ in pairs]
    found.duplicates = tuple(sorted({k for k in keys if keys.count(k) > 1}))
    return found
