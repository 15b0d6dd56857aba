"""Assembles the commands and maps errors to exit codes."""

import contextlib
import sys

import typer

from radishwind.cli import changes
from radishwind.cli import experiment
from radishwind.cli import explain
from radishwind.cli import inventory
from radishwind.cli import losses
from radishwind.cli import node
from radishwind.cli import report
from radishwind.cli import rules
from radishwind.cli import settings
from radishwind.cli import standins
from radishwind.cli import status
from radishwind.core.codes import ResultCode
from radishwind.process.exit_status import describe_error
from radishwind.process.exit_status import exit_status_for
from radishwind.telemetry.part_logger import first_error

app = typer.Typer(
    help="radishwind: a load balancer for servers whose load shifts in "
    "milliseconds.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)

_INTERRUPTED_EXIT_CODE = 130

inventory.add_to(app)
rules.add_to(app)
changes.add_to(app)
status.add_to(app)
node.add_to(app)
report.add_to(app)
settings.add_to(app)
standins.add_to(app)
explain.add_to(app)
losses.add_to(app)
experiment.add_to(app)


def main() -> None:
    """Runs the command line; an error prints a line and sets the exit code."""
    try:
        status_code = app(standalone_mode=False)
    except typer.Abort:
        sys.exit(_INTERRUPTED_EXIT_CODE)
    except typer.TyperException as exc:
        _exit_for_usage_error(exc)
    except Exception as exc:
        _exit_for_error(first_error(exc))
    else:
        sys.exit(status_code if isinstance(status_code, int) else 0)


def _exit_for_usage_error(exc: typer.TyperException) -> None:
    # Typer has no public class for the error of a command without arguments,
    # whose message is the help text.
    if type(exc).__name__ == "NoArgsIsHelpError":
        print(exc.format_message())
        sys.exit(exc.exit_code)
    code = ResultCode.SETTING_INVALID
    _exit_with(code, f"RW-{int(code)}: {exc.format_message()}")


def _exit_for_error(exc: BaseException) -> None:
    code, text = describe_error(exc)
    _exit_with(code, text)


def _exit_with(code: ResultCode, text: str) -> None:
    # The exit status holds even if nobody reads the standard error any more.
    with contextlib.suppress(OSError):
        print(f"radishwind: {text}", file=sys.stderr)
    sys.exit(exit_status_for(code))
