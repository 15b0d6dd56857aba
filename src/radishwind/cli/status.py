"""`radishwind status`: shows the state of a node and the lagging nodes."""

import json
from typing import Annotated
from typing import Any

import typer

from radishwind.cli import fleet

_STATUS_PATH = "/v1/status"


def add_to(app: typer.Typer) -> None:
    """Adds the command to `app`."""
    app.command("status")(_status)


def _status(
    admin: Annotated[
        str,
        typer.Option(
            envvar="RADISHWIND_ADMIN",
            metavar="HOST:PORT",
            help="Admin listener of any node.",
        ),
    ],
    as_json: Annotated[
        bool, typer.Option("--json", help="Print the node's status as JSON.")
    ] = False,
) -> None:
    """Print a node's state, and name the nodes that lag."""
    status = fleet.fetch_as(admin, _STATUS_PATH, dict[str, Any])
    if as_json:
        typer.echo(json.dumps(status, indent=2, sort_keys=True))
        return
    for name, value in sorted(status.items()):
        typer.echo(f"{name}: {value}")
    typer.echo(fleet.describe_report(fleet.fetch_report(admin)))
