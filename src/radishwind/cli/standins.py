"""`radishwind standin`: the store and backend servers for trying things out."""

import random
from typing import Annotated

import anyio
import typer

from radishwind.core.clock import SystemClock
from radishwind.http import Address
from radishwind.http import Handler
from radishwind.http import HttpLibrary
from radishwind.http import make_server

_app = typer.Typer(
    help="Stand-ins for the store and for backend servers.",
    no_args_is_help=True,
)


def add_to(app: typer.Typer) -> None:
    """Adds the commands to `app`."""
    app.add_typer(_app, name="standin")


@_app.command("store")
def _store(
    listen: Annotated[str, typer.Option(help="HOST:PORT")] = "127.0.0.1:2379",
) -> None:
    """Run the stand-in of the platform's key-value store."""
    from radishwind.standins.store import StoreStandin

    async def main() -> None:
        standin = StoreStandin(SystemClock())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(standin.run)
            await _serve_forever(standin.handle, listen)

    anyio.run(main, backend_options={"use_uvloop": True})


@_app.command("backend")
def _backend(
    name: Annotated[str, typer.Option(help="Name told in answers.")],
    listen: Annotated[str, typer.Option(help="HOST:PORT")],
    slots: Annotated[int, typer.Option(help="Requests run at once.")] = 9,
    service_ms: Annotated[float, typer.Option(help="Mean time (ms).")] = 5.0,
    seed: Annotated[int, typer.Option(help="Seed of service times.")] = 1,
) -> None:
    """Run a stand-in of a backend server."""
    from radishwind.standins.backend import BackendOptions
    from radishwind.standins.backend import BackendStandin

    options = BackendOptions(name, slots, service_ms / 1000)

    async def main() -> None:
        backend = BackendStandin(options, random.Random(seed))
        await _serve_forever(backend.handle, listen)

    anyio.run(main, backend_options={"use_uvloop": True})


async def _serve_forever(handler: Handler, listen: str) -> None:
    server = make_server(HttpLibrary.AIOHTTP)
    await server.start(handler, Address.parse(listen))
    await anyio.sleep_forever()
