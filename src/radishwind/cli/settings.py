"""`radishwind settings`: shows the settings and their reference."""

import inspect
import os

import typer

from radishwind.cli.options import make_parameters
from radishwind.settings import NodeSettings
from radishwind.settings.reference import reference_table
from radishwind.settings.reference import setting_rows

_app = typer.Typer(help="Settings of a node.", no_args_is_help=True)


def add_to(app: typer.Typer) -> None:
    """Adds the commands to `app`."""
    app.add_typer(_app, name="settings")


def _show(**flags: str | None) -> None:
    for row in setting_rows(NodeSettings, flags, os.environ):
        unit = f" {row.unit}" if row.unit else ""
        typer.echo(f"{row.flag} = {row.value}{unit} [{row.source}]")


_show.__signature__ = inspect.Signature(  # type: ignore[attr-defined]
    make_parameters(NodeSettings)
)
_app.command("show", help="Show what a node would run with, and why.")(_show)


@_app.command("reference")
def _reference() -> None:
    """Print every setting as a Markdown table, as in docs/settings.md."""
    typer.echo(reference_table(NodeSettings), nl=False)
