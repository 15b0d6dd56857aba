"""Assembles the commands and turns errors into exit codes."""

import sys

import typer

from radishwind.cli import changes
from radishwind.cli import inventory
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

#: Exit codes by family of result code (sysexits.h where one fits).
_EXIT_BY_CODE = {
    ResultCode.SETTING_INVALID: 78,
    ResultCode.FILE_INVALID: 65,
    ResultCode.CHANGE_CONFLICT: 75,
    ResultCode.CHANGE_UNSETTLED: 74,
    ResultCode.STORE_UNAVAILABLE: 69,
    ResultCode.STORE_ANSWER_LOST: 74,
}
_EXIT_DEFAULT = 70

inventory.add_to(app)
rules.add_to(app)
changes.add_to(app)
status.add_to(app)
node.add_to(app)
report.add_to(app)
settings.add_to(app)
standins.add_to(app)


def main() -> None:
    """Runs the command line; a known error ends it with its exit code."""
    try:
        app()
    except RadishwindError as exc:
        print(f"radishwind: {exc}", file=sys.stderr)
        sys.exit(_EXIT_BY_CODE.get(exc.code, _EXIT_DEFAULT))
