"""What a node on the platform costs, as a ratio to another version's.

    python -m bench.node_cost [--nodes 30] [--seconds 10] [--than SRC]
    python -m bench.node_cost --accounts
    python -m bench.node_cost --profile FILE

Nodes run as processes on stand-ins of the platform: processor time of a start
until ready, at rest, and with requests. `--than` names the `src` folder of
another version, measured in the same run and in the same way; the ratio says
more than the seconds, which are the machine's. `--accounts` compares nodes that
sign what they send each other, since there are client accounts, with nodes that
don't. `--profile` runs one node under cProfile, beside the others, with
requests, and keeps its statistics.
"""

import argparse
import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import compileall
import dataclasses
import os
import pathlib
import random
import signal
import sys
import tempfile
from typing import Any
from typing import TypeAlias

from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import Instance
from radishwind.standins.platform_fleet import Place
from radishwind.standins.platform_fleet import route

#: Requests a second at each node: what a fleet of 195 has.
RATE_PER_S = 4.0

_DOMAINS = ("a", "b", "c", "d", "e")
_SERVICES = ("library", "library", "sessions")
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")

_Accounts: TypeAlias = Sequence[Mapping[str, Any]]
_HELD: _Accounts = ({"name": "ward-7", "api-keys": ["k-7"]},)

#: After the start of all, until nodes know each other and are at rest (s).
_SETTLE_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Processor time of a node, in the mean.

    Attributes:
      start_s: from its start until all are ready (s).
      rest: at rest (cores).
      busy: with requests (cores).
    """

    start_s: float
    rest: float
    busy: float


def main() -> None:
    """Measures and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=30)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--than", type=pathlib.Path)
    parser.add_argument("--accounts", action="store_true")
    parser.add_argument("--profile", type=pathlib.Path)
    args = parser.parse_args()
    if args.profile is not None:
        kept = args.profile.resolve()
        asyncio.run(_profiled(args.nodes, args.seconds, kept))
        return
    own = pathlib.Path(__file__).resolve().parent.parent / "src"
    if args.accounts:
        costs = [
            _measured(own, args.nodes, args.seconds, held)
            for held in ((), _HELD)
        ]
        _print(costs, ("without accounts", "with accounts"))
        return
    sources = [own] if args.than is None else [args.than.resolve(), own]
    costs = [_measured(src, args.nodes, args.seconds) for src in sources]
    _print(costs, ("other version", "this version"))


def _print(costs: list[Cost], names: tuple[str, str]) -> None:
    print("| of a node | s of a start | cores at rest | cores with requests |")
    print("|---|---|---|---|")
    for name, cost in zip(names[-len(costs) :], costs, strict=True):
        print(
            f"| {name} | {cost.start_s:.3f} | {cost.rest:.4f} | "
            f"{cost.busy:.4f} |"
        )
    if len(costs) == 2:
        old, new = costs
        print(
            f"| ratio | {new.start_s / old.start_s:.2f} | "
            f"{new.rest / old.rest:.2f} | {new.busy / old.busy:.2f} |"
        )


def _places(count: int) -> list[Place]:
    return [
        Place(
            f"n-{number}",
            f"127.0.10.{number + 1}",
            _DOMAINS[number % len(_DOMAINS)],
            _SERVICES[number % len(_SERVICES)],
        )
        for number in range(count)
    ]


def _measured(
    src: pathlib.Path, nodes: int, seconds: float, accounts: _Accounts = ()
) -> Cost:
    # As deployed: no start compiles anything.
    compileall.compile_dir(src, quiet=1)
    os.environ["PYTHONPATH"] = str(src)
    return asyncio.run(_cost(nodes, seconds, accounts))


async def _cost(nodes: int, seconds: float, accounts: _Accounts) -> Cost:
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(_places(nodes), pathlib.Path(folder)) as fleet:
            await _start(fleet, accounts)
            start_s = _cpu_s(fleet) / nodes
            await asyncio.sleep(_SETTLE_S)
            before = _cpu_s(fleet)
            await asyncio.sleep(seconds)
            rest = (_cpu_s(fleet) - before) / nodes / seconds
            before = _cpu_s(fleet)
            await _requests(fleet, seconds)
            busy = (_cpu_s(fleet) - before) / nodes / seconds
            return Cost(start_s, rest, busy)


async def _start(fleet: Fleet, accounts: _Accounts = ()) -> None:
    # Public, so that requests need no key: only what nodes sign differs.
    routes = [
        route("library", "safe", public=True),
        route("sessions", "unsafe", public=True),
    ]
    fleet.configure(routes, tenants=accounts)
    await fleet.start(7, work_s=0.03)


async def _requests(fleet: Fleet, seconds: float) -> None:
    """Sends requests at each node, at random moments."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds

    async def callers(instance: Instance, rng: random.Random) -> None:
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < until:
                service = rng.choice(_SERVICES)
                tasks.create_task(fleet.ask(instance, f"/{service}/x"))
                await asyncio.sleep(rng.expovariate(RATE_PER_S))

    async with asyncio.TaskGroup() as all_callers:
        for number, instance in enumerate(fleet.instances.values()):
            all_callers.create_task(callers(instance, random.Random(number)))


def _cpu_s(fleet: Fleet) -> float:
    """Returns the processor time of all nodes since their start (s)."""
    total = 0
    for instance in fleet.instances.values():
        stat = pathlib.Path(f"/proc/{instance.node_pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        total += int(fields[11]) + int(fields[12])
    return total / _TICKS_PER_S


async def _profiled(nodes: int, seconds: float, kept: pathlib.Path) -> None:
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(_places(nodes), pathlib.Path(folder)) as fleet:
            first = next(iter(fleet.instances.values()))
            first.python = (
                *(sys.executable, "-m", "cProfile"),
                *("-o", str(kept)),
            )
            await _start(fleet)
            await asyncio.sleep(_SETTLE_S)
            await _requests(fleet, seconds)
            first.signal_node(signal.SIGTERM)
            await first.node_ended()


if __name__ == "__main__":
    main()
