"""Admission at one target: who waits, who is refused, what is wasted.

    python -m bench.admission

Pure and seeded: arrivals and service times are drawn beforehand and are the
same for every policy; the admission code is the product's. One greedy caller
asks ten times as often as each of four modest ones, or for ten times as long.
"""

import argparse
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import math
import random
import statistics
import time
from typing import Any

from hdrh.histogram import HdrHistogram

from bench.report import keep
from bench.report import Section
from radishwind.admission import Admission
from radishwind.admission import AdmissionLimits
from radishwind.admission import FairAdmission
from radishwind.admission import FifoAdmission
from radishwind.admission import Ticket
from radishwind.admission.fair_admission import _Flow
from radishwind.node.target_side import OVERCOMMIT_REQUESTS

SLOTS = 9

#: Mean time a request runs (s).
SERVICE_S = 0.005

#: What a caller waits for an answer (s).
DEADLINE_S = 0.25

#: Callers that ask for little.
MODEST = 4

#: How many times as much the greedy caller asks for.
GREED = 10

#: Time from the end of a request at the server until the next one that the
#: node sends begins there (s); without it nothing could be gained by D.
GAP_S = 0.0003


class LeadAdmission(FairAdmission):
    """The paper's T: whoever leads by at most `lead_s` goes by arrival.

    With several queues T saves their agreeing on each dispatch. Here it shows
    what that costs in fairness; there is one queue, so it can save nothing.
    """

    def __init__(self, limits: AdmissionLimits, lead_s: float) -> None:
        super().__init__(limits)
        self._lead_s = lead_s

    def _next_flow(self) -> _Flow:
        backlogged = [f for f in self._flows.values() if f.queue]
        least = min(f.start_tag for f in backlogged)
        near = [f for f in backlogged if f.start_tag <= least + self._lead_s]
        return min(near, key=lambda f: f.queue[0].offered_at)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request: when (s), whose, and how long it runs (s)."""

    at: float
    caller: str
    service_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Who asks how much.

    Attributes:
      load: slot time asked for, as a share of capacity.
      rates: requests of each caller relative to the others.
      costs: mean time of its requests relative to `SERVICE_S`.
      gap_s: time a slot is empty between two requests (s).
    """

    load: float
    rates: dict[str, float]
    costs: dict[str, float]
    gap_s: float = GAP_S

    def arrivals(self, seconds: float, seed: int) -> list[Arrival]:
        """Returns the requests in order of time."""
        rng = random.Random(seed)
        asked = sum(r * self.costs[c] for c, r in self.rates.items())
        unit = self.load * SLOTS / (SERVICE_S * asked)
        found = []
        for caller, rate in self.rates.items():
            now = rng.expovariate(rate * unit)
            while now < seconds:
                mean = SERVICE_S * self.costs[caller]
                run_s = rng.expovariate(1 / mean)
                found.append(Arrival(now, caller, run_s))
                now += rng.expovariate(rate * unit)
        return sorted(found, key=lambda a: a.at)


class Server:
    """The server behind the node: its slots, and its own queue beyond."""

    def __init__(self, gap_s: float) -> None:
        self._gap_s = gap_s
        self._free_at = [0.0] * SLOTS

    def run(self, now: float, service_s: float, deadline: float) -> float:
        """Returns when a request sent at `now` ends.

        A server stops what is late, and what is late before it begins.
        """
        free_at = heapq.heappop(self._free_at)
        began = max(now + self._gap_s / 2, free_at)
        ends = max(began, min(began + service_s, deadline))
        heapq.heappush(self._free_at, ends)
        return ends


class Run:
    """One policy under one workload.

    Attributes:
      good_s: slot time of the requests answered in time (s).
      offered: requests by caller.
      answered: of these, those answered in time.
      histograms: answer times (us) of those, by caller.
      decisions: requests in all.
    """

    def __init__(self, admission: Admission, gap_s: float) -> None:
        self._admission = admission
        self._gap_s = gap_s
        self._server = Server(gap_s)
        self._ends: list[tuple[float, int, Ticket, Arrival, float]] = []
        self._numbers = itertools.count()
        self._now = 0.0
        self.good_s = 0.0
        self.offered: dict[str, int] = {}
        self.answered: dict[str, int] = {}
        self.histograms: dict[str, HdrHistogram] = {}
        self.decisions = 0

    def play(self, arrivals: list[Arrival]) -> float:
        """Plays the arrivals; returns processor time spent (s)."""
        began = time.process_time()
        for arrival in arrivals:
            self._end_until(arrival.at)
            self._now = arrival.at
            self._offer(arrival)
        self._end_until(math.inf)
        return time.process_time() - began

    def _offer(self, arrival: Arrival) -> None:
        now = arrival.at
        caller = arrival.caller
        self.offered[caller] = self.offered.get(caller, 0) + 1
        self.decisions += 1
        ticket = Ticket(caller, now + DEADLINE_S, now, _nothing)
        ticket.on_decided = lambda: self._start(ticket, arrival)
        self._admission.offer(ticket, now)
        if ticket.is_admitted and not self._sent(ticket):
            self._start(ticket, arrival)

    def _sent(self, ticket: Ticket) -> bool:
        return any(entry[2] is ticket for entry in self._ends)

    def _start(self, ticket: Ticket, arrival: Arrival) -> None:
        if not ticket.is_admitted:
            return
        sent = self._now
        end = self._server.run(sent, arrival.service_s, ticket.deadline)
        seen = end + self._gap_s / 2
        entry = (seen, next(self._numbers), ticket, arrival, sent)
        heapq.heappush(self._ends, entry)

    def _end_until(self, until: float) -> None:
        while self._ends and self._ends[0][0] <= until:
            now, _, ticket, arrival, sent = heapq.heappop(self._ends)
            self._now = now
            self._note(arrival, now - self._gap_s / 2)
            self._admission.release(ticket, now, now - sent)

    def _note(self, arrival: Arrival, now: float) -> None:
        caller = arrival.caller
        if now - arrival.at >= DEADLINE_S:
            return
        self.good_s += arrival.service_s
        self.answered[caller] = self.answered.get(caller, 0) + 1
        histogram = self.histograms.get(caller)
        if histogram is None:
            histogram = self.histograms[caller] = HdrHistogram(1, 10**7, 3)
        histogram.record_value(int((now - arrival.at) * 1e6))


