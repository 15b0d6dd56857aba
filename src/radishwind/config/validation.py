"""Validates a decoded JSON document against a model, listing all faults."""

from collections.abc import Callable
from collections.abc import Sequence
import math
import re
from typing import Any

import msgspec
from msgspec import inspect

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError

_MAX_REPR_CHARS = 60


class FileFault(msgspec.Struct, frozen=True):
    """A fault in an operator's file.

    Attributes:
      place: path of the faulty value, for example `targets[3].slots`; empty
        for the whole file.
      text: what was expected, and what was found.
    """

    place: str
    text: str

    def __str__(self) -> str:
        return f"{self.place or 'file'}: {self.text}"


class FileInvalidError(RadishwindError):
    """An operator's file is refused as a whole.

    Attributes:
      faults: all faults of the file, in the order in which they were found.
    """

    code = ResultCode.FILE_INVALID

    def __init__(self, faults: Sequence[FileFault]) -> None:
        lines = "\n".join(f"  {fault}" for fault in faults)
        super().__init__(f"refused, {len(faults)} fault(s):\n{lines}")
        self.faults = tuple(faults)


class DuplicateKeysObject(dict[str, Any]):
    """A JSON object in which keys occur more than once.

    Attributes:
      duplicates: the keys that do.
    """

    duplicates: tuple[str, ...] = ()


def find_model_faults(model: type, value: Any) -> list[FileFault]:
    """Returns all faults of `value` with respect to `model`."""
    faults: list[FileFault] = []
    _check(inspect.type_info(model), value, "", faults, "")
    return faults


def short_repr(value: Any) -> str:
    """Returns the representation of `value`, shortened, for a message."""
    text = repr(value)
    if len(text) <= _MAX_REPR_CHARS:
        return text
    return text[:_MAX_REPR_CHARS] + "..."


def _check(
    kind: inspect.Type,
    value: Any,
    place: str,
    faults: list[FileFault],
    expected: str,
) -> None:
    if isinstance(kind, inspect.Metadata):
        text = (kind.extra_json_schema or {}).get("description", expected)
        _check(kind.type, value, place, faults, text)
        return
    check = _CHECKS.get(type(kind))
    if check is None:
        raise TypeError(f"no check for {kind!r}")
    check(kind, value, place, faults, expected)


def _add_fault(
    faults: list[FileFault], place: str, expected: str, got: Any
) -> None:
    faults.append(
        FileFault(place, f"expected {expected}, got {short_repr(got)}")
    )


def _check_struct(
    kind: inspect.StructType,
    value: Any,
    place: str,
    faults: list[FileFault],
    expected: str,
) -> None:
    if not isinstance(value, dict):
        _add_fault(faults, place, "an object", value)
        return
    fields = {field.encode_name: field for field in kind.fields}
    _check_keys(value, fields, place, faults)
    for name, field in fields.items():
        inner = f"{place}.{name}" if place else name
        if name in value:
            _check(field.type, value[name], inner, faults, "")
        elif field.required:
            faults.append(FileFault(inner, "expected a value, got none"))


def _check_keys(
    value: dict[str, Any],
    fields: dict[str, inspect.Field],
    place: str,
    faults: list[FileFault],
) -> None:
    if isinstance(value, DuplicateKeysObject):
        for key in value.duplicates:
            faults.append(
                FileFault(place, f"key {short_repr(key)} occurs more than once")
            )
    for key in value:
        if key not in fields:
            known = ", ".join(sorted(fields))
            text = f"unknown key {short_repr(key)}, expected one of {known}"
            faults.append(FileFault(place, text))


def _check_list(
    kind: inspect.VarTupleType,
    value: Any,
    place: str,
    faults: list[FileFault],
    expected: str,
) -> None:
    if not isinstance(value, list):
        _add_fault(faults, place, "a list", value)
        return
    for index, item in enumerate(value):
        _check(kind.item_type, item, f"{place}[{index}]", faults, "")


def _check_dict(
    kind: inspect.DictType,
    value: Any,
    place: str,
    faults: list[FileFault],
    expected: str,
) -> None:
    if not isinstance(value, dict):
        _add_fault(faults, place, "an object", value)
        return
    if isinstance(value, DuplicateKeysObject):
        for key in value.duplicates:
            faults.append(
                FileFault(place, f"key {short_repr(key)} occurs more than once")
            )
    for key, item in value.items():
        _check(kind.key_type, key, f"{place} (key)", faults, "")
        _check(kind.value_type, item, f"{place}.{key[:80]}", faults, "")


def _check_text(
    kind: inspect.StrType,
    value: Any,
    place: str,
    faults: list[FileFault],
    expected: str,
) -> None:
    max_length = kind.max_length
    expected = expected or f"printable text of at most {max_length} characters"
    too_long = isinstance(value, str) and max_length and len(value) > max_length
    if not isinstance(value, str) or too_long or not value.isprintable():
        _add_fault(faults, place, expected, value)
        return
    if kind.pattern is not None and not re.search(kind.pattern, value):
        _add_fault(faults, place, expected, value)


def _check_number(
    kind: inspect.IntType | inspect.FloatType,
    value: Any,
    place: str,
    faults: list[FileFault],
    expected: str,
) -> None:
    is_integer = isinstance(kind, inspect.IntType)
    expected = f"{kind.ge} to {kind.le}"
    if kind.ge is None or kind.le is None:
        expected = "a whole number" if is_integer else "a number"
    types = int if is_integer else (int, float)
    if isinstance(value, bool) or not isinstance(value, types):
        _add_fault(faults, place, expected, value)
        return
    if isinstance(value, float) and not math.isfinite(value):
        _add_fault(faults, place, expected, value)
        return
    too_low = kind.ge is not None and value < kind.ge
    too_high = kind.le is not None and value > kind.le
    if too_low or too_high:
        _add_fault(faults, place, expected, value)


def _check_bool(
    kind: inspect.BoolType,
    value: Any,
    place: str,
    faults: list[FileFault],
    expected: str,
) -> None:
    if not isinstance(value, bool):
        _add_fault(faults, place, "true or false", value)


_CHECKS: dict[type, Callable[..., None]] = {
    inspect.StructType: _check_struct,
    inspect.VarTupleType: _check_list,
    inspect.DictType: _check_dict,
    inspect.StrType: _check_text,
    inspect.IntType: _check_number,
    inspect.FloatType: _check_number,
    inspect.BoolType: _check_bool,
}
