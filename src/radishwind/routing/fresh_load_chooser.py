"""Chooses by load that is told within milliseconds of its change.

Each node tells the pace of its instance and what runs and waits at its server
when these change. The expected answer time of a target is made of the way to
it, the wait for a slot, and the run time at its pace; a report that grows old
counts less and less against the mean of all.
"""

from collections.abc import Callable
from collections.abc import Sequence
import math
import random

from radishwind.hedging.forecast import LatencyForecast
from radishwind.membership.directory import Member
from radishwind.outcomes.model import Outcome
from radishwind.routing.chooser import LoadReport
from radishwind.routing.chooser import TargetChooser
from radishwind.routing.cost_weights import COST_SPREAD
from radishwind.routing.cost_weights import CostWeights
from radishwind.routing.cost_weights import FORWARDING_S
from radishwind.routing.cost_weights import FULL_FACTOR
from radishwind.routing.cost_weights import LATE_FACTOR
from radishwind.routing.cost_weights import LEAST_REST
from radishwind.routing.cost_weights import MOST_FAR
from radishwind.routing.cost_weights import MOST_NEAR
from radishwind.routing.cost_weights import SILENT_FACTOR
from radishwind.routing.cost_weights import SILENT_S
from radishwind.routing.cost_weights import UNKNOWN_FACTOR
from radishwind.routing.pace_statistics import begin_s
from radishwind.routing.path_costs import FixedPathCosts
from radishwind.routing.path_costs import IN_TIME_PART
from radishwind.routing.path_costs import NO_PATH_COST
from radishwind.routing.path_costs import PathCost
from radishwind.routing.path_costs import PathCostModel
from radishwind.routing.target_record import TargetRecord
from radishwind.routing.target_statistics import TargetStatistics


