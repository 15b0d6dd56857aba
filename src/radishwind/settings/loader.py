"""Loads a frozen data class of settings from flags and the environment.

Each field is declared by `setting`, with its help text, unit and parser. The
field `peer_listen` has the flag `--peer-listen` and the environment variable
`RADISHWIND_PEER_LISTEN`; the flag takes precedence.
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
    """A setting is missing or malformed."""

    code = ResultCode.SETTING_INVALID


def setting(
    parse: Callable[[str], Any],
    text: str,
    *,
    default: Any = dataclasses.MISSING,
    unit: str = "",
    secret: bool = False,
) -> Any:
    """Declares a data class field that `load` can set.

    Args:
      parse: parses the value; raises `ValueError` with a message that says what
        was expected.
      text: help text.
      default: default value; the setting is required without one.
      unit: unit of the value, shown in the help.
      secret: whether the value must never be shown.
    """
    metadata = {"parse": parse, "help": text, "unit": unit, "secret": secret}
    return dataclasses.field(default=default, metadata=metadata)


def variable_name(name: str) -> str:
    """Returns the name of the environment variable of the setting `name`."""
    return ENVIRONMENT_PREFIX + name.upper()


def flag_name(name: str) -> str:
    """Returns the flag of the setting `name`."""
    return "--" + name.replace("_", "-")


def load(
    cls: type[_T], flags: Mapping[str, str | None], environ: Mapping[str, str]
) -> _T:
    """Loads settings from flags and the environment.

    Args:
      cls: data class whose fields are declared by `setting`.
      flags: flag values by field name; `None` for a flag that was not given.
      environ: environment variables.

    Raises:
      SettingError: a setting is missing or malformed; the message names the
        setting, what was expected and what was given.
    """
    values: dict[str, Any] = {}
    for field in dataclasses.fields(cls):  # type: ignore[arg-type]
        text = flags.get(field.name)
        if text is None:
            text = environ.get(variable_name(field.name))
        if text is not None:
            values[field.name] = _parse(field, text)
        elif field.default is dataclasses.MISSING:
            raise SettingError(
                f"expected {flag_name(field.name)} or "
                f"{variable_name(field.name)}, "
                "got neither"
            )
    return cls(**values)


def _parse(field: dataclasses.Field[Any], text: str) -> Any:
    try:
        return field.metadata["parse"](text)
    except ValueError as exc:
        given = "a secret" if field.metadata["secret"] else repr(text[:80])
        raise SettingError(
            f"{flag_name(field.name)}: {exc}; given {given}"
        ) from exc
