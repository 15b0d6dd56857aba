"""A calm day on stand-ins of the platform: `python -m ...platform_day`.

Five instances in two failure domains serve callers for some seconds; the
servers' pace changes all the time, one server drains and one node is stopped
as planned. It ends with 0 if every request was answered and none ran twice.
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

PLACES = [
    Place("a-1", "127.0.9.21", "a", "library"),
    Place("a-2", "127.0.9.22", "a", "library"),
    Place("a-3", "127.0.9.23", "a", "sessions"),
    Place("b-1", "127.0.9.24", "b", "library"),
    Place("b-2", "127.0.9.25", "b", "sessions"),
]

#: How long callers send, and their requests a second on each instance.
DAY_S = 8.0
RATE_PER_S = 12.0

#: When the drain and the planned stop begin (s).
_DRAIN_AT_S = 2.0
_STOP_AT_S = 4.0

_SEED = 20


@dataclasses.dataclass(slots=True)
class Tally:
    """What callers got.

    Attributes:
      statuses: answers by status; 0 for none.
      times_ms: answer times of successes (ms).
      again: requests that came back after a refusal.
    """

    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    times_ms: list[float] = dataclasses.field(default_factory=list)
    again: int = 0


async def main() -> int:
    """Plays the day and prints what became of the requests."""
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(PLACES, pathlib.Path(folder)) as fleet:
            fleet.configure(
                [route("library", "safe"), route("sessions", "unsafe")]
            )
            await fleet.start(_SEED, work_s=0.03)
            await asyncio.sleep(1.0)
            tally = await _play(fleet)
            return _report(fleet, tally)


async def _play(fleet: Fleet) -> Tally:
    tally = Tally()
    async with asyncio.TaskGroup() as tasks:
        for number, instance in enumerate(fleet.instances.values()):
            rng = random.Random(_SEED + number)
            tasks.create_task(_callers(fleet, instance, rng, tally))
        tasks.create_task(_drain(fleet.instances["a-2"]))
        tasks.create_task(_stop(fleet.instances["b-2"]))
    return tally


async def _callers(
    fleet: Fleet, instance: Instance, rng: random.Random, tally: Tally
) -> None:
    until = time.monotonic() + DAY_S
    async with asyncio.TaskGroup() as tasks:
        while time.monotonic() < until:
            if instance.place.name == "b-2" and _is_stopping(until):
                return
            service = rng.choice(("library", "library", "sessions"))
            tasks.create_task(_ask(fleet, instance, service, tally))
            await asyncio.sleep(rng.expovariate(RATE_PER_S))


def _is_stopping(until: float) -> bool:
    """Returns whether callers of the stopped node have gone elsewhere."""
    return time.monotonic() > until - DAY_S + _STOP_AT_S


async def _ask(
    fleet: Fleet, instance: Instance, service: str, tally: Tally
) -> None:
    method = "POST" if service == "sessions" else "GET"
    began = time.monotonic()
    answer = await fleet.ask(instance, f"/{service}/x", method)
    if answer.status == 503:
        tally.again += 1
        await asyncio.sleep(float(answer.headers["Retry-After"]))
        answer = await fleet.ask(instance, f"/{service}/x", method)
    tally.statuses[answer.status] += 1
    if answer.status == 200:
        tally.times_ms.append((time.monotonic() - began) * 1000)


async def _drain(instance: Instance) -> None:
    await asyncio.sleep(_DRAIN_AT_S)
    assert instance.server is not None
    instance.server.draining = True
    async with aiohttp.ClientSession() as session:
        await instance.server.heartbeat(session)


async def _stop(instance: Instance) -> None:
    await asyncio.sleep(_STOP_AT_S)
    instance.signal_node(signal.SIGTERM)
    await instance.node_ended()


def _report(fleet: Fleet, tally: Tally) -> int:
    runs: collections.Counter[str] = collections.Counter()
    for instance in fleet.instances.values():
        if instance.place.service == "sessions" and instance.server:
            runs.update(instance.server.runs)
    twice = sum(count > 1 for count in runs.values())
    asked = tally.statuses.total()
    times = sorted(tally.times_ms)
    print(f"asked {asked}, answered 200 {tally.statuses[200]}, "
          f"came back after a refusal {tally.again}")  # fmt: skip
    others = {s: n for s, n in tally.statuses.items() if s != 200}
    print(f"other answers: {others}")
    print(f"answer time p50 {times[len(times) // 2]:.0f} ms, "
          f"p99 {times[int(len(times) * 0.99)]:.0f} ms")  # fmt: skip
    print(f"bookings that ran more than once: {twice}")
    print(f"calls of the store: {dict(fleet.store.calls)}")
    return int(twice > 0 or tally.statuses[200] != asked)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
