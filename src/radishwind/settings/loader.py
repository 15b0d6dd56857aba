"""Reads a frozen data class of settings from flags and environment.

Each field is made by `setting`, which holds its help, unit and parser. The
flag of `peer_listen` is `--peer-listen`, its environment variable
`RADISHWIND_PEER_LISTEN`; a flag goes before the variable.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Any
from typing import TypeVar

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError

ENVIRONMENT_PREFIX = "RADISHWIND_"

_T = TypeVar("_T")


class SettingError(RadishwindError):
    """A setting is missing or cannot be read."""

    code = ResultCode.SETTING_INVALID


def setting(
    parse: Callable[[str], Any],
    text: str,
    *,
    default: Any = dataclasses.MISSING,
    unit: str = "",
    secret: bool = False,
) -> Any:
    """Returns a data class field that `load` can read.

    Args:
      parse: makes the value from text; raises `ValueError` saying what it
        expected.
      text: the help.
      default: the value where none is given; required if left out.
      unit: the unit of the value, shown in the help.
      secret: whether the value must never be shown.
    """
    metadata = {"parse": parse, "help": text, "unit": unit, "secret": secret}
    return dataclasses.field(default=default, metadata=metadata)


def variable(name: str) -> str:
    """Returns the environment variable of the setting `name`."""
    return ENVIRONMENT_PREFIX + name.upper()


def flag(name: str) -> str:
    """Returns the flag of the setting `name`."""
    return "--" + name.replace("_", "-")


def load(
    cls: type[_T], flags: Mapping[str, str | None], environ: Mapping[str, str]
) -> _T:
    """Returns the settings of `cls`.

    Args:
      cls: a data class whose fields are made by `setting`.
      flags: text by field name; `None` where the flag was not given.
      environ: the environment.

    Raises:
      SettingError: a setting is missing or malformed; it names the setting,
        what was expected and what was given.
    """
    values: dict[str, Any] = {}
    for field in dataclasses.fields(cls):  # type: ignore[arg-type]
        text = flags.get(field.name)
        if text is None:
            text = environ.get(variable(field.name))
        if text is not None:
            values[field.name] = _parse(field, text)
        elif field.default is dataclasses.MISSING:
            raise SettingError(
                f"expected {flag(field.name)} or {variable(field.name)}, "
                "got neither"
            )
    return cls(**values)


def _parse(field: dataclasses.Field[Any], text: str) -> Any:
    try:
        return field.metadata["parse"](text)
    except ValueError as exc:
        given = "a secret" if field.metadata["secret"] else repr(text[:80])
        raise SettingError(f"{flag(field.name)}: {exc}; given {given}") from exc
