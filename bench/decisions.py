"""Microseconds per decision and bytes per target of each routing policy.

`python -m bench.decisions --seed 1` prints a table and keeps it in
`docs/measurements/`; `--trial` only prints it.
"""

import argparse
from collections.abc import Callable
import gc
import random
import statistics
import time
import tracemalloc

import msgspec

from bench.inventories import one_service
from bench.report import keep
from bench.report import table
from radishwind.config.index import ConfigIndex
from radishwind.config.model import Link
from radishwind.http.types import Response
from radishwind.membership.directory import Member
from radishwind.outcomes import Done
from radishwind.routing import LoadReport
from radishwind.routing import make_chooser
from radishwind.routing import RoutingPolicy
from radishwind.routing import TargetChooser

SIZES = (10, 100, 1_000, 8_900)
ROUNDS = 15

#: Decisions in one round.
DECISIONS = 200
_DONE = Done(Response(200))
_LOAD = LoadReport(9, 4, 0, 5.0)
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
    links = [
        Link(a, b, 0.5 + 0.5 * abs(i - j))
        for i, a in enumerate(DOMAINS)
        for j, b in enumerate(DOMAINS[:i])
    ]
    names = [f"target-{i}" for i in range(targets)]
    return one_service("bollettino", names, 9, DOMAINS, links)


def _chooser(
    policy: RoutingPolicy, seed: int, index: ConfigIndex
) -> TargetChooser:
    return make_chooser(
        policy,
        random.Random(seed),
        node_name="target-3",
        failure_domain=DOMAINS[0],
        index=lambda: index,
        own_load=lambda: _LOAD,
    )


def _fill(
    chooser: TargetChooser, members: tuple[Member, ...], now: float
) -> None:
    """Uses every target once, so that each has what state it gets."""
    for member in members:
        chooser.choose((member,), now)
        chooser.attempt_started(member.name, now)
        chooser.attempt_finished(member.name, now, 0.005, _DONE, _LOAD)


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


def _round_us(step: Callable[[float], None], now: float) -> float:
    """Returns the mean time of `step` in one round (us)."""
    began = time.perf_counter()
    for _ in range(DECISIONS):
        now += 0.003
        step(now)
    return (time.perf_counter() - began) / DECISIONS * 1e6


class Trial:
    """One policy at one number of targets, measured in rounds."""

    def __init__(self, policy: RoutingPolicy, seed: int, targets: int) -> None:
        self._policy = policy
        self._seed = seed
        self._targets = targets
        index, self._members = _inventory(targets)
        self._chooser = _chooser(policy, seed, index)
        _fill(self._chooser, self._members, 1.0)
        self._picked = [m.name for m in self._members[:10]]
        self._choose(2.0)
        self._decisions_us: list[float] = []
        self._books_us: list[float] = []

    def round(self, now: float) -> None:
        """Measures one round."""
        self._decisions_us.append(_round_us(self._choose, now))
        self._books_us.append(_round_us(self._keep_books, now))

    def row(self) -> Row:
        """Returns the figures of all rounds."""
        return Row(
            self._policy.value,
            self._targets,
            round(statistics.median(self._decisions_us), 2),
            round(min(self._decisions_us), 2),
            round(max(self._decisions_us), 2),
            round(statistics.median(self._books_us), 2),
            round(_bytes_per_target(self._policy, self._seed, self._targets)),
        )

    def _choose(self, now: float) -> None:
        self._chooser.choose(self._members, now)

    def _keep_books(self, now: float) -> None:
        name = self._picked[int(now * 1000) % len(self._picked)]
        self._chooser.attempt_started(name, now)
        self._chooser.attempt_finished(name, now + 0.005, 0.005, _DONE, _LOAD)


def measure(policy: RoutingPolicy, seed: int) -> list[Row]:
    """Measures one policy; the sizes take turns, as the machine is noisy."""
    trials = [Trial(policy, seed, targets) for targets in SIZES]
    for number in range(ROUNDS):
        for trial in trials:
            trial.round(2.0 + number)
    return [trial.row() for trial in trials]


def main() -> None:
    """Runs the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--trial", action="store_true")
    options = parser.parse_args()
    rows = [
        msgspec.structs.asdict(row)
        for policy in RoutingPolicy
        for row in measure(policy, options.seed)
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
        f"rounds of {DECISIONS}, in which the sizes take turns; bookkeeping "
        "is `started` and `finished` of one attempt; bytes are what a policy "
        "holds per target once all were used.",
    )


if __name__ == "__main__":
    main()
