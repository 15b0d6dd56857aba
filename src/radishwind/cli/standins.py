"""`radishwind standin`: stand-ins of the store and of backend servers."""

from typing import Annotated

import anyio
import typer

from radishwind.cli import documents
from radishwind.core.clock import SystemClock
from radishwind.http import Address
from radishwind.http import Handler
from radishwind.http import HttpLibrary
from radishwind.http import make_sender
from radishwind.http import make_server

#: Connections of the generated load to one entry node.
_MAX_LOAD_CONNECTIONS = 64

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

    address = documents.parse_address(listen)

    async def main() -> None:
        standin = StoreStandin(SystemClock())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(standin.run)
            await _serve_forever(standin.handle, address)

    anyio.run(main, backend_options={"use_uvloop": True})


@_app.command("backend")
def _backend(
    name: Annotated[str, typer.Option(help="Target name, told in answers.")],
    listen: Annotated[str, typer.Option(help="HOST:PORT")],
    node: Annotated[
        str, typer.Option(help="Admin listener of the node beside, HOST:PORT.")
    ] = "",
    slots: Annotated[int, typer.Option(help="Requests run at once.")] = 9,
    queue: Annotated[int, typer.Option(help="Requests that wait.")] = 1024,
    service_ms: Annotated[float, typer.Option(help="Mean time (ms).")] = 5.0,
    service_shape: Annotated[
        float, typer.Option(help="Gamma shape of times; 1 is exponential.")
    ] = 1.0,
    probe_ms: Annotated[float, typer.Option(help="Time of a probe (ms).")] = 6,
    cold_s: Annotated[float, typer.Option(help="Slow at first (s).")] = 0.0,
    cold_factor: Annotated[float, typer.Option(help="How slow at first.")] = 5,
    seed: Annotated[int, typer.Option(help="Seed of service times.")] = 1,
) -> None:
    """Run a stand-in of a backend server."""
    from radishwind.standins.backend import BackendOptions
    from radishwind.standins.daemon import BackendDaemon

    options = BackendOptions(
        name=name,
        slots=slots,
        service_s=service_ms / 1000,
        service_shape=service_shape,
        queue_length=queue,
        probe_s=probe_ms / 1000,
        cold_s=cold_s,
        cold_factor=cold_factor,
    )
    node_address = documents.parse_address(node) if node else None
    daemon = BackendDaemon(
        options, documents.parse_address(listen), node_address, seed
    )
    anyio.run(daemon.run, backend_options={"use_uvloop": True})


@_app.command("load")
def _load(
    entry: Annotated[
        list[str],
        typer.Option(
            metavar="HOST:PORT", help="Caller listener of a node; may repeat."
        ),
    ],
    per_s: Annotated[
        float, typer.Option(min=0.1, max=2000, help="Mean rate (requests/s).")
    ] = 50.0,
    length_s: Annotated[
        float, typer.Option(min=0.1, max=3600, help="Length (s).")
    ] = 8.0,
    seed: Annotated[int, typer.Option(help="Seed of times and choices.")] = 1,
) -> None:
    """Read forecasts and book sessions, and tell what became of it."""
    from radishwind.standins import load

    entries = [documents.parse_address(text) for text in entry]
    plan = load.plan_load(entries, per_s, length_s, seed)

    async def main() -> None:
        sender = make_sender(HttpLibrary.AIOHTTP, _MAX_LOAD_CONNECTIONS)
        try:
            counts = await load.run_load(sender, plan)
        finally:
            await sender.close()
        typer.echo(load.format_counts(counts))

    anyio.run(main, backend_options={"use_uvloop": True})


async def _serve_forever(handler: Handler, listen: Address) -> None:
    server = make_server(HttpLibrary.AIOHTTP)
    await server.start(handler, listen)
    await anyio.sleep_forever()
