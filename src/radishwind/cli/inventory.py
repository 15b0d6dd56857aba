"""`radishwind inventory`: the operators' inventory."""

import pathlib
import uuid
from typing import Annotated

import anyio
import msgspec
import typer

from radishwind.config.model import Configuration
from radishwind.config.model import Inventory
from radishwind.http import Address
from radishwind.http import HttpLibrary
from radishwind.http import make_sender
from radishwind.store import Compare
from radishwind.store import EtcdStore
from radishwind.store import Put

CONFIG_KEY = "/radishwind/config"

_app = typer.Typer(help="The operators' inventory.", no_args_is_help=True)


def add_to(app: typer.Typer) -> None:
    """Adds the commands to `app`."""
    app.add_typer(_app, name="inventory")


@_app.command("apply")
def _apply(
    file: Annotated[pathlib.Path, typer.Argument(help="Inventory file.")],
    store: Annotated[
        str, typer.Option(envvar="RADISHWIND_STORE", help="HOST:PORT")
    ],
) -> None:
    """Accept an inventory, replacing the one in force."""
    inventory = msgspec.json.decode(file.read_bytes(), type=Inventory)
    revision = anyio.run(_accept, inventory, Address.parse(store))
    typer.echo(f"accepted as revision {revision}")


async def _accept(inventory: Inventory, address: Address) -> int:
    store = EtcdStore(make_sender(HttpLibrary.AIOHTTP, 1), address)
    try:
        entry = await store.get(CONFIG_KEY)
        old = Configuration()
        if entry is not None:
            old = msgspec.json.decode(entry.value, type=Configuration)
        cfg = Configuration(
            old.revision + 1, uuid.uuid4().hex, inventory, old.rules
        )
        result = await store.transact(
            (Compare(CONFIG_KEY, entry.mod_revision if entry else 0),),
            (Put(CONFIG_KEY, msgspec.json.encode(cfg)),),
        )
    finally:
        await store.close()
    if not result.succeeded:
        raise typer.Exit(75)
    return cfg.revision
