"""`check`, `apply` and `show` for the inventory and the rules."""

from collections.abc import Awaitable
from collections.abc import Callable
import getpass
import os
import pathlib
import random
from typing import Annotated
from typing import TypeAlias
from typing import TypeVar

import anyio
import typer

from radishwind.cli import fleet
from radishwind.config.change_acceptor import Change
from radishwind.config.change_acceptor import ChangeAcceptor
from radishwind.config.change_acceptor import describe_change
from radishwind.config.files import write_file
from radishwind.config.model import Configuration
from radishwind.config.model import Inventory
from radishwind.config.model import Rules
from radishwind.config.parts import Snapshot
from radishwind.config.records import ChangeRecord
from radishwind.config.repository import ConfigRepository
from radishwind.core import SystemClock
from radishwind.http import Address
from radishwind.http import HttpLibrary
from radishwind.http import make_sender
from radishwind.settings import SettingError
from radishwind.store import EtcdStore
from radishwind.store import Store

#: Timeout of a call of the store.
_STORE_TIMEOUT_S = 5.0

_MAX_STORE_CONNECTIONS = 2

Document: TypeAlias = Inventory | Rules

FileArgument: TypeAlias = Annotated[
    pathlib.Path, typer.Argument(help="The file, JSON.")
]
_STORE_OPTION = typer.Option(
    envvar="RADISHWIND_STORE",
    metavar="HOST:PORT",
    help="The platform's key-value store.",
)
StoreOption: TypeAlias = Annotated[str, _STORE_OPTION]
OptionalStoreOption: TypeAlias = Annotated[str | None, _STORE_OPTION]
AdminOption: TypeAlias = Annotated[
    str | None,
    typer.Option(
        "--admin",
        envvar="RADISHWIND_ADMIN",
        metavar="HOST:PORT",
        help="Admin listener of any node.",
    ),
]
OperatorOption: TypeAlias = Annotated[
    str | None,
    typer.Option(
        envvar="RADISHWIND_OPERATOR",
        help="Who makes the change; the login name if not given.",
    ),
]
BaseOption: TypeAlias = Annotated[
    int | None,
    typer.Option(
        min=0,
        metavar="REVISION",
        help="Refuse if the newest revision is another one.",
    ),
]
AboveOption: TypeAlias = Annotated[
    int,
    typer.Option(
        min=0,
        metavar="REVISION",
        help="Make the new revision higher than this one too; for a store "
        "restored from an old copy.",
    ),
]
WaitOption: TypeAlias = Annotated[
    float,
    typer.Option(
        "--wait",
        min=0,
        max=3600,
        metavar="SECONDS",
        help="Wait until it is in force everywhere; needs --admin.",
    ),
]

_T = TypeVar("_T")


def add_document(
    app: typer.Typer, name: str, read: Callable[[bytes], Document]
) -> None:
    """Adds the commands for one document to `app`.

    Args:
      app: application.
      name: `inventory` or `rules`.
      read: parses the document from the content of a file.
    """
    commands = typer.Typer(help=f"The operators' {name}.", no_args_is_help=True)
    _add_check(commands, read)
    _add_apply(commands, read)
    _add_show(commands, name)
    app.add_typer(commands, name=name)


def _add_check(
    commands: typer.Typer, read: Callable[[bytes], Document]
) -> None:
    @commands.command("check")
    def check(file: FileArgument) -> None:
        """Check a file; every fault is listed with its place."""
        read(_read_content(file))
        typer.echo(f"{file}: no faults")


def _add_apply(
    commands: typer.Typer, read: Callable[[bytes], Document]
) -> None:
    @commands.command("apply")
    def apply(
        file: FileArgument,
        store: StoreOption,
        operator: OperatorOption = None,
        base: BaseOption = None,
        above: AboveOption = 0,
        wait_s: WaitOption = 0.0,
        admin: AdminOption = None,
    ) -> None:
        """Check a file and accept it whole, replacing the one in force."""
        if wait_s and admin is None:
            raise SettingError("expected --admin with --wait, got none")
        change = Change(
            read(_read_content(file)), get_operator_name(operator), base, above
        )
        record = with_store(store, lambda s: make_acceptor(s).accept(change))
        print_accepted(record)
        if record is not None and wait_s and admin is not None:
            fleet.wait_in_force(admin, record.revision, wait_s)


def _add_show(commands: typer.Typer, name: str) -> None:
    @commands.command("show")
    def show(
        store: OptionalStoreOption = None, admin: AdminOption = None
    ) -> None:
        """Print the one in force, from the store or as a node has it."""
        cfg = _load_config(store, admin)
        typer.echo(f"revision {cfg.revision}", err=True)
        document = cfg.inventory if name == "inventory" else cfg.rules
        typer.echo(write_file(document).decode(), nl=False)


def make_acceptor(store: Store) -> ChangeAcceptor:
    """Returns a `ChangeAcceptor` for `store`."""
    return ChangeAcceptor(store, SystemClock(), random.Random(os.urandom(16)))


def with_store(text: str, use: Callable[[Store], Awaitable[_T]]) -> _T:
    """Calls `use` with the store at the address `text`; returns its result."""

    async def run() -> _T:
        sender = make_sender(HttpLibrary.AIOHTTP, _MAX_STORE_CONNECTIONS)
        store = EtcdStore(
            sender, parse_address(text), timeout_s=_STORE_TIMEOUT_S
        )
        try:
            return await use(store)
        finally:
            await store.close()

    return anyio.run(run)


def parse_address(text: str) -> Address:
    """Parses `HOST:PORT`.

    Raises:
      SettingError: `text` is malformed.
    """
    try:
        return Address.parse(text)
    except ValueError as exc:
        raise SettingError(str(exc)) from exc


def _read_content(file: pathlib.Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as exc:
        raise SettingError(f"expected a readable file: {exc}") from exc


def get_operator_name(given: str | None) -> str:
    """Returns the given operator name, or else the login name."""
    return given or getpass.getuser()


def print_accepted(record: ChangeRecord | None) -> None:
    """Prints the accepted change, or that nothing changed if it is `None`."""
    if record is None:
        typer.echo("nothing differs from the one in force")
        return
    typer.echo(f"accepted as {describe_change(record)}")


def _load_config(store: str | None, admin: str | None) -> Configuration:
    if admin is not None:
        return fleet.fetch_config(admin)
    if store is None:
        raise SettingError("expected --store or --admin, got neither")
    return with_store(store, _load_newest)


async def _load_newest(store: Store) -> Configuration:
    repository = ConfigRepository(store)
    root, _ = await repository.read_newest()
    if root is None:
        return Configuration()
    return (await repository.load(root, Snapshot())).cfg
