"""`radishwind report`: reports over the fleet."""

import datetime
import enum
import pathlib
from typing import Annotated

import msgspec
import typer

from radishwind.burn import burn_rows
from radishwind.burn import BurnRow
from radishwind.burn import merge
from radishwind.burn.ledger import ServiceMinutes
from radishwind.cli import fleet
from radishwind.settings import SettingError

_app = typer.Typer(help="What the fleet did.", no_args_is_help=True)


class Format(enum.StrEnum):
    """Output format of a report."""

    TABLE = "table"
    JSON = "json"
    PAGE = "page"


def add_to(app: typer.Typer) -> None:
    """Adds the commands to `app`."""
    app.add_typer(_app, name="report")


@_app.callback()
def _group() -> None:
    """What the fleet did."""


@_app.command("burn")
def _burn(
    admin: Annotated[
        str,
        typer.Option(
            envvar="RADISHWIND_ADMIN",
            help="Admin listener of any node; it gathers from its peers.",
            metavar="HOST:PORT",
        ),
    ],
    form: Annotated[
        Format, typer.Option("--format", help="How it is written.")
    ] = Format.TABLE,
    out: Annotated[
        pathlib.Path | None, typer.Option(help="File; standard output if none.")
    ] = None,
) -> None:
    """Report how fast each service burns what its objectives allow."""
    nodes = fleet.fetch_as(admin, "/v1/burn", list[list[ServiceMinutes]])
    now = datetime.datetime.now(datetime.UTC)
    rows = burn_rows(merge(nodes), int(now.timestamp()) // 60)
    text = _format_rows(
        rows, form, f"{now:%Y-%m-%d %H:%M} UTC, {len(nodes)} nodes"
    )
    if out is None:
        typer.echo(text, nl=False)
        return
    try:
        out.write_text(text)
    except OSError as exc:
        raise SettingError(f"--out: expected a writable file: {exc}") from exc


def _format_rows(rows: list[BurnRow], form: Format, made_at: str) -> str:
    if form is Format.JSON:
        return msgspec.json.encode(rows).decode() + "\n"
    if form is Format.PAGE:
        from radishwind.burn.page import burn_page

        return burn_page(rows, made_at)
    lines = [made_at]
    headings = (
        "service",
        "objective",
        "target",
        "window",
        "requests",
        "missed",
    )
    lines.append(
        "{:<20} {:<9} {:>7} {:>7} {:>9} {:>8} {:>8}".format(*headings, "burn")
    )
    lines += [
        f"{r.service:<20} {r.objective:<9} {r.target:>7.4g} "
        f"{r.window_min:>4} min {r.requests:>8} {r.bad:>8} {r.burn:>8.2f}"
        for r in rows
    ]
    return "\n".join(lines) + "\n"
