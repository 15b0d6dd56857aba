"""Makes a typer command from a data class of settings."""

import dataclasses
import inspect
import os
from collections.abc import Callable
from typing import Annotated
from typing import Any
from typing import TypeVar

import typer

from radishwind.settings.loader import flag
from radishwind.settings.loader import load
from radishwind.settings.loader import variable

_T = TypeVar("_T")


def settings_command(
    cls: type[_T], run: Callable[[_T], None]
) -> Callable[..., None]:
    """Returns a function with one option per field of `cls`.

    Values arrive as text and are parsed by `load`, so that a wrong one gets
    the numbered error of settings and not typer's own.
    """

    def command(**flags: str | None) -> None:
        run(load(cls, flags, os.environ))

    parameters = [
        _parameter(f)
        for f in dataclasses.fields(cls)  # type: ignore[arg-type]
    ]
    command.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    command.__annotations__ = {p.name: p.annotation for p in parameters}
    return command


def _parameter(field: dataclasses.Field[Any]) -> inspect.Parameter:
    text = f"{field.metadata['help']} [{variable(field.name)}]"
    option = typer.Option(
        flag(field.name),
        help=text + _default(field),
        metavar=field.metadata["unit"] or "TEXT",
        show_default=False,
    )
    return inspect.Parameter(
        field.name,
        inspect.Parameter.KEYWORD_ONLY,
        default=None,
        annotation=Annotated[str | None, option],
    )


def _default(field: dataclasses.Field[Any]) -> str:
    if field.default is dataclasses.MISSING:
        return " (required)"
    if field.metadata["secret"] or field.default in (None, "", ()):
        return ""
    return f" (default: {field.default})"
