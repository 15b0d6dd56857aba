"""Policies under load and faults, over real processes at today's sizes.

    python -m bench.service --site onda
    python -m bench.service --site desai

Each policy gets a fleet of its own in each round: the store, the backend
servers and the nodes of one service. The same seeded arrivals meet each. Faults
are switched on at the stand-ins before a scenario and off after it.
"""

import argparse
import asyncio
from collections.abc import Sequence
import dataclasses
import functools
import json
import pathlib
import statistics
import tempfile
from typing import Any

from tests.support.processes import fetch
from tests.support.processes import Fleet
from tests.support.processes import wait_until
import uvloop

from bench.load import kinds_over
from bench.load import LoadPlan
from bench.load import LoadResult
from bench.load import run_load
from bench.report import keep

_EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"
_POLICIES = ("random", "round-robin", "fewest-own", "balanced")
_OURS = "balanced"

#: Mean time of a request at a server (ms).
_SERVICE_MS = 150.0

#: Gamma shape of these times. With 1 (exponential) the requests themselves
#: have a 99th percentile of 4.6 times the mean, which no policy can lower.
_SHAPE = 8.0

#: How many times slower a straggler is.
_SLOW = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """One deployment of the brief.

    Attributes:
      name: of its folder under examples/.
      service: the service that is loaded.
      slots: of each target.
    """

    name: str
    service: str
    slots: int

    def targets(self) -> list[dict[str, Any]]:
        """Returns the targets of the service, from the inventory."""
        file = _EXAMPLES / self.name / "inventory.json"
        inventory = json.loads(file.read_text())
        return [t for t in inventory["targets"] if t["service"] == self.service]


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A load and what goes wrong under it.

    Attributes:
      name: as shown.
      load: arrivals as a share of the capacity that is left.
      faults: what the first `faulty` servers are told.
      faulty: how many servers are told it.
      left: the capacity left of a faulty server, as a share.
      hedge_share: the budget of hedges.
      only_ours: whether it is run for our policy only.
    """

    name: str
    load: float
    faults: dict[str, Any] = dataclasses.field(default_factory=dict)
    faulty: int = 0
    left: float = 1.0
    hedge_share: float = 0.0
    only_ours: bool = False


_STRAGGLER = {"slow_factor": _SLOW}


def _scenarios(count: int) -> list[Scenario]:
    half = count // 2
    return [
        Scenario("no fault, 80%", 0.8),
        Scenario("one straggler, 80%", 0.8, _STRAGGLER, 1, 1 / _SLOW),
        Scenario("one fails fast, 60%", 0.6, {"fail_fast": True}, 1, 0.0),
        Scenario("half shed, 60%", 0.6, {"shed": True}, half, 0.0),
        Scenario("overload, 150%", 1.5),
        Scenario(
            "straggler, 50%, no hedges",
            *(0.5, _STRAGGLER, 1, 1 / _SLOW),
            only_ours=True,
        ),
        Scenario(
            "straggler, 50%, hedges 5%",
            *(0.5, _STRAGGLER, 1, 1 / _SLOW),
            hedge_share=0.05,
            only_ours=True,
        ),
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One scenario under one policy in one round.

    Attributes:
      result: the load's result.
      capacity_per_s: what the servers could answer at most (1/s).
      attempts: attempts a request, as the nodes count them.
      hedges: hedges a request.
      probe_share: probing time over slot time, as the servers meter it.
      probes_into_full: probes that met a server whose slots were all in use.
    """

    result: LoadResult
    capacity_per_s: float
    attempts: float
    hedges: float
    probe_share: float
    probes_into_full: int


