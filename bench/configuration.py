"""Sizes, times and store calls of configuration at three sizes.

    python -m bench.configuration --seed 1

The first two tables take each step alone, in this process; the third counts
the store calls of one change. The fourth runs the configuration tasks of many
nodes in this process, over a sender without sockets, with the default periods
and no rumor bus; times are those of one busy event loop that all of them
share.
"""

import argparse
from collections.abc import Callable
import dataclasses
import random
import statistics
import time
import tracemalloc
from typing import Any

import anyio
import msgspec
from tests.support.configs import ConfigFleet
from tests.support.configs import ConfigTestbed

from bench.report import keep
from radishwind.config import records
from radishwind.config.adopter import Adopter
from radishwind.config.files import read_inventory
from radishwind.config.files import read_rules
from radishwind.config.files import write_file
from radishwind.config.index import ConfigIndex
from radishwind.config.model import FailureDomain
from radishwind.config.model import Inventory
from radishwind.config.model import Link
from radishwind.config.model import Rules
from radishwind.config.model import Service
from radishwind.config.model import ServiceRules
from radishwind.config.model import Target
from radishwind.config.parts import assemble
from radishwind.config.parts import decode_part
from radishwind.config.parts import encode_part
from radishwind.config.parts import Snapshot
from radishwind.config.parts import split_into_parts
from radishwind.config.pull import decode_reply
from radishwind.config.pull import Pull
from radishwind.config.pull import PullResponder
from radishwind.config.pull import SnapshotBuilder
from radishwind.config.watchers import WATCHERS_PER_DOMAIN
from radishwind.http import Request
from radishwind.http import Response
from radishwind.node.config_periods import ConfigPeriods
from radishwind.standins.store import StoreFaults

#: Services and targets: both deployments of today, then growth.
SIZES = ((6, 24), (125, 1_000), (1_100, 8_900))
DOMAINS = 7
NODES = (13, 50, 200)
ROUNDS = 7
CHANGES = 5

_COMMAND = "python -m bench.configuration --seed 1"
_NOTES = (
    "Times are the median over rounds, with the least and the most. "
    "Memory is what tracemalloc counts for the snapshot and its index."
)


def made_inventory(services: int, targets: int, slots: int = 9) -> Inventory:
    """Returns an inventory of a size; `slots` are those of one target."""
    domains = [f"domain-{number}" for number in range(DOMAINS)]
    return Inventory(
        tuple(FailureDomain(name, f"region-{name[-1]}") for name in domains),
        tuple(
            Service(f"service-{number:04d}", f"team-{number % 40:02d}")
            for number in range(services)
        ),
        tuple(
            Target(
                f"service-{number % services:04d}-{number // services:03d}",
                f"service-{number % services:04d}",
                domains[number % DOMAINS],
                slots if number == 0 else 9,
                250,
            )
            for number in range(targets)
        ),
        tuple(
            Link(a, b, 1.5)
            for number, a in enumerate(domains)
            for b in domains[number + 1 :]
        ),
    )


def made_rules(services: int) -> Rules:
    """Returns rules in which every second service has its own."""
    return Rules(
        services={
            f"service-{number:04d}": ServiceRules(deadline_ms=900 + number)
            for number in range(0, services, 2)
        }
    )


def timed(run: Callable[[], Any], rounds: int) -> str:
    """Returns the times of `run` as text (ms): median (least to most)."""
    took_ms = []
    for _ in range(rounds):
        start = time.perf_counter()
        run()
        took_ms.append((time.perf_counter() - start) * 1000)
    middle = statistics.median(took_ms)
    return f"{middle:.3g} ({min(took_ms):.3g} to {max(took_ms):.3g})"


async def accepted(
    inventory: Inventory, rules: Rules, changed: Inventory
) -> tuple[ConfigTestbed, list[Snapshot], dict[str, int]]:
    """Returns snapshots before and after one change, and its store calls."""
    testbed = ConfigTestbed()
    await testbed.apply(inventory)
    await testbed.apply(rules)
    before = await testbed.load_newest()
    counted = dict(testbed.standin.calls)
    await testbed.apply(changed)
    calls = {k: v - counted.get(k, 0) for k, v in testbed.standin.calls.items()}
    return testbed, [before, await testbed.load_newest()], calls


