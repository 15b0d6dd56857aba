"""`radishwind node`: runs the node of one backend server."""

import sys

import anyio
import typer

from radishwind.cli.options import settings_command
from radishwind.core.clock import SystemClock
from radishwind.settings import NodeSettings


def _run(settings: NodeSettings) -> None:
    from radishwind.node.app import Node
    from radishwind.telemetry import start_logging

    start_logging(sys.stderr)

    async def main() -> None:
        await Node(settings, SystemClock()).run()

    anyio.run(main, backend_options={"use_uvloop": True})


def add_to(app: typer.Typer) -> None:
    """Adds the command to `app`."""
    app.command("node", help="Run the node beside one backend server.")(
        settings_command(NodeSettings, _run)
    )
