"""`radishwind node`: runs the node of one backend server."""

import faulthandler

import typer

from radishwind.cli.options import settings_command
from radishwind.core.clock import SystemClock
from radishwind.process.early_exit import STDERR_FD
from radishwind.process.runner import ProcessRunner
from radishwind.process.signals import ProcessSignals
from radishwind.settings import NodeSettings
from radishwind.telemetry.bounded_output import start_logging


def _run(settings: NodeSettings) -> None:
    from radishwind.node.app import Node

    signals = ProcessSignals(STDERR_FD)
    signals.install()
    faulthandler.enable(STDERR_FD)
    clock = SystemClock()
    runner = ProcessRunner(signals, clock, start_logging(STDERR_FD))
    try:
        runner.run(lambda: Node(settings, clock))
    except BaseException as exc:
        runner.log_error(exc)
        raise


def add_to(app: typer.Typer) -> None:
    """Adds the command to `app`."""
    app.command("node", help="Run the node beside one backend server.")(
        settings_command(NodeSettings, _run)
    )