def sizes_row(
    size: tuple[int, int], testbed: ConfigTestbed, snapshots: list[Snapshot]
) -> dict[str, Any]:
    """Returns the sizes of what is kept and sent (bytes)."""
    before, after = snapshots
    encoded = [len(encode_part(part)) for part in after.parts.values()]
    inventory_file = write_file(after.cfg.inventory)
    reply = _reply(after, before)
    whole = _reply(after, Snapshot())
    return {
        "services": size[0],
        "targets": size[1],
        "inventory file": len(inventory_file),
        "rules file": len(write_file(after.cfg.rules)),
        "parts": len(encoded),
        "all parts": sum(encoded),
        "largest part": max(encoded),
        "manifest": len(records.encode_manifest(after.refs)),
        "root after a change of one target": len(
            testbed.value(records.ROOT_KEY)
        ),
        "difference from a peer": len(msgspec.json.encode(reply)),
        "first answer to a new node": len(msgspec.json.encode(whole)),
    }


def times_row(
    size: tuple[int, int], snapshots: list[Snapshot], rounds: int
) -> dict[str, Any]:
    """Returns the times of each step (ms)."""
    before, after = snapshots
    cfg = after.cfg
    inventory_file = write_file(cfg.inventory)
    rules_file = write_file(cfg.rules)
    encoded = {name: encode_part(part) for name, part in after.parts.items()}
    record = after.record
    assert record is not None
    reply = msgspec.json.encode(_reply(after, before))

    def take_difference() -> None:
        SnapshotBuilder(before, decode_reply(reply)).build()

    return {
        "targets": size[1],
        "check inventory file": timed(
            lambda: read_inventory(inventory_file), rounds
        ),
        "check rules file": timed(lambda: read_rules(rules_file), rounds),
        "cut and encode": timed(
            lambda: [
                encode_part(p)
                for p in split_into_parts(cfg.inventory, cfg.rules).values()
            ],
            rounds,
        ),
        "decode": timed(
            lambda: {n: decode_part(n, c) for n, c in encoded.items()}, rounds
        ),
        "put together and check": timed(
            lambda: assemble(record, after.refs, after.parts), rounds
        ),
        "index": timed(lambda: ConfigIndex(cfg), rounds),
        "take a difference": timed(take_difference, rounds),
        "memory (MB)": _memory_mb(encoded, after),
    }


def _memory_mb(encoded: dict[str, bytes], after: Snapshot) -> float:
    assert after.record is not None
    tracemalloc.start()
    parts = {name: decode_part(name, c) for name, c in encoded.items()}
    snapshot = assemble(after.record, after.refs, parts)
    index = ConfigIndex(snapshot.cfg)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert index.cfg is snapshot.cfg
    return held / 1e6


def _reply(after: Snapshot, held: Snapshot) -> Any:
    adopter = Adopter()
    adopter.adopt(after)
    return PullResponder(adopter).respond(Pull(held.revision, held.change_id))


def fail_once_told(
    testbed: ConfigTestbed, fleet: ConfigFleet, revision: int
) -> None:
    """Lets the store fail once one node has the accepted revision."""

    async def accept_and_fail(request: Request) -> Response:
        response = await testbed.standin.handle(request)
        await fleet.wait_until(lambda: revision in fleet.revisions())
        testbed.standin.set_faults(StoreFaults(down="refuse"))
        return response

    testbed.on_swap = accept_and_fail


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeCost:
    """What one change of one target cost.

    Attributes:
      took_s: from the operator's call until it was in force everywhere (s).
      calls: store calls, those of the operator's program among them.
      asked: questions sent to peers, by all nodes together.
      received_bytes: configuration received by all nodes together (bytes).
    """

    took_s: float
    calls: int
    asked: int
    received_bytes: int


