"""Builds typer commands from a data class of settings."""

from collections.abc import Callable
import dataclasses
import inspect
import os
from typing import Annotated
from typing import Any
from typing import TypeVar

import typer

from radishwind.settings.loader import flag_name
from radishwind.settings.loader import load
from radishwind.settings.loader import variable_name
from radishwind.settings.reference import format_default

_T = TypeVar("_T")


def settings_command(
    cls: type[_T], run: Callable[[_T], None]
) -> Callable[..., None]:
    """Returns a command with one option per field of `cls`.

    Options are passed as text and parsed by `load`, so that a malformed value
    raises `SettingError`, with its result code, instead of an error of typer.
    """

    def command(**flags: str | None) -> None:
        run(load(cls, flags, os.environ))

    command.__signature__ = inspect.Signature(  # type: ignore[attr-defined]
        make_parameters(cls)
    )
    return command


def make_parameters(cls: type[Any]) -> list[inspect.Parameter]:
    """Returns a keyword parameter, a text option, for each field of `cls`."""
    return [_make_parameter(field) for field in dataclasses.fields(cls)]


def _make_parameter(field: dataclasses.Field[Any]) -> inspect.Parameter:
    text = f"{field.metadata['help']} [{variable_name(field.name)}]"
    option = typer.Option(
        flag_name(field.name),
        help=text + _default_suffix(field),
        metavar=field.metadata["unit"] or "TEXT",
        show_default=False,
    )
    return inspect.Parameter(
        field.name,
        inspect.Parameter.KEYWORD_ONLY,
        default=None,
        annotation=Annotated[str | None, option],
    )


def _default_suffix(field: dataclasses.Field[Any]) -> str:
    text = format_default(field)
    if field.default is dataclasses.MISSING:
        return f" ({text})"
    if field.metadata["secret"] or not text:
        return ""
    return f" (default: {text})"
