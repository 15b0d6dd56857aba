"""Settings as rows for `settings show` and as a table for the documentation."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import Any

from radishwind.settings.loader import flag_name
from radishwind.settings.loader import load
from radishwind.settings.loader import variable_name

#: Shown instead of a secret.
HIDDEN_VALUE = "(hidden)"


@dataclasses.dataclass(frozen=True, slots=True)
class SettingRow:
    """Description and value of one setting.

    Attributes:
      flag: name of the flag.
      variable: name of the environment variable.
      unit: unit or format.
      default: default value as text; `required` if there is none.
      value: current value as text; hidden if it is secret.
      source: origin of the value: `flag`, `environment` or `default`.
      text: help text.
    """

    flag: str
    variable: str
    unit: str
    default: str
    value: str
    source: str
    text: str


def setting_rows(
    cls: type[Any], flags: Mapping[str, str | None], environ: Mapping[str, str]
) -> Iterator[SettingRow]:
    """Yields the settings of `cls` with the values that `load` would give them.

    Raises:
      SettingError: a setting is missing or malformed.
    """
    values = load(cls, flags, environ)
    for field in dataclasses.fields(cls):
        value = format_value(getattr(values, field.name))
        if field.metadata["secret"] and value:
            value = HIDDEN_VALUE
        yield SettingRow(
            flag_name(field.name),
            variable_name(field.name),
            field.metadata["unit"],
            format_default(field),
            value,
            _source(field.name, flags, environ),
            field.metadata["help"],
        )


def reference_table(cls: type[Any]) -> str:
    """Formats the settings of `cls` as a Markdown table."""
    lines = [
        "| flag | variable | unit | default | meaning |",
        "|---|---|---|---|---|",
    ]
    for field in dataclasses.fields(cls):
        lines.append(
            f"| `{flag_name(field.name)}` | "
            f"`{variable_name(field.name)}` | "
            f"{field.metadata['unit']} | {format_default(field)} | "
            f"{field.metadata['help']} |"
        )
    return "\n".join(lines) + "\n"


def format_default(field: dataclasses.Field[Any]) -> str:
    """Formats the default of a setting in the syntax of its flag."""
    if field.default is dataclasses.MISSING:
        return "required"
    return format_value(field.default)


def format_value(value: object) -> str:
    """Formats a value in the syntax of its flag."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple) and not hasattr(value, "_fields"):
        return ",".join(str(item) for item in value)
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)


def _source(
    name: str, flags: Mapping[str, str | None], environ: Mapping[str, str]
) -> str:
    if flags.get(name) is not None:
        return "flag"
    if variable_name(name) in environ:
        return "environment"
    return "default"
