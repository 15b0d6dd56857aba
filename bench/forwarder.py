"""What one forwarded request costs by HTTP library, as a ratio.

    python -m bench.forwarder [--requests 20000] [--connections 16]

A bare forwarder (a server whose handler sends on by a sender) runs as a process
of its own between a caller and a backend server with answers of 1,500 bytes, on
kept connections. Told is the forwarder's processor time a request, its peak
memory, and both as a ratio to the first library named.
"""

import argparse
import asyncio
import dataclasses
import multiprocessing
from multiprocessing.connection import Connection
import resource
import time

import uvloop

from radishwind.http import Address
from radishwind.http import HttpLibrary
from radishwind.http import make_sender
from radishwind.http import make_server
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http import Sender
from radishwind.http.types import read_body

_ANSWER = Response(200, (("Server", "backend"),), b"x" * 1500)
_WARM_UP = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What a library cost.

    Attributes:
      library: its name.
      request_us: processor time a forwarded request (us).
      peak_mb: the most memory of the process (MB).
    """

    library: HttpLibrary
    request_us: float
    peak_mb: float


def main() -> None:
    """Measures each library in turn and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument(
        "--libraries",
        nargs="+",
        type=HttpLibrary,
        default=[HttpLibrary.AIOHTTP, HttpLibrary.HTTPTOOLS],
    )
    args = parser.parse_args()
    costs = [
        measured(library, args.requests, args.connections)
        for library in args.libraries
    ]
    first = costs[0]
    print("| library | us a request | ratio | peak MB |")
    print("|---|---|---|---|")
    for cost in costs:
        ratio = cost.request_us / first.request_us
        print(
            f"| {cost.library} | {cost.request_us:.0f} | {ratio:.2f} "
            f"| {cost.peak_mb:.1f} |"
        )


def measured(library: HttpLibrary, requests: int, connections: int) -> Cost:
    """Returns what a bare forwarder takes for a request by `library`."""
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe()
    process = context.Process(target=_forward, args=(library, theirs))
    process.start()
    try:
        return uvloop.run(_load(library, ours, requests, connections))
    finally:
        ours.send(None)
        process.join()


async def _load(
    library: HttpLibrary, pipe: Connection, requests: int, connections: int
) -> Cost:
    """Sends requests through the forwarder to a backend server here."""
    backend = make_server(HttpLibrary.HTTPTOOLS)
    address = await backend.start(_answer, Address("127.0.0.1", 0))
    pipe.send(address)
    forwarder: Address = pipe.recv()
    sender = make_sender(HttpLibrary.HTTPTOOLS, connections)
    await _send(sender, forwarder, _WARM_UP, connections)
    pipe.send("begin")
    await _send(sender, forwarder, requests, connections)
    pipe.send("end")
    spent_s, peak_mb = pipe.recv()
    await sender.close()
    await backend.close(0.0)
    return Cost(library, spent_s / requests * 1e6, peak_mb)


async def _send(
    sender: Sender, to: Address, requests: int, at_once: int
) -> None:
    request = Request("GET", "/read/1", (("Host", "a"), ("X-Id", "1")))

    async def some() -> None:
        for _ in range(requests // at_once):
            response = await sender.send(to, request, 1.0)
            body = await read_body(response.body)
            assert len(body) == 1500, "a whole answer"

    async with asyncio.TaskGroup() as tasks:
        for _ in range(at_once):
            tasks.create_task(some())


async def _answer(request: Request) -> Response:
    return _ANSWER


def _forward(library: HttpLibrary, pipe: Connection) -> None:
    uvloop.run(_forward_until_told(library, pipe))


async def _forward_until_told(library: HttpLibrary, pipe: Connection) -> None:
    backend: Address = pipe.recv()
    sender = make_sender(library, 250)

    async def handle(request: Request) -> Response:
        return await sender.send(backend, request, 1.0)

    server = make_server(library)
    pipe.send(await server.start(handle, Address("127.0.0.1", 0)))
    loop = asyncio.get_running_loop()
    began = 0.0
    while True:
        told = await loop.run_in_executor(None, pipe.recv)
        if told is None:
            break
        if told == "begin":
            began = time.process_time()
            continue
        peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        pipe.send((time.process_time() - began, peak_kb / 1024))
    await sender.close()
    await server.close(0.0)


if __name__ == "__main__":
    main()