class FreshLoadChooser(TargetChooser, LatencyForecast):
    """The least expected answer time by fresh reports.

    Attributes:
      statistics: what is known of targets.
    """

    def __init__(
        self,
        rng: random.Random,
        *,
        node_name: str,
        failure_domain: str,
        own_load: Callable[[], LoadReport],
        reports_unsolicited: Callable[[Member], bool] | None = None,
        weights: CostWeights | None = None,
        path_costs: PathCostModel | None = None,
    ) -> None:
        """Makes a chooser that knows nothing yet.

        Args:
          rng: breaks ties and draws candidates.
          node_name: the name of this node's own target.
          failure_domain: where this node stands.
          own_load: returns the load of the own target as of now.
          reports_unsolicited: returns whether a target tells this node its load
            though it got nothing from here; by default all do.
          weights: what counts.
          path_costs: what the links to a target add.
        """
        self._weights = weights or CostWeights()
        self._path_costs = path_costs or FixedPathCosts(
            failure_domain, self._weights.cross_domain_s
        )
        self._reports_unsolicited = reports_unsolicited or _always
        self._rng = rng
        self._node_name = node_name
        self._failure_domain = failure_domain
        self._own_load = own_load
        self.statistics = TargetStatistics(self._weights)

    def receive_report(
        self,
        name: str,
        report: LoadReport,
        start: int,
        order: int,
        now: float,
    ) -> None:
        """Takes what the node beside a target tells; see `TargetStatistics`."""
        self.statistics.receive_report(name, report, start, order, now)

    def choose(
        self,
        members: Sequence[Member],
        now: float,
        exclude: frozenset[str] = frozenset(),
        work: str = "",
        aim: float = math.inf,
    ) -> Member | None:
        candidates = [m for m in members if m.name not in exclude]
        if len(candidates) > MOST_NEAR + MOST_FAR:
            candidates = self._drawn(candidates)
        best = soonest = None
        least_s = least_time_s = best_time_s = math.inf
        for member in candidates:
            way = self._way(member, work, now)
            time_s = self._answer_s(member, now, work, way) + way.transmission_s
            time_s *= 1 + COST_SPREAD * self._rng.random()
            failed_s = self.statistics.failed_s(member.name, work, now)
            cost_s = time_s + way.penalty_s + failed_s
            if cost_s < least_s:
                best, least_s, best_time_s = member, cost_s, time_s
            if time_s + failed_s < least_time_s:
                soonest, least_time_s = member, time_s + failed_s
        if best is None:
            return self._any_of(candidates, now)
        left_s = aim - now
        # Links are not spared at the price of being late; where all would be
        # late, nothing is gained by what crosses.
        if IN_TIME_PART * left_s < best_time_s and least_time_s <= left_s:
            return soonest
        return best

    def _any_of(
        self, candidates: Sequence[Member], now: float
    ) -> Member | None:
        """Returns one of those that all said they take none, if one may.

        One that leaves or was down may be back by now; one that is cold has
        told when it takes more, so that to ask it again only costs time.
        """
        own = self._own_load()
        maybe = [m for m in candidates if not self._is_spent(m.name, now, own)]
        return self._rng.choice(maybe) if maybe else None

    def _is_spent(self, name: str, now: float, own: LoadReport) -> bool:
        """Returns whether a cold target takes no more just now.

        Args:
          name: the target.
          now: monotonic time (s).
          own: the load of the own target, looked at where that is meant.
        """
        if name == self._node_name:
            return own.is_warmup_exhausted
        seen = self.statistics.record(name)
        return seen is not None and seen.cold_until > now

    def _drawn(self, candidates: list[Member]) -> list[Member]:
        """Returns some of many candidates, near ones above all."""
        own = self._failure_domain
        near = [m for m in candidates if m.failure_domain == own]
        far = [m for m in candidates if m.failure_domain != own]
        if len(near) > MOST_NEAR:
            near = self._rng.sample(near, MOST_NEAR)
        most_far = MOST_NEAR + MOST_FAR - len(near)
        if len(far) > most_far:
            far = self._rng.sample(far, most_far)
        return near + far

    def cost_s(self, member: Member, now: float, work: str = "") -> float:
        """Returns what an attempt counts for (s); infinite for one away.

        It is the expected answer time, and more for a target that failed.
        """
        way = self._way(member, work, now)
        answer_s = self._answer_s(member, now, work, way)
        return answer_s + self.statistics.failed_s(member.name, work, now)

    def _answer_s(
        self, member: Member, now: float, work: str, way: PathCost
    ) -> float:
        """Returns the expected answer time (s); infinite for one away."""
        seen = self.statistics.record(member.name)
        work_s = self.statistics.normal_run_s(work)
        hop_s = self._hop_s(member) + way.round_trip_s
        if member.name == self._node_name:
            report, age_s, since = self._own_load(), 0.0, 0
        elif seen is None or seen.report is None:
            return hop_s + self._unknown_s(seen, work_s, now)
        else:
            report, age_s, since = seen.report, now - seen.heard, seen.since
        silent = age_s > SILENT_S
        if silent and not self._reports_unsolicited(member):
            return hop_s + self._unknown_s(seen, work_s, now)
        if seen is not None and seen.away_until > now:
            return math.inf
        if report.leaving or not report.slots:
            return math.inf
        if self._is_spent(member.name, now, report):
            return math.inf
        slowness = seen.slowness if seen else 1.0
        busy = max(0, report.in_flight + report.queued + since)
        fill = min(1.0, busy / report.slots)
        own_s = work_s * slowness * (1 + FULL_FACTOR * fill)
        own_s *= _coldness(report)
        ahead = max(0, busy + 1 - report.slots) / report.slots
        cost_s = begin_s(own_s, report, age_s, self.statistics.pace)
        queued_s = work_s * report.base_pace * self.statistics.pace.mean_pace
        cost_s += ahead * max(report.service_ms / 1000, queued_s)
        if silent:
            cost_s += SILENT_FACTOR * work_s * self.statistics.pace.mean_pace
        return hop_s + cost_s

    def expected_s(self, member: Member, now: float, work: str) -> float:
        way = self._way(member, work, now)
        answer_s = self._answer_s(member, now, work, way)
        return 0.0 if math.isinf(answer_s) else answer_s

    def mean_run_s(self, work: str) -> float:
        return self.normal_run_s(work) * self.statistics.pace.mean_pace

    def normal_run_s(self, work: str) -> float:
        """Returns the usual run time of `work` (s); 0 where not known."""
        return self.statistics.normal_run_s(work, 0.0)

    def remaining_s(
        self, name: str, work: str, began: float, now: float
    ) -> float:
        seen = self.statistics.record(name)
        work_s = self.statistics.normal_run_s(work)
        expected = seen.expected.get(began) if seen else None
        if expected is None:
            expected = began + work_s * self.statistics.pace.mean_pace
        if now <= expected + LATE_FACTOR * work_s:
            return max(expected - now, LEAST_REST * work_s)
        # It began in a slow spell, or something it waits for did.
        slow = began + work_s * self.statistics.pace.slow_pace
        if now <= slow + work_s:
            return max(slow - now, work_s)
        return math.inf

    def describe_cost(self, member: Member, now: float, work: str = "") -> str:
        cost_ms = self.cost_s(member, now, work) * 1000
        way = self._told_way(member, work, now)
        seen = self.statistics.record(member.name)
        if member.name == self._node_name:
            report, age_s = self._own_load(), 0.0
        elif seen is None or seen.report is None:
            return f"cost={cost_ms:.0f}ms{way} unheard"
        else:
            report, age_s = seen.report, now - seen.heard
        return (
            f"cost={cost_ms:.0f}ms{way} "
            f"pace={report.pace:g} "
            f"age={age_s * 1000:.0f}ms spell={report.pace_interval_ms:g}ms "
            f"busy={report.in_flight}+{report.queued}/{report.slots}"
        )

    def attempt_started(
        self, name: str, now: float, expected_s: float = 0.0
    ) -> None:
        self.statistics.attempt_started(name, now, expected_s)

    def attempt_finished(
        self,
        name: str,
        now: float,
        elapsed_s: float,
        outcome: Outcome | None,
        load: LoadReport | None,
        work: str = "",
    ) -> None:
        self.statistics.attempt_finished(
            name, now, elapsed_s, outcome, load, work
        )

    def _unknown_s(
        self, seen: TargetRecord | None, work_s: float, now: float
    ) -> float:
        """Returns the cost of a target of whose load nothing is known (s)."""
        cost_s = UNKNOWN_FACTOR * self.statistics.pace.unknown_pace_run_s(
            work_s
        )
        if seen is None:
            return cost_s
        if seen.away_until > now:
            return math.inf
        return cost_s + work_s * self.statistics.pace.mean_pace * max(
            0, seen.since
        )

    def _way(self, member: Member, work: str, now: float) -> PathCost:
        """Returns what the way to `member` adds."""
        if member.name == self._node_name:
            return NO_PATH_COST
        seen = self.statistics.record(member.name)
        report = seen.report if seen else None
        free_kbps = report.link_free_kbps if report else 0
        return self._path_costs.path_cost(
            member.failure_domain, free_kbps, work, now
        )

    def _told_way(self, member: Member, work: str, now: float) -> str:
        """Returns what the links to `member` counted for, if anything."""
        way = self._way(member, work, now)
        if way is NO_PATH_COST:
            return ""
        parts = (way.round_trip_s, way.transmission_s, way.penalty_s)
        return f" way={'+'.join(f'{part * 1000:.0f}' for part in parts)}ms"

    def _hop_s(self, member: Member) -> float:
        if member.name == self._node_name:
            return 0.0
        return FORWARDING_S


def _coldness(report: LoadReport) -> float:
    """Returns how much longer runs take than the told pace says.

    Where the pace itself tells that a server is cold, that is all of it:
    counted twice, a restarted fleet looked four times as slow as it was.
    """
    return max(
        1.0, 1 / max(0.1, report.warm_fraction) / max(1.0, report.base_pace)
    )


def _always(member: Member) -> bool:
    return True