def _nothing() -> None:
    pass


_Make = Callable[[AdmissionLimits], Admission]


def _limits(extra: int = 0) -> AdmissionLimits:
    return AdmissionLimits(SLOTS, 250, extra, 64, 0.5)


def _policies() -> dict[str, tuple[_Make, int]]:
    """Returns how to make each policy and its D beyond the slots."""
    policies: dict[str, tuple[_Make, int]] = {
        "FIFO": (FifoAdmission, 0),
        "SFQ, D = slots + 2 (ours)": (FairAdmission, OVERCOMMIT_REQUESTS),
        "SFQ, D = slots": (FairAdmission, 0),
    }
    for extra in (1, 4, 9):
        policies[f"SFQ, D = slots + {extra}"] = (FairAdmission, extra)
    for lead_ms in (2, 10, 50, 250):
        policies[f"SFQ, T = {lead_ms} ms"] = (
            _lead(lead_ms / 1000),
            OVERCOMMIT_REQUESTS,
        )
    return policies


def _lead(lead_s: float) -> _Make:
    return lambda limits: LeadAdmission(limits, lead_s)


def _row(
    name: str, workload: Workload, seconds: float, seeds: range
) -> dict[str, Any]:
    make, extra = _policies()[name]
    found = [_measure(make, extra, workload, seconds, s) for s in seeds]
    row: dict[str, Any] = {"policy": name, "load": f"{workload.load:.0%}"}
    for key in found[0]:
        values = [f[key] for f in found]
        row[key] = statistics.median(values)
        if key in ("modest p99 ms", "goodput %"):
            row[f"{key} spread"] = f"{min(values):.1f} to {max(values):.1f}"
    return row


def _measure(
    make: _Make, extra: int, workload: Workload, seconds: float, seed: int
) -> dict[str, float]:
    arrivals = workload.arrivals(seconds, seed)
    run = Run(make(_limits(extra)), workload.gap_s)
    cpu_s = run.play(arrivals)
    modest = HdrHistogram(1, 10**7, 3)
    for caller, histogram in run.histograms.items():
        if caller != "greedy":
            modest.add(histogram)
    capacity_s = min(1.0, workload.load) * SLOTS * seconds
    return {
        "modest p50 ms": modest.get_value_at_percentile(50) / 1000,
        "modest p99 ms": modest.get_value_at_percentile(99) / 1000,
        "modest answered %": _answered(run, lambda c: c != "greedy"),
        "greedy answered %": _answered(run, lambda c: c == "greedy"),
        "goodput %": 100 * run.good_s / capacity_s,
        "us a request": cpu_s * 1e6 / run.decisions,
    }


def _answered(run: Run, counts: Callable[[str], bool]) -> float:
    offered = sum(n for c, n in run.offered.items() if counts(c))
    answered = sum(n for c, n in run.answered.items() if counts(c))
    return 100 * answered / offered


def _workload(
    load: float, *, rate: float, cost: float, gap_s: float
) -> Workload:
    modest = [f"modest-{n}" for n in range(MODEST)]
    rates = {"greedy": rate} | dict.fromkeys(modest, 1.0)
    costs = {"greedy": cost} | dict.fromkeys(modest, 1.0)
    return Workload(load, rates, costs, gap_s)


def _sections(seconds: float, seeds: range) -> list[Section]:
    policies = list(_policies())
    short = policies[:3]
    sections: list[Section] = []
    for title, names, loads, rate, cost, gap_s in (
        ("Asks ten times as often", policies, (1.5,), GREED, 1.0, GAP_S),
        ("Asks for ten times as long", policies, (1.5,), 1.0, GREED, GAP_S),
        ("By load", short, (0.8, 1.0, 1.5, 3.0), GREED, 1.0, GAP_S),
        ("Without the gap", short, (1.5,), GREED, 1.0, 0.0),
    ):
        workloads = [
            _workload(load, rate=rate, cost=cost, gap_s=gap_s) for load in loads
        ]
        rows = [
            _row(name, workload, seconds, seeds)
            for workload in workloads
            for name in names
        ]
        sections.append((title, rows))
    return sections


def main() -> None:
    """Runs the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rounds", type=int, default=5, help="seeds")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.rounds)
    keep(
        "admission",
        "Admission: shares between callers",
        f"python -m bench.admission --seconds {options.seconds:g} "
        f"--rounds {options.rounds} --seed {options.seed}",
        _sections(options.seconds, seeds),
        f"{SLOTS} slots, {SERVICE_S * 1000:g} ms mean, deadline "
        f"{DEADLINE_S * 1000:g} ms, queue of 64, {GAP_S * 1000:g} ms between "
        "the end of a request and the begin of the next one sent. Goodput: "
        "slot time of requests answered in time, as a share of what was asked "
        "for or of capacity, whichever is less. Medians of the seeds, with the "
        "least and the most. The time a request includes the bench's own.",
    )


if __name__ == "__main__":
    main()
