"""Chooses by load that is told within milliseconds of its change.

Each node tells the pace of its instance and what runs and waits at its server
when these change. The expected answer time of a target is made of the way to
it, the wait for a slot, and the run time at its pace; a report that grows old
counts less and less against the mean of all.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math
import random

from radishwind.core.codes import ResultCode
from radishwind.membership.directory import Member
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.routing.chooser import LoadReport
from radishwind.routing.chooser import TargetChooser

#: What the exchange with another node's process adds (s).
FORWARDING_S = 0.001

#: The way between failure domains and back (s); it also stands for the price
#: of the bytes that cross, which outweighs the time.
CROSSING_S = 0.03

#: How fast a told pace fades towards the mean (s): half of it holds for about
#: as long as a slow spell lasts.
PACE_FADE_S = 0.25

#: A target whose node has not told anything for so long (s) may be cut off;
#: nodes tell at least once a second.
SILENT_S = 2.5

#: What a silent target counts for, in usual run times.
SILENT_FACTOR = 4.0

#: Part by which a full target is slower than an empty one.
FULL_FACTOR = 0.3

#: Run time taken before the first answer (s).
FIRST_RUN_S = 0.05

#: The mean pace before any report.
FIRST_PACE = 1.8

#: A failure counts as so many usual run times, doubled with each in a row.
FAILURE_FACTOR = 2.0
MAX_DOUBLINGS = 5

#: How fast failures fade without news (s).
FAILURE_FADE_S = 2.0

#: How long a target that takes no work is passed over (s), by what it said.
AWAY_S = {
    ResultCode.LEAVING: 2.0,
    ResultCode.NO_TARGET: 0.5,
    ResultCode.CONNECT_FAILED: 0.5,
    ResultCode.SERVER_UNANNOUNCED: 0.5,
    ResultCode.SERVER_DOWN: 0.3,
}

#: Candidates weighed at most; of more, so many are drawn.
MOST_WEIGHED = 48

#: Weight of one answer in run times and in a target's own slowness.
_WEIGHT = 0.05
_SLOWNESS_WEIGHT = 0.15

#: Run times count for at most so many times the usual one.
_CLIP = 4.0

#: Costs are spread by so much at random, so that entry nodes that know the
#: same do not all choose the same.
_SPREAD = 0.05


@dataclasses.dataclass(slots=True, eq=False)
class _Seen:
    """One target as this node sees it.

    Attributes:
      report: as told last.
      heard: when (monotonic s).
      start: of the node that told it.
      order: of the report, so that a late one is not taken.
      in_flight: own attempts without an answer.
      since: own attempts begun less those ended since the report.
      slowness: its run times against the usual ones at the same pace.
      failures: failures in a row.
      failed: when the last one was (s).
      away_until: it takes no work before this time (s).
    """

    report: LoadReport | None = None
    heard: float = -math.inf
    start: int = 0
    order: int = -1
    in_flight: int = 0
    since: int = 0
    slowness: float = 1.0
    failures: int = 0
    failed: float = -math.inf
    away_until: float = -math.inf


class FreshLoadChooser(TargetChooser):
    """The least expected answer time by fresh reports."""

    def __init__(
        self,
        rng: random.Random,
        *,
        node_name: str,
        failure_domain: str,
        own_load: Callable[[], LoadReport],
    ) -> None:
        """Makes a chooser that knows nothing yet.

        Args:
          rng: breaks ties and draws candidates.
          node_name: the name of this node's own target.
          failure_domain: where this node stands.
          own_load: returns the load of the own target as of now.
        """
        self._rng = rng
        self._node_name = node_name
        self._failure_domain = failure_domain
        self._own_load = own_load
        self._seen: dict[str, _Seen] = {}
        self._run_s: dict[str, float] = {}
        self._mean_pace = FIRST_PACE
        self._services: dict[str, str] = {}

    def told(
        self,
        name: str,
        report: LoadReport,
        start: int,
        order: int,
        now: float,
    ) -> None:
        """Takes what the node beside the target `name` tells of it.

        Args:
          name: the target.
          report: its load.
          start: names the start of that node.
          order: grows with each report of that start.
          now: monotonic time (s).
        """
        seen = self._seen.setdefault(name, _Seen())
        if start == seen.start and order <= seen.order:
            return
        seen.start = start
        seen.order = order
        self._report(seen, report, now)

    def choose(
        self,
        members: Sequence[Member],
        now: float,
        exclude: frozenset[str] = frozenset(),
    ) -> Member | None:
        candidates = [m for m in members if m.name not in exclude]
        if len(candidates) > MOST_WEIGHED:
            candidates = self._rng.sample(candidates, MOST_WEIGHED)
        best: Member | None = None
        least_s = math.inf
        for member in candidates:
            cost_s = self.cost_s(member, now)
            cost_s *= 1 + _SPREAD * self._rng.random()
            if cost_s < least_s:
                best, least_s = member, cost_s
        if best is None and candidates:
            # All of them said that they take none; one may be back by now.
            best = self._rng.choice(candidates)
        if best is not None:
            self._services[best.name] = best.service
        return best

    def cost_s(self, member: Member, now: float) -> float:
        """Returns the expected answer time (s); infinite for one away."""
        seen = self._seen.get(member.name)
        run_s = self._run_s.get(member.service, FIRST_RUN_S)
        hop_s = self._hop_s(member)
        if member.name == self._node_name:
            report, age_s, since = self._own_load(), 0.0, 0
        elif seen is None or seen.report is None:
            return hop_s + run_s * self._mean_pace * 1.5
        else:
            report, age_s, since = seen.report, now - seen.heard, seen.since
        if seen is not None and seen.away_until > now:
            return math.inf
        if report.leaving or not report.slots:
            return math.inf
        pace = self._pace_now(report, age_s)
        slowness = seen.slowness if seen else 1.0
        busy = max(0, report.in_flight + report.queued + since)
        waiting = max(0, busy + 1 - report.slots)
        work_s = run_s * pace * slowness / max(0.1, report.warm)
        fill = min(1.0, busy / report.slots)
        cost_s = work_s * (1 + FULL_FACTOR * fill + waiting / report.slots)
        if age_s > SILENT_S:
            cost_s += SILENT_FACTOR * run_s
        if seen is not None and seen.failures:
            cost_s += self._failure_s(seen, run_s, now)
        return hop_s + cost_s

    def started(self, name: str, now: float) -> None:
        seen = self._seen.setdefault(name, _Seen())
        seen.in_flight += 1
        seen.since += 1

    def finished(
        self,
        name: str,
        now: float,
        elapsed_s: float,
        outcome: Outcome | None,
        load: LoadReport | None,
    ) -> None:
        seen = self._seen.setdefault(name, _Seen())
        pace_before = seen.report.pace if seen.report else self._mean_pace
        seen.in_flight -= 1
        seen.since -= 1
        if load is not None:
            self._report(seen, load, now)
        if isinstance(outcome, NotRun):
            seen.away_until = now + AWAY_S.get(outcome.code, 0.0)
            if outcome.code is ResultCode.SERVER_SHED:
                seen.failures += 1
                seen.failed = now
            return
        if outcome is None:
            return
        if not isinstance(outcome, Done) or outcome.response.status >= 500:
            seen.failures += 1
            seen.failed = now
            return
        seen.failures = 0
        self._learn(name, seen, elapsed_s, pace_before)

    def _learn(
        self, name: str, seen: _Seen, elapsed_s: float, pace: float
    ) -> None:
        """Takes one answer time into the usual one and the target's own."""
        service = self._services.get(name, "")
        plain_s = elapsed_s / max(0.5, math.sqrt(pace * self._mean_pace))
        usual_s = self._run_s.get(service, plain_s)
        ratio = min(_CLIP, plain_s / max(1e-4, usual_s))
        seen.slowness += _SLOWNESS_WEIGHT * (ratio - seen.slowness)
        seen.slowness = max(0.5, seen.slowness)
        self._run_s[service] = usual_s + _WEIGHT * usual_s * (ratio - 1)

    def _report(self, seen: _Seen, report: LoadReport, now: float) -> None:
        seen.report = report
        seen.heard = now
        seen.since = 0
        self._mean_pace += _WEIGHT * (report.pace - self._mean_pace) * 0.2

    def _pace_now(self, report: LoadReport, age_s: float) -> float:
        kept = math.exp(-age_s / PACE_FADE_S)
        return self._mean_pace + (report.pace - self._mean_pace) * kept

    def _failure_s(self, seen: _Seen, run_s: float, now: float) -> float:
        fade = math.exp((seen.failed - now) / FAILURE_FADE_S)
        doubled: float = 2.0 ** min(seen.failures - 1, MAX_DOUBLINGS)
        return FAILURE_FACTOR * doubled * run_s * fade

    def _hop_s(self, member: Member) -> float:
        if member.name == self._node_name:
            return 0.0
        if member.failure_domain == self._failure_domain:
            return FORWARDING_S
        return FORWARDING_S + CROSSING_S
