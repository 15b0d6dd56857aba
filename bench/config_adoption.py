"""Times from a change's acknowledgement to its adoption, beside store faults.

    python -m bench.config_adoption --seed 1

Nine nodes as processes in three failure domains, on the stand-ins of the
platform. In each round a fault begins, a route is added some time later, and
each node is asked for it until it no longer denies it. Nodes that the fault
stops are not asked.
"""

import argparse
import asyncio
import pathlib
import random
import signal
import statistics
import tempfile
from typing import Any

from bench.report import keep
from radishwind.membership.ranking import ranks_among_first
from radishwind.routes.feed_peers import WATCHERS_PER_DOMAIN
from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import Place
from radishwind.standins.platform_fleet import route
from radishwind.standins.store_faults import StoreFaults

DOMAINS = {"a": "127.0.41", "b": "127.0.42", "c": "127.0.43"}
NODES_PER_DOMAIN = 3
PLACES = [
    Place(f"{domain}-{n}", f"{network}.{n}", domain, "library")
    for domain, network in DOMAINS.items()
    for n in range(1, NODES_PER_DOMAIN + 1)
]
ROUNDS = 5

#: A node that has not adopted the change by then counts as this late (s).
MAX_WAIT_S = 40.0
_POLL_INTERVAL_S = 0.01

#: Time between rounds, in which watches are replaced (s).
_PAUSE_S = 3.0


def watches_by_rank(place: Place) -> bool:
    """Returns whether the node ranks among those that watch the store."""
    names = [p.name for p in PLACES if p.failure_domain == place.failure_domain]
    return ranks_among_first(place.name, names, WATCHERS_PER_DOMAIN)


WATCHERS = [place for place in PLACES if watches_by_rank(place)]
WATCHER_HOSTS = tuple(place.host for place in WATCHERS)


class Rounds:
    """Plays the rounds of one fault after the other on one deployment."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._number = 0

    async def adopt_times_s(self, fault: str) -> list[float]:
        """Returns the adoption times of all nodes in one round (s)."""
        stopped: set[str] = set()
        store = self._fleet.store
        if fault == "silent 4 s before":
            store.faults = StoreFaults(down="silent", cut=True)
            await asyncio.sleep(4.0)
            store.faults = StoreFaults()
        elif fault == "lost watch answers":
            store.faults = StoreFaults(lose_watch_answers=len(WATCHERS))
        elif fault == "silent open connections":
            store.faults = StoreFaults(mute=True)
        elif fault.startswith("watchers refused: "):
            how = fault.removeprefix("watchers refused: ")
            store.faults = StoreFaults(down=how, only=WATCHER_HOSTS, cut=True)
        elif fault == "watchers paused":
            stopped = {place.name for place in WATCHERS}
            self._signal(stopped, signal.SIGSTOP)
        if fault != "silent 4 s before":
            await asyncio.sleep(2.0 * self._rng.random())
        try:
            return await self._change(stopped)
        finally:
            store.faults = StoreFaults()
            self._signal(stopped, signal.SIGCONT)
            await asyncio.sleep(_PAUSE_S)

    def _signal(self, names: set[str], number: signal.Signals) -> None:
        for name in names:
            self._fleet.instances[name].signal_node(number)

    async def _change(self, stopped: set[str]) -> list[float]:
        self._number += 1
        name = f"added-{self._number}"
        added = route("library", "safe", name=name, prefix=f"/{name}/")
        self._fleet.configure([route("library", "safe"), added])
        acked_at = asyncio.get_running_loop().time()
        names = [n for n in self._fleet.instances if n not in stopped]
        async with asyncio.TaskGroup() as tasks:
            waits = [
                tasks.create_task(self._wait_adopted(n, f"/{name}/x"))
                for n in names
            ]
        return [wait.result() - acked_at for wait in waits]

    async def _wait_adopted(self, node: str, path: str) -> float:
        """Returns when the node first did not deny the added route (s)."""
        loop = asyncio.get_running_loop()
        gives_up_at = loop.time() + MAX_WAIT_S
        instance = self._fleet.instances[node]
        while loop.time() < gives_up_at:
            answer = await self._fleet.ask(instance, path)
            code = answer.headers.get("Radishwind-Code")
            if answer.status and code not in ("2003", "3019"):
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        return loop.time()


FAULTS = (
    "none",
    "silent 4 s before",
    "lost watch answers",
    "silent open connections",
    "watchers refused: silent",
    "watchers refused: busy",
    "watchers refused: reset",
    "watchers paused",
)


async def measure(seed: int, rounds: int) -> list[dict[str, Any]]:
    """Returns the adoption times by fault (s), over all nodes and rounds."""
    rng = random.Random(seed)
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(PLACES, pathlib.Path(folder)) as fleet:
            fleet.configure([route("library", "safe")])
            await fleet.start(seed, spell_s=0.0)
            await asyncio.sleep(_PAUSE_S)
            player = Rounds(fleet, rng)
            for fault in FAULTS:
                times_s = [
                    time_s
                    for _ in range(rounds)
                    for time_s in await player.adopt_times_s(fault)
                ]
                rows.append(
                    {
                        "fault": fault,
                        "adoptions": len(times_s),
                        "median (s)": round(statistics.median(times_s), 3),
                        "most (s)": round(max(times_s), 3),
                    }
                )
                print(rows[-1], flush=True)
    return rows


def main() -> None:
    """Prints the table; with `--keep`, keeps it below docs/measurements/."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    parser.add_argument("--keep", action="store_true")
    args = parser.parse_args()
    rows = asyncio.run(measure(args.seed, args.rounds))
    if args.keep:
        keep(
            "config-adoption",
            "Configuration: time to adoption beside faults of the store",
            f"python -m bench.config_adoption --seed {args.seed}",
            (("Adoptions", rows),),
        )


if __name__ == "__main__":
    main()
