"""What the settings are, as a table for the docs and for `settings show`."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import Any

from radishwind.settings.loader import flag
from radishwind.settings.loader import load
from radishwind.settings.loader import variable

#: What stands in place of a secret.
HIDDEN = "(hidden)"


@dataclasses.dataclass(frozen=True, slots=True)
class SettingRow:
    """One setting.

    Attributes:
      flag: its flag.
      variable: its environment variable.
      unit: its unit or form.
      default: its default as text, `required` if there is none.
      value: its value as text, hidden if secret.
      source: `flag`, `environment` or `default`.
      text: the help.
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
    """Yields the settings of `cls` with the values they would have.

    Raises:
      SettingError: a setting is missing or malformed.
    """
    values = load(cls, flags, environ)
    for field in dataclasses.fields(cls):
        value = as_text(getattr(values, field.name))
        if field.metadata["secret"] and value:
            value = HIDDEN
        yield SettingRow(
            flag(field.name),
            variable(field.name),
            field.metadata["unit"],
            default_text(field),
            value,
            _source(field.name, flags, environ),
            field.metadata["help"],
        )


def reference(cls: type[Any]) -> str:
    """Returns the settings of `cls` as a Markdown table."""
    lines = [
        "| flag | variable | unit | default | meaning |",
        "|---|---|---|---|---|",
    ]
    for field in dataclasses.fields(cls):
        lines.append(
            f"| `{flag(field.name)}` | `{variable(field.name)}` | "
            f"{field.metadata['unit']} | {default_text(field)} | "
            f"{field.metadata['help']} |"
        )
    return "\n".join(lines) + "\n"


def default_text(field: dataclasses.Field[Any]) -> str:
    """Returns the default of a setting as an operator would write it."""
    if field.default is dataclasses.MISSING:
        return "required"
    return as_text(field.default)


def as_text(value: object) -> str:
    """Returns a value as an operator would write it."""
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
    if variable(name) in environ:
        return "environment"
    return "default"