async def change_cost(
    testbed: ConfigTestbed,
    fleet: ConfigFleet,
    changed: Inventory,
    revision: int,
) -> ChangeCost:
    """Applies `changed` as `revision` and waits until all have it."""
    asked, received_bytes = fleet.totals()
    calls = sum(testbed.standin.calls.values())
    testbed.sender.sent.clear()
    start = time.perf_counter()
    await testbed.apply(changed)
    await fleet.wait_in_force(revision)
    took_s = time.perf_counter() - start
    asked_after, received_after = fleet.totals()
    return ChangeCost(
        took_s,
        sum(testbed.standin.calls.values()) - calls,
        asked_after - asked,
        received_after - received_bytes,
    )


async def spread_costs(
    nodes: int, changes: int, store_fails: bool, watches: int
) -> list[ChangeCost]:
    """Runs `nodes` nodes and returns what each of `changes` cost."""
    testbed = ConfigTestbed()
    fleet = ConfigFleet(testbed, ConfigPeriods())
    services = max(3, nodes // 8)
    costs = []
    async with anyio.create_task_group() as tasks:
        for number in range(nodes):
            fleet.start(tasks, f"n-{number:04d}", f"domain-{number % DOMAINS}")
        await testbed.apply(made_inventory(services, nodes))
        await fleet.wait_in_force(1)
        await fleet.wait_until(lambda: testbed.standin.open_watches == watches)
        for revision in range(2, 2 + changes):
            if store_fails:
                testbed.standin.set_faults(StoreFaults())
                await fleet.wait_until(
                    lambda: testbed.standin.open_watches == watches
                )
                fail_once_told(testbed, fleet, revision)
            changed = made_inventory(services, nodes, revision)
            costs.append(await change_cost(testbed, fleet, changed, revision))
        tasks.cancel_scope.cancel()
    return costs


async def spread_row(
    nodes: int, changes: int, store_fails: bool
) -> dict[str, Any]:
    """Returns what changes of one target cost among many nodes."""
    watches = sum(
        min(WATCHERS_PER_DOMAIN, len(range(d, nodes, DOMAINS)))
        for d in range(DOMAINS)
    )
    costs = await spread_costs(nodes, changes, store_fails, watches)
    took_s = [cost.took_s for cost in costs]
    return {
        "nodes": nodes,
        "changes": changes,
        "store": "fails after acceptance" if store_fails else "up",
        "watches": watches,
        "time to be in force (s)": f"{statistics.median(took_s):.3g} "
        f"({min(took_s):.3g} to {max(took_s):.3g})",
        "store calls a change": statistics.mean(c.calls for c in costs),
        "questions a node and change": statistics.mean(
            c.asked / nodes for c in costs
        ),
        "bytes received a node and change": statistics.mean(
            c.received_bytes / nodes for c in costs
        ),
    }


def main() -> None:
    """Runs the bench and keeps its tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    options = parser.parse_args()
    random.seed(options.seed)
    sizes, times, calls = [], [], []
    for size in SIZES:
        contents = made_inventory(*size), made_rules(size[0])
        changed = made_inventory(*size, slots=8)
        testbed, snapshots, counted = anyio.run(accepted, *contents, changed)
        sizes.append(sizes_row(size, testbed, snapshots))
        times.append(times_row(size, snapshots, options.rounds))
        calls.append({"targets": size[1], **counted})
    spread = [
        anyio.run(spread_row, nodes, CHANGES, fails)
        for nodes in NODES
        for fails in (False, True)
    ]
    keep(
        "configuration",
        "Configuration: sizes, times, store calls, spread",
        _COMMAND,
        (
            ("Sizes (bytes)", sizes),
            ("Times (ms)", times),
            (
                "Store calls of the operator's program, change of one target",
                calls,
            ),
            ("Changes of one target among many nodes in one process", spread),
        ),
        _NOTES,
    )


if __name__ == "__main__":
    main()
