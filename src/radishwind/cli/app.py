"""Assembles the commands and maps errors to exit codes."""

import sys
import traceback

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
from radishwind.core.errors import RadishwindError

app = typer.Typer(
    help="radishwind: a load balancer for servers whose load shifts in "
    "milliseconds.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)

#: Exit codes by result code, from sysexits.h where one fits.
_EXIT_CODES = {
    ResultCode.SETTING_INVALID: 78,
    ResultCode.FILE_INVALID: 65,
    ResultCode.CHANGE_CONFLICT: 75,
    ResultCode.CHANGE_UNSETTLED: 74,
    ResultCode.STORE_UNAVAILABLE: 69,
    ResultCode.STORE_ANSWER_LOST: 74,
    ResultCode.ADMIN_UNAVAILABLE: 69,
}
_DEFAULT_EXIT_CODE = 70
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
        _exit_for_error(_first_error(exc))
    else:
        sys.exit(status_code if isinstance(status_code, int) else 0)


def _exit_for_usage_error(exc: typer.TyperException) -> None:
    # Typer has no public class for the error of a command without arguments,
    # whose message is the help text.
    if type(exc).__name__ == "NoArgsIsHelpError":
        print(exc.format_message())
        sys.exit(exc.exit_code)
    _exit_with(ResultCode.SETTING_INVALID, exc.format_message())


def _exit_for_error(exc: BaseException) -> None:
    if isinstance(exc, RadishwindError):
        print(f"radishwind: {exc}", file=sys.stderr)
        sys.exit(_EXIT_CODES.get(exc.code, _DEFAULT_EXIT_CODE))
    if isinstance(exc, OSError):
        _exit_with(ResultCode.SETTING_INVALID, f"the system refused: {exc}")
    frame = traceback.extract_tb(exc.__traceback__)[-1]
    _exit_with(
        ResultCode.INTERNAL_ERROR,
        f"{type(exc).__name__} at {frame.name}, line {frame.lineno}; "
        "please report it",
    )


def _exit_with(code: ResultCode, text: str) -> None:
    print(f"radishwind: RW-{int(code)}: {text}", file=sys.stderr)
    sys.exit(_EXIT_CODES.get(code, _DEFAULT_EXIT_CODE))


def _first_error(exc: BaseException) -> BaseException:
    """Returns the first error within the exception groups of task groups."""
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc
