"""A demonstration without faults: `python -m ...platform_day`.

Five instances in two failure domains serve callers for some seconds while the
pace of the servers varies, one server drains and one node is stopped
gracefully. The exit code is 0 if every request was answered with status 200
and no booking ran more than once.
"""

import asyncio
import collections
import dataclasses
import pathlib
import random
import signal
import sys
import tempfile
import time

import aiohttp

from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import Instance
from radishwind.standins.platform_fleet import Place
from radishwind.standins.platform_fleet import route

_PLACES = [
    Place("a-1", "127.0.9.21", "a", "library"),
    Place("a-2", "127.0.9.22", "a", "library"),
    Place("a-3", "127.0.9.23", "a", "sessions"),
    Place("b-1", "127.0.9.24", "b", "library"),
    Place("b-2", "127.0.9.25", "b", "sessions"),
]

#: Duration of the load (s) and mean request rate on each instance.
LOAD_DURATION_S = 8.0
REQUESTS_PER_S = 12.0

#: When the drain and the graceful stop start, from the start of the load (s).
_DRAIN_START_S = 2.0
_NODE_STOP_S = 4.0

_SEED = 20


@dataclasses.dataclass(slots=True)
class ResponseCounts:
    """Counts the responses that callers received.

    Attributes:
      statuses: the number of final responses by status; 0 for no response.
      times_ms: the response times of successful requests (ms).
      retried: the number of requests retried after a response with status 503.
    """

    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    times_ms: list[float] = dataclasses.field(default_factory=list)
    retried: int = 0


async def main() -> int:
    """Runs the deployment under load and prints a report.

    Returns:
      The exit code.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(_PLACES, pathlib.Path(folder)) as fleet:
            fleet.configure(
                [route("library", "safe"), route("sessions", "unsafe")]
            )
            await fleet.start(_SEED, work_s=0.03)
            await asyncio.sleep(1.0)
            counts = await _run_day(fleet)
            return _print_report(fleet, counts)


async def _run_day(fleet: Fleet) -> ResponseCounts:
    counts = ResponseCounts()
    async with asyncio.TaskGroup() as tasks:
        for number, instance in enumerate(fleet.instances.values()):
            rng = random.Random(_SEED + number)
            tasks.create_task(_send_load(fleet, instance, rng, counts))
        tasks.create_task(_drain_server(fleet.instances["a-2"]))
        tasks.create_task(_stop_node(fleet.instances["b-2"]))
    return counts


async def _send_load(
    fleet: Fleet, instance: Instance, rng: random.Random, counts: ResponseCounts
) -> None:
    end = time.monotonic() + LOAD_DURATION_S
    async with asyncio.TaskGroup() as tasks:
        while time.monotonic() < end:
            if instance.place.name == "b-2" and _has_stop_begun(end):
                return
            service = rng.choice(("library", "library", "sessions"))
            tasks.create_task(_send_request(fleet, instance, service, counts))
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))


def _has_stop_begun(end: float) -> bool:
    """Returns whether the node is stopping and callers use other nodes."""
    return time.monotonic() > end - LOAD_DURATION_S + _NODE_STOP_S


async def _send_request(
    fleet: Fleet, instance: Instance, service: str, counts: ResponseCounts
) -> None:
    method = "POST" if service == "sessions" else "GET"
    started_at = time.monotonic()
    response = await fleet.ask(instance, f"/{service}/x", method)
    if response.status == 503:
        counts.retried += 1
        await asyncio.sleep(float(response.headers["Retry-After"]))
        response = await fleet.ask(instance, f"/{service}/x", method)
    counts.statuses[response.status] += 1
    if response.status == 200:
        counts.times_ms.append((time.monotonic() - started_at) * 1000)


async def _drain_server(instance: Instance) -> None:
    await asyncio.sleep(_DRAIN_START_S)
    assert instance.server is not None
    instance.server.draining = True
    async with aiohttp.ClientSession() as session:
        await instance.server.send_heartbeat(session)


async def _stop_node(instance: Instance) -> None:
    await asyncio.sleep(_NODE_STOP_S)
    instance.signal_node(signal.SIGTERM)
    await instance.node_ended()


def _print_report(fleet: Fleet, counts: ResponseCounts) -> int:
    runs: collections.Counter[str] = collections.Counter()
    for instance in fleet.instances.values():
        if instance.place.service == "sessions" and instance.server:
            runs.update(instance.server.runs)
    duplicated = sum(count > 1 for count in runs.values())
    asked = counts.statuses.total()
    times = sorted(counts.times_ms)
    print(f"asked {asked}, answered 200 {counts.statuses[200]}, "
          f"came back after a refusal {counts.retried}")  # fmt: skip
    others = {s: n for s, n in counts.statuses.items() if s != 200}
    print(f"other answers: {others}")
    print(f"answer time p50 {times[len(times) // 2]:.0f} ms, "
          f"p99 {times[int(len(times) * 0.99)]:.0f} ms")  # fmt: skip
    print(f"bookings that ran more than once: {duplicated}")
    print(f"calls of the store: {dict(fleet.store.calls)}")
    return int(duplicated > 0 or counts.statuses[200] != asked)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