class SiteFleet:
    """The processes of one site under one policy."""

    def __init__(self, site: Site, policy: str, folder: pathlib.Path) -> None:
        self._site = site
        self._folder = folder
        self._hedge_share = -1.0
        self.targets = site.targets()
        self.names = [t["name"] for t in self.targets]
        self.fleet = Fleet()
        try:
            self._start(policy)
        except BaseException:
            self.fleet.close()
            raise

    def _start(self, policy: str) -> None:
        site = self._site
        for number, target in enumerate(self.targets):
            self.fleet.start_backend(
                target["name"],
                *("--service-ms", str(_SERVICE_MS)),
                *("--service-shape", str(_SHAPE)),
                *("--slots", str(site.slots), "--seed", str(number + 1)),
            )
            self.fleet.start_node(
                target["name"],
                site.service,
                target["failure_domain"],
                *("--routing", policy, "--start-spread-s", "0"),
            )
        self.fleet.apply("inventory", _EXAMPLES / site.name / "inventory.json")
        for name in self.names:
            url = self.fleet.caller_url(name) + f"/{site.service}/x"
            wait_until(functools.partial(_answers, url), url)
        wait_until(self._all_known, "every node to know every target")

    def _all_known(self) -> bool:
        alive = [
            self.fleet.status(n)["member_states"].get("alive", 0)
            for n in self.names
        ]
        return all(count == len(self.names) for count in alive)

    def set_hedges(self, share: float) -> None:
        """Applies rules with this budget of hedges, and waits for them."""
        if share == self._hedge_share:
            return
        self._hedge_share = share
        file = self._folder / f"rules-{share}.json"
        file.write_text(json.dumps({"defaults": {"hedge_share": share}}))
        before = self._revision()
        self.fleet.apply("rules", file)
        wait_until(lambda: self._revision() > before, "rules in force")

    def _revision(self) -> int:
        return min(
            int(self.fleet.status(n)["config_revision"]) for n in self.names
        )

    def tell(self, name: str, faults: dict[str, Any]) -> None:
        """Sets the faults in force at one server."""
        url = self.fleet.backend_url(name) + "/standin/faults"
        body = json.dumps(faults).encode()
        status = fetch(url, "POST", body)[0]
        assert status == 200, status

    def counters(self) -> list[dict[str, Any]]:
        """Returns what each server counted."""
        return [
            json.loads(
                fetch(self.fleet.backend_url(n) + "/standin/counters")[2]
            )
            for n in self.names
        ]

    def attempts(self) -> dict[str, int]:
        """Returns calls, attempts and hedges of all nodes."""
        sums = {"calls": 0, "attempts": 0, "hedges": 0}
        for name in self.names:
            told = fetch(self.fleet.admin_url(name) + "/v1/metrics")[2]
            for point in _points(json.loads(told), "radishwind.attempts"):
                sums[point["attributes"]["kind"]] += point["value"]
        return sums

    def run(self, scenario: Scenario, seconds: float, seed: int) -> Sample:
        """Runs one scenario."""
        self.set_hedges(scenario.hedge_share)
        bad = self.names[: scenario.faulty]
        for name in bad:
            self.tell(name, scenario.faults)
        slots = self._site.slots * (
            len(self.names) - len(bad) * (1 - scenario.left)
        )
        capacity = slots / (_SERVICE_MS / 1000)
        urls = [self.fleet.caller_url(n) for n in self.names]
        kinds = kinds_over(urls, f"/{self._site.service}/x")
        plan = LoadPlan(kinds, capacity * scenario.load, seconds, seed, 2.0)
        before, probed = self.attempts(), self.counters()
        result = asyncio.run(run_load(plan))
        after, then = self.attempts(), self.counters()
        for name in bad:
            self.tell(name, {})
        calls = max(1, after["calls"] - before["calls"])
        return Sample(
            result,
            capacity,
            (after["attempts"] - before["attempts"]) / calls,
            (after["hedges"] - before["hedges"]) / calls,
            _grown(probed, then, "probe_s")
            / (seconds * self._site.slots * len(self.names)),
            int(_grown(probed, then, "probes_into_full")),
        )


def _answers(url: str) -> bool:
    return fetch(url)[0] == 200


def _points(told: dict[str, Any], name: str) -> list[dict[str, Any]]:
    return [
        point
        for resource in told["resource_metrics"]
        for scope in resource["scope_metrics"]
        for metric in scope["metrics"]
        if metric["name"] == name
        for point in metric["data"]["data_points"]
    ]


