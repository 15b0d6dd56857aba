"""`radishwind explain`: collects the log lines of one request."""

import pathlib
from typing import Annotated

import msgspec
import typer

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.telemetry.explain import explain_request


class RequestNotLoggedError(RadishwindError):
    """The logs cannot be read or have no line of the request."""

    code = ResultCode.FILE_INVALID


def add_to(app: typer.Typer) -> None:
    """Adds the command to `app`."""
    app.command("explain")(_explain)


def _explain(
    request_id: Annotated[str, typer.Argument(help="The request's id.")],
    logs: Annotated[
        list[pathlib.Path], typer.Argument(help="Logs of the nodes.")
    ],
    as_json: Annotated[
        bool, typer.Option("--json", help="A JSON array instead of rows.")
    ] = False,
) -> None:
    """Gather what the logs of all nodes tell of one request, by time."""
    try:
        lines = explain_request(request_id, logs)
    except OSError as exc:
        raise RequestNotLoggedError(f"expected readable logs: {exc}") from exc
    if not lines:
        raise RequestNotLoggedError(
            f"expected a line of request {request_id!r} in {len(logs)} logs, "
            "got none: it was usual, or its line was held back (the next line "
            "of its node says how many were)"
        )
    if as_json:
        print(msgspec.json.encode(lines).decode())
        return
    for line in lines:
        print(line.format_row())
