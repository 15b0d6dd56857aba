"""Compares the policies on queues of numbers, under load and faults.

`python -m bench.policies` prints tables and keeps them in
`docs/measurements/`; `--trial` only prints them. A seed fixes arrivals and
service times. It says what the decisions do, not what a node costs.
"""

import argparse
from collections.abc import Callable
import concurrent.futures
import dataclasses
import random
import statistics
from typing import Any

from hdrh.histogram import HdrHistogram

from bench.queues import DOMAINS
from bench.queues import ENTRIES
from bench.queues import Entry
from bench.queues import onda
from bench.queues import Queue
from bench.queues import SERVICE_S
from bench.queues import Simulation
from bench.queues import SLOTS
from bench.queues import Tally
from bench.queues import TARGETS
from bench.report import keep
from bench.report import table
from radishwind.hedging import NoHedging
from radishwind.hedging import QuantileHedgePolicy
from radishwind.retries import BudgetedRetryPolicy
from radishwind.retries import CappedRetryPolicy
from radishwind.routing import make_chooser
from radishwind.routing import RoutingPolicy

#: When the faults begin and measuring does (s).
FAULT_S = 2.0
_CAPACITY_PER_S = TARGETS * SLOTS / SERVICE_S

Faults = Callable[[dict[str, Queue]], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Faults and load of one comparison.

    Attributes:
      name: heading of its table.
      load: share of the capacity of healthy targets.
      faults: what goes wrong.
    """

    name: str
    load: float
    faults: Faults


def _first(queues: dict[str, Queue]) -> Queue:
    return next(iter(queues.values()))


def _steady(queues: dict[str, Queue]) -> None:
    """Nothing goes wrong."""


def _straggler(queues: dict[str, Queue]) -> None:
    _first(queues).slow = lambda now: 10.0 if now >= FAULT_S else 1.0


def _lying(queues: dict[str, Queue]) -> None:
    _straggler(queues)
    _first(queues).lying = True


def _stale(queues: dict[str, Queue]) -> None:
    """Each target repeats one report for 0.1 s."""
    _straggler(queues)
    for queue in queues.values():
        queue.hold_s = 0.1


def _failing(queues: dict[str, Queue]) -> None:
    _first(queues).failing = True


def _cold(queues: dict[str, Queue]) -> None:
    """Starts cold at the fault and warms up over 5 s."""

    def warm(now: float) -> float:
        return min(1.0, max(0.2, (now - FAULT_S) / 5.0))

    _first(queues).warm = warm
    _first(queues).slow = lambda now: 1 / warm(now)


def _pauses(queues: dict[str, Queue]) -> None:
    """Each target in turn runs 10 times slower for 0.1 s of each 0.6 s."""
    for place, queue in enumerate(queues.values()):
        queue.slow = lambda now, p=place: (  # type: ignore[misc]
            10.0 if int(now * 10) % TARGETS == p else 1.0
        )


def _short_pauses(queues: dict[str, Queue]) -> None:
    """Each target in turn runs 10 times slower for 0.02 s of each 0.6 s."""
    for place, queue in enumerate(queues.values()):
        queue.slow = lambda now, p=place: (  # type: ignore[misc]
            10.0 if int(now * 50) % (5 * TARGETS) == 5 * p else 1.0
        )


def _half_refusing(queues: dict[str, Queue]) -> None:
    for queue in list(queues.values())[: TARGETS // 2]:
        queue.refusing = True


ROUTING = (
    Scenario("80% load, no fault", 0.8, _steady),
    Scenario("80% load, one straggler (10 times slower)", 0.8, _straggler),
    Scenario("80% load, one straggler reporting it is idle", 0.8, _lying),
    Scenario(
        "80% load, one straggler, reports repeated for 0.1 s", 0.8, _stale
    ),
    Scenario("60% load, one target failing fast", 0.6, _failing),
    Scenario("80% load, one target starting cold", 0.8, _cold),
    Scenario("150% load, no fault", 1.5, _steady),
)
REFUSING = Scenario("40% load, half the targets refuse", 0.4, _half_refusing)
HEDGED = (
    Scenario("60% load, each target slow 3% of the time", 0.6, _short_pauses),
    Scenario("60% load, each target slow 17% of the time", 0.6, _pauses),
    Scenario("60% load, one straggler", 0.6, _straggler),
)

#: Scenario by heading, with what is switched off and on in it; `None` for a
#: comparison of all routing policies.
SECTIONS: dict[str, tuple[Scenario, str | None]] = {
    **{s.name: (s, None) for s in ROUTING},
    f"Retries: {REFUSING.name}": (REFUSING, "budget"),
    **{f"Hedges: {s.name}": (s, "hedged") for s in HEDGED},
}


def run(
    scenario: Scenario,
    policy: RoutingPolicy,
    seed: int,
    seconds: float,
    *,
    budget: bool = True,
    hedged: bool = False,
) -> Tally:
    """Runs one policy through one scenario."""
    index, members = onda()
    queues = {member.name: Queue() for member in members}
    scenario.faults(queues)
    entries = []
    for place in range(ENTRIES):
        own = members[place].name if place < TARGETS else f"other-{place}"
        domain = DOMAINS[place % len(DOMAINS)]
        chooser = make_chooser(
            policy,
            random.Random(seed * 1000 + place),
            node_name=own,
            failure_domain=domain,
            index=lambda: index,
        )
        retries = BudgetedRetryPolicy() if budget else CappedRetryPolicy()
        hedges = QuantileHedgePolicy() if hedged else NoHedging()
        entries.append(Entry(own, domain, chooser, retries, hedges))
    simulation = Simulation(entries, members, queues, seed, FAULT_S)
    rate_per_s = scenario.load * _CAPACITY_PER_S
    return simulation.run(rate_per_s, FAULT_S + seconds)


def _figures(tallies: list[Tally], seconds: float) -> dict[str, Any]:
    """Returns the medians over the seeds, p99 with its range."""
    rows = [_percentiles_ms(tally) for tally in tallies]
    middle = {
        name: round(statistics.median(r[name] for r in rows), 1)
        for name in ("p50_ms", "p99_ms", "p99.9_ms")
    }
    p99 = [r["p99_ms"] for r in rows]
    calls = [len(t.answers_s) for t in tallies]
    good = sum(calls) - sum(t.errors for t in tallies)
    attempts = sum(t.attempts for t in tallies)
    first = sum(t.at_first_target for t in tallies)
    return {
        **middle,
        "p99_range_ms": f"{min(p99):.1f} to {max(p99):.1f}",
        "errors_share": round(1 - good / sum(calls), 5),
        "goodput_share": round(
            good / len(tallies) / seconds / _CAPACITY_PER_S, 3
        ),
        "attempts_per_call": round(attempts / sum(calls), 4),
        "first_target_share": round(first / sum(calls), 4),
    }


def _percentiles_ms(tally: Tally) -> dict[str, float]:
    histogram = HdrHistogram(1, 60_000_000, 3)
    for answer_s in tally.answers_s:
        histogram.record_value(max(1, int(answer_s * 1e6)))
    return {
        f"p{p:g}_ms": histogram.get_value_at_percentile(p) / 1000
        for p in (50, 99, 99.9)
    }


def _routing_rows(
    scenario: Scenario, seeds: list[int], seconds: float
) -> list[dict[str, Any]]:
    rows = []
    for policy in RoutingPolicy:
        tallies = [run(scenario, policy, s, seconds) for s in seeds]
        rows.append({"policy": policy.value, **_figures(tallies, seconds)})
    return rows


def _switched_rows(
    scenario: Scenario, seeds: list[int], seconds: float, switch: str
) -> list[dict[str, Any]]:
    """Returns a row with `switch` off and one with it on, per policy."""
    rows = []
    for policy in (RoutingPolicy.BALANCED, RoutingPolicy.RANDOM):
        for on in (False, True):
            tallies = [
                run(scenario, policy, s, seconds, **{switch: on}) for s in seeds
            ]
            figures = _figures(tallies, seconds)
            rows.append({"policy": policy.value, switch: on, **figures})
    return rows


def _section(
    heading: str, seeds: list[int], seconds: float
) -> tuple[str, list[dict[str, Any]]]:
    """Returns the heading and rows of one table; runs in a process."""
    scenario, switch = SECTIONS[heading]
    if switch is None:
        return heading, _routing_rows(scenario, seeds, seconds)
    return heading, _switched_rows(scenario, seeds, seconds, switch)


def main() -> None:
    """Runs the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first")
    parser.add_argument("--seeds", type=int, default=3, help="how many")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--workers", type=int, default=4, help="processes")
    parser.add_argument("--only", default="", help="headings that hold this")
    parser.add_argument("--trial", action="store_true")
    options = parser.parse_args()
    seeds = list(range(options.seed, options.seed + options.seeds))
    headings = [h for h in SECTIONS if options.only in h]
    with concurrent.futures.ProcessPoolExecutor(options.workers) as pool:
        futures = [
            pool.submit(_section, heading, seeds, options.seconds)
            for heading in headings
        ]
        wanted = [fut.result() for fut in futures]
    if options.trial:
        for heading, rows in wanted:
            print(heading)
            print(table(rows))
        return
    keep(
        "policies",
        "Policies",
        f"python -m bench.policies --seed {options.seed} "
        f"--seeds {options.seeds} --seconds {options.seconds:g}",
        wanted,
        f"{TARGETS} targets of {SLOTS} slots in three failure domains 1.5 ms "
        f"apart, {ENTRIES} entry nodes, answers of "
        f"{SERVICE_S * 1000:g} ms on average, exponentially distributed. Load "
        "is a share of the capacity of healthy targets. Medians over the "
        "seeds; `first_target_share` is the share of calls tried at the "
        "target with the fault. Queues of numbers in one process: the "
        "decisions are the product's, the network and servers are not.",
    )


if __name__ == "__main__":
    main()
