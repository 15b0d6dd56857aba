"""Makes a typer command from a data class of settings."""

from collections.abc import Callable
import dataclasses
import inspect
import os
from typing import Annotated
from typing import Any
from typing import TypeVar

import typer

from radishwind.settings.loader import flag
from radishwind.settings.loader import load
from radishwind.settings.loader import variable
from radishwind.settings.reference import default_text

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

    command.__signature__ = inspect.Signature(  # type: ignore[attr-defined]
        parameters_of(cls)
    )
    return command


def parameters_of(cls: type[Any]) -> list[inspect.Parameter]:
    """Returns one keyword parameter, an option in text, per field of `cls`."""
    return [_parameter(field) for field in dataclasses.fields(cls)]


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
    text = default_text(field)
    if field.default is dataclasses.MISSING:
        return f" ({text})"
    if field.metadata["secret"] or not text:
        return ""
    return f" (default: {text})"
