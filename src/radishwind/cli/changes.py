"""`radishwind changes`: lists accepted changes and determines their status."""

from typing import Annotated

import typer

from radishwind.cli import fleet
from radishwind.cli.documents import get_operator_name
from radishwind.cli.documents import make_acceptor
from radishwind.cli.documents import OperatorOption
from radishwind.cli.documents import print_accepted
from radishwind.cli.documents import StoreOption
from radishwind.cli.documents import with_store
from radishwind.config.change_acceptor import Change
from radishwind.config.change_acceptor import ChangeStatus
from radishwind.config.change_acceptor import describe_change
from radishwind.config.errors import ChangeUnsettledError
from radishwind.config.records import ChangeRecord
from radishwind.config.records import parse_revision
from radishwind.config.repository import ConfigRepository
from radishwind.settings import SettingError
from radishwind.store import Store

_app = typer.Typer(help="Accepted changes.", no_args_is_help=True)


def add_to(app: typer.Typer) -> None:
    """Adds the commands to `app`."""
    app.add_typer(_app, name="changes")


@_app.command("show")
def _show(
    store: StoreOption,
    change_id: Annotated[
        str | None,
        typer.Argument(help="A change to settle; all of late if not given."),
    ] = None,
    last: Annotated[
        int, typer.Option(min=1, max=1000, help="How many changes.")
    ] = 20,
) -> None:
    """Print the last changes, or settle one by its id."""
    if change_id is not None:
        _print_status(store, change_id)
        return
    for record in with_store(store, lambda s: _read_last(s, last)):
        typer.echo(describe_change(record))


@_app.command("restore")
def _restore(
    store: StoreOption,
    admin: Annotated[
        str,
        typer.Option(
            envvar="RADISHWIND_ADMIN",
            metavar="HOST:PORT",
            help="Admin listener of a node that has the newest one.",
        ),
    ],
    operator: OperatorOption = None,
) -> None:
    """Bring a store restored from an old copy up to what nodes have.

    The configuration in force at the node, inventory and rules at once, is
    accepted with a revision above it.
    """
    cfg = fleet.fetch_config(admin)
    change = Change(cfg, get_operator_name(operator), above=cfg.revision)
    record = with_store(store, lambda s: make_acceptor(s).accept(change))
    print_accepted(record)


async def _read_last(store: Store, count: int) -> tuple[ChangeRecord, ...]:
    repository = ConfigRepository(store)
    root, _ = await repository.read_newest()
    if root is None:
        return ()
    newest = root.record
    return await repository.read_changes_after(
        max(0, newest.revision - count), newest, count
    )


def _print_status(store: str, change_id: str) -> None:
    try:
        revision = parse_revision(change_id)
    except ValueError as exc:
        raise SettingError(f"change id: {exc}") from exc
    status = with_store(
        store, lambda s: make_acceptor(s).read_status(change_id)
    )
    if status is ChangeStatus.UNDECIDED:
        raise ChangeUnsettledError(f"change {change_id}: {status.value}")
    typer.echo(f"change {change_id}: {status.value}")
    if status is ChangeStatus.ACCEPTED:
        record = with_store(
            store, lambda s: ConfigRepository(s).read_change(revision)
        )
        if record is not None:
            typer.echo(describe_change(record))