def _grown(
    before: list[dict[str, Any]], after: list[dict[str, Any]], name: str
) -> float:
    return sum(
        float(b[name]) - float(a[name])
        for a, b in zip(before, after, strict=True)
    )


def _rows(
    scenario: Scenario, samples: dict[str, list[Sample]]
) -> list[dict[str, Any]]:
    best = min(
        (_median(s, 99) for p, s in samples.items() if p != _OURS),
        default=0.0,
    )
    return [
        _row(scenario, policy, taken, best)
        for policy, taken in samples.items()
        if taken
    ]


def _median(samples: Sequence[Sample], percent: float) -> float:
    if not samples:
        return float("inf")
    return statistics.median(s.result.percentile_ms(percent) for s in samples)


def _row(
    scenario: Scenario, policy: str, samples: list[Sample], best_p99: float
) -> dict[str, Any]:
    p99s = [s.result.percentile_ms(99) for s in samples]
    calls = sum(s.result.count() for s in samples)
    good = sum(int(s.result.good.get_total_count()) for s in samples)
    late_ms = statistics.median(p99s)
    ratio = late_ms / best_p99 if best_p99 not in (0.0, float("inf")) else 0.0
    return {
        "scenario": scenario.name,
        "policy": policy,
        "p50 ms": _median(samples, 50),
        "p99 ms": late_ms,
        "p99 spread": f"{min(p99s):.0f} to {max(p99s):.0f}",
        "p99 to best baseline": ratio or "",
        "p99.9 ms": _median(samples, 99.9),
        "requests": calls,
        "answered well": f"{good / max(1, calls):.2%}",
        "goodput of capacity": statistics.median(
            s.result.good_per_s() / s.capacity_per_s for s in samples
        ),
        "attempts a request": statistics.median(s.attempts for s in samples),
        "hedges a request": statistics.median(s.hedges for s in samples),
        "probing of slot time": f"{max(s.probe_share for s in samples):.3%}",
        "probes into full": sum(s.probes_into_full for s in samples),
    }


def _run_fleet(
    site: Site,
    policy: str,
    scenarios: Sequence[Scenario],
    seconds: float,
    seed: int,
) -> dict[str, Sample]:
    """Returns a sample of each scenario that `policy` takes part in."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = SiteFleet(site, policy, pathlib.Path(folder))
        try:
            return {
                scenario.name: fleet.run(scenario, seconds, seed)
                for scenario in scenarios
                if policy == _OURS or not scenario.only_ours
            }
        finally:
            fleet.fleet.close()


def _measure(site: Site, options: argparse.Namespace) -> list[dict[str, Any]]:
    scenarios = _scenarios(len(site.targets()))
    taken: dict[str, dict[str, list[Sample]]] = {
        s.name: {p: [] for p in _POLICIES} for s in scenarios
    }
    for number in range(options.rounds):
        seed = options.seed + number
        for policy in _POLICIES:
            samples = _run_fleet(site, policy, scenarios, options.seconds, seed)
            for name, sample in samples.items():
                taken[name][policy].append(sample)
    rows: list[dict[str, Any]] = []
    for scenario in scenarios:
        rows += _rows(scenario, taken[scenario.name])
    return rows


_SITES = {
    "onda": Site("onda", "bollettino", 9),
    "desai": Site("desai", "library", 6),
}


def main() -> None:
    """Runs the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--site", choices=sorted(_SITES), default="onda")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    uvloop.install()
    site = _SITES[options.site]
    rows = _measure(site, options)
    keep(
        f"service-{site.name}",
        f"Policies under load and faults at {site.name}'s size",
        f"python -m bench.service --site {site.name} --seconds "
        f"{options.seconds:g} --rounds {options.rounds} "
        f"--seed {options.seed}",
        [("Scenarios", rows)],
        f"Service {site.service}, {len(site.targets())} targets of "
        f"{site.slots} slots, {_SERVICE_MS:g} ms a request on average "
        f"(gamma, shape {_SHAPE:g}). Load is a share of the capacity that the "
        "faults leave. Median of the rounds; times are of good answers only.",
    )


if __name__ == "__main__":
    main()
