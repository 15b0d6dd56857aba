"""Microseconds per decision and bytes per target of each routing policy.

`python -m bench.decisions --seed 1` prints a table and keeps it in
`docs/measurements/`; `--trial` only prints it.
"""

import argparse
import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from bench.report import keep
from bench.report import table
from radishwind.config.index import ConfigIndex
from radishwind.config.model import Configuration
from radishwind.config.model import Inventory
from radishwind.config.model import Link
from radishwind.config.model import Target
from radishwind.http.types import Address
from radishwind.http.types import Response
from radishwind.membership.directory import Member
from radishwind.outcomes import Done
from radishwind.routing import LoadReport
from radishwind.routing import make_chooser
from radishwind.routing import RoutingPolicy
from radishwind.routing import TargetChooser

SIZES = (10, 100, 1_000, 8_900)
ROUNDS = 9
DECISIONS = 200
DOMAINS = tuple(f"domain-{i}" for i in range(7))


class Row(msgspec.Struct, frozen=True):
    """One policy at one number of targets.

    Attributes:
      policy: its name.
      targets: targets of the one service.
      decision_us: median over the rounds, `choose` alone (us).
      decision_us_low: least of the rounds (us).
      decision_us_high: greatest of the rounds (us).
      bookkeeping_us: median of `started` and `finished` together (us).
      bytes_per_target: state per target after all were used.
    """

    policy: str
    targets: int
    decision_us: float
    decision_us_low: float
    decision_us_high: float
    bookkeeping_us: float
    bytes_per_target: float


def _inventory(targets: int) -> tuple[ConfigIndex, tuple[Member, ...]]:
    names = [f"target-{i}" for i in range(targets)]
    domains = [DOMAINS[i % len(DOMAINS)] for i in range(targets)]
    links = tuple(
        Link(a, b, 0.5 + 0.5 * abs(i - j))
        for i, a in enumerate(DOMAINS)
        for j, b in enumerate(DOMAINS[:i])
    )
    inventory = Inventory(
        targets=tuple(
            Target(name, "bollettino", domain, slots=9)
            for name, domain in zip(names, domains, strict=True)
        ),
        links=links,
    )
    members = tuple(
        Member(name, "bollettino", domain, Address("127.0.0.1", 1))
        for name, domain in zip(names, domains, strict=True)
    )
    return ConfigIndex(Configuration(inventory=inventory)), members


def _chooser(
    policy: RoutingPolicy, seed: int, index: ConfigIndex
) -> TargetChooser:
    return make_chooser(
        policy,
        random.Random(seed),
        node_name="target-3",
        failure_domain=DOMAINS[0],
        index=lambda: index,
        own_load=lambda: LoadReport(9, 4, 0, 5.0),
    )


def _fill(
    chooser: TargetChooser, members: tuple[Member, ...], now: float
) -> None:
    """Uses every target once, so that each has what state it gets."""
    for member in members:
        chooser.choose((member,), now)
        chooser.started(member.name, now)
        load = LoadReport(9, 4, 0, 5.0)
        done = Done(Response(200))
        chooser.finished(member.name, now, 0.005, done, load)


def _bytes_per_target(policy: RoutingPolicy, seed: int, targets: int) -> float:
    index, members = _inventory(targets)
    chooser = _chooser(policy, seed, index)
    gc.collect()
    tracemalloc.start()
    _fill(chooser, members, 1.0)
    chooser.choose(members, 1.0)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / targets


def _rounds_us(step: Callable[[float], None]) -> list[float]:
    """Returns the mean time of `step` in each round (us)."""
    rounds = []
    now = 2.0
    for _ in range(ROUNDS):
        began = time.perf_counter()
        for _ in range(DECISIONS):
            now += 0.003
            step(now)
        rounds.append((time.perf_counter() - began) / DECISIONS * 1e6)
    return rounds


def measure(policy: RoutingPolicy, seed: int, targets: int) -> Row:
    """Measures one policy at one number of targets."""
    index, members = _inventory(targets)
    chooser = _chooser(policy, seed, index)
    _fill(chooser, members, 1.0)
    done, load = Done(Response(200)), LoadReport(9, 4, 0, 5.0)
    picked = [m.name for m in members[:10]]

    def choose(now: float) -> None:
        chooser.choose(members, now)

    def keep_books(now: float) -> None:
        name = picked[int(now * 1000) % len(picked)]
        chooser.started(name, now)
        chooser.finished(name, now + 0.005, 0.005, done, load)

    choose(2.0)
    decisions_us = _rounds_us(choose)
    books_us = _rounds_us(keep_books)
    return Row(
        policy.value,
        targets,
        round(statistics.median(decisions_us), 2),
        round(min(decisions_us), 2),
        round(max(decisions_us), 2),
        round(statistics.median(books_us), 2),
        round(_bytes_per_target(policy, seed, targets)),
    )


def main() -> None:
    """Runs the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--trial", action="store_true")
    options = parser.parse_args()
    rows = [
        msgspec.structs.asdict(measure(policy, options.seed, targets))
        for policy in RoutingPolicy
        for targets in SIZES
    ]
    if options.trial:
        print(table(rows))
        return
    keep(
        "decisions",
        "Decisions",
        f"python -m bench.decisions --seed {options.seed}",
        [("Time and memory", rows)],
        f"Time of one `choose` alone: median, least and greatest of {ROUNDS} "
        f"rounds of {DECISIONS}; bookkeeping is `started` and `finished` of "
        "one attempt; bytes are what a policy holds per target once all were "
        "used.",
    )


if __name__ == "__main__":
    main()
