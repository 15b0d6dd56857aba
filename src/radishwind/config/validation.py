"""Checks a decoded JSON document against a model and lists every fault."""

from collections.abc import Callable
from collections.abc import Sequence
import math
import re
from typing import Any

import msgspec
from msgspec import inspect

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError

_SHOWN_CHARS = 60


class FileFault(msgspec.Struct, frozen=True):
    """One thing wrong in an operator's file.

    Attributes:
      place: where, for example `targets[3].slots`; empty for the whole.
      text: what was expected and what was got.
    """

    place: str
    text: str

    def __str__(self) -> str:
        return f"{self.place or 'file'}: {self.text}"


class FileInvalidError(RadishwindError):
    """An operator's file is refused whole.

    Attributes:
      faults: everything wrong with it, in order of place.
    """

    code = ResultCode.FILE_INVALID

    def __init__(self, faults: Sequence[FileFault]) -> None:
        lines = "\n".join(f"  {fault}" for fault in faults)
        super().__init__(f"refused, {len(faults)} fault(s):\n{lines}")
        self.faults = tuple(faults)


class RepeatedKeys(dict[str, Any]):
    """An object of a file that has a key more than once.

    Attributes:
      repeated: those keys.
    """

    repeated: tuple[str, ...] = ()


def find_model_faults(model: type, value: Any) -> list[FileFault]:
    """Returns every way in which `value` is not of the form of `model`."""
    faults: list[FileFault] = []
    _check(inspect.type_info(model), value, "", faults, "")
    return faults


def shown(value: Any) -> str:
    """Returns `value` as text for a message, shortened."""
    text = repr(value)
    if len(text) <= _SHOWN_CHARS:
        return text
    return text[:_SHOWN_CHARS] + "..."


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


def _fault(
    faults: list[FileFault], place: str, expected: str, got: Any
) -> None:
    faults.append(FileFault(place, f"expected {expected}, got {shown(got)}"))


def _check_struct(
    kind: inspect.StructType,
    value: Any,
    place: str,
    faults: list[FileFault],
    expected: str,
) -> None:
    if not isinstance(value, dict):
        _fault(faults, place, "an object", value)
        return
    fields = {field.encode_name: field for field in kind.fields}
    _note_keys(value, fields, place, faults)
    for name, field in fields.items():
        inner = f"{place}.{name}" if place else name
        if name in value:
            _check(field.type, value[name], inner, faults, "")
        elif field.required:
            faults.append(FileFault(inner, "expected a value, got none"))


def _note_keys(
    value: dict[str, Any],
    fields: dict[str, inspect.Field],
    place: str,
    faults: list[FileFault],
) -> None:
    if isinstance(value, RepeatedKeys):
        for key in value.repeated:
            faults.append(FileFault(place, f"key {shown(key)} stands twice"))
    for key in value:
        if key not in fields:
            known = ", ".join(sorted(fields))
            text = f"unknown key {shown(key)}, expected one of {known}"
            faults.append(FileFault(place, text))


def _check_list(
    kind: inspect.VarTupleType,
    value: Any,
    place: str,
    faults: list[FileFault],
    expected: str,
) -> None:
    if not isinstance(value, list):
        _fault(faults, place, "a list", value)
        return
    for number, item in enumerate(value):
        _check(kind.item_type, item, f"{place}[{number}]", faults, "")


def _check_dict(
    kind: inspect.DictType,
    value: Any,
    place: str,
    faults: list[FileFault],
    expected: str,
) -> None:
    if not isinstance(value, dict):
        _fault(faults, place, "an object", value)
        return
    if isinstance(value, RepeatedKeys):
        for key in value.repeated:
            faults.append(FileFault(place, f"key {shown(key)} stands twice"))
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
    most = kind.max_length
    expected = expected or f"printable text of at most {most} characters"
    too_long = isinstance(value, str) and most and len(value) > most
    if not isinstance(value, str) or too_long or not value.isprintable():
        _fault(faults, place, expected, value)
        return
    if kind.pattern is not None and not re.search(kind.pattern, value):
        _fault(faults, place, expected, value)


def _check_number(
    kind: inspect.IntType | inspect.FloatType,
    value: Any,
    place: str,
    faults: list[FileFault],
    expected: str,
) -> None:
    whole = isinstance(kind, inspect.IntType)
    expected = f"{kind.ge} to {kind.le}"
    if kind.ge is None or kind.le is None:
        expected = "a whole number" if whole else "a number"
    types = int if whole else (int, float)
    if isinstance(value, bool) or not isinstance(value, types):
        _fault(faults, place, expected, value)
        return
    if isinstance(value, float) and not math.isfinite(value):
        _fault(faults, place, expected, value)
        return
    too_low = kind.ge is not None and value < kind.ge
    too_high = kind.le is not None and value > kind.le
    if too_low or too_high:
        _fault(faults, place, expected, value)


def _check_bool(
    kind: inspect.BoolType,
    value: Any,
    place: str,
    faults: list[FileFault],
    expected: str,
) -> None:
    if not isinstance(value, bool):
        _fault(faults, place, "true or false", value)


_CHECKS: dict[type, Callable[..., None]] = {
    inspect.StructType: _check_struct,
    inspect.VarTupleType: _check_list,
    inspect.DictType: _check_dict,
    inspect.StrType: _check_text,
    inspect.IntType: _check_number,
    inspect.FloatType: _check_number,
    inspect.BoolType: _check_bool,
}
