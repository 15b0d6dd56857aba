"""Chooses targets by load reports that arrive within milliseconds of changes.

Each node reports the pace of its instance and the running and queued requests
of its server when these change. The expected response time of a target consists
of the path to it, the time in its queue, and the run time at its pace. A report
loses weight with age against the mean of all instances.
"""

from collections.abc import Callable
from collections.abc import Sequence
import math
import random

from radishwind.core.codes import ResultCode
from radishwind.hedging.forecast import LatencyForecast
from radishwind.membership.directory import Member
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.routing.chooser import LoadReport
from radishwind.routing.chooser import TargetChooser
from radishwind.routing.cost_weights import COST_JITTER
from radishwind.routing.cost_weights import CostWeights
from radishwind.routing.cost_weights import FORWARDING_S
from radishwind.routing.cost_weights import FULL_LOAD_SLOWDOWN
from radishwind.routing.cost_weights import LATE_ATTEMPT_FACTOR
from radishwind.routing.cost_weights import MAX_LOCAL_CANDIDATES
from radishwind.routing.cost_weights import MAX_REMOTE_CANDIDATES
from radishwind.routing.cost_weights import MIN_REMAINING_FRACTION
from radishwind.routing.cost_weights import MIN_RETRY_AFTER_S
from radishwind.routing.cost_weights import MISSING_REPORT_FACTOR
from radishwind.routing.cost_weights import REPORT_TIMEOUT_S
from radishwind.routing.cost_weights import UNKNOWN_LOAD_FACTOR
from radishwind.routing.pace_statistics import completion_s
from radishwind.routing.path_costs import FixedPathCosts
from radishwind.routing.path_costs import IN_TIME_FRACTION
from radishwind.routing.path_costs import NO_PATH_COST
from radishwind.routing.path_costs import PathCost
from radishwind.routing.path_costs import PathCostModel
from radishwind.routing.target_record import TargetRecord
from radishwind.routing.target_statistics import TargetStatistics


class FreshLoadChooser(TargetChooser, LatencyForecast):
    """Chooses the lowest expected response time by recent load reports.

    Attributes:
      statistics: records of targets and run times of routes.
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
        node_count: Callable[[], int] | None = None,
    ) -> None:
        """Creates a chooser without any statistics.

        Args:
          rng: random generator for sampling candidates and jitter of costs.
          node_name: name of this node's own target.
          failure_domain: failure domain of this node.
          own_load: returns the present load of the own target.
          reports_unsolicited: returns whether a target sends load reports to
            this node without having received requests from it; by default, all
            do.
          weights: weights of the cost.
          path_costs: costs of network paths; by default, fixed ones.
          node_count: returns how many nodes share the limit of a server; by
            default one.
        """
        self._weights = weights or CostWeights()
        self._path_costs = path_costs or FixedPathCosts(
            failure_domain, self._weights.cross_domain_s
        )
        self._reports_unsolicited = reports_unsolicited or _reports_to_all
        self._rng = rng
        self._node_name = node_name
        self._failure_domain = failure_domain
        self._own_load = own_load
        self.statistics = TargetStatistics(
            self._weights, rng, node_count or _single_node
        )

    def receive_report(
        self,
        name: str,
        report: LoadReport,
        start_id: int,
        sequence: int,
        now: float,
    ) -> None:
        """Accepts a load report; see `TargetStatistics.receive_report`."""
        self.statistics.receive_report(name, report, start_id, sequence, now)

    def choose(
        self,
        members: Sequence[Member],
        now: float,
        exclude: frozenset[str] = frozenset(),
        route: str = "",
        aim: float = math.inf,
    ) -> Member | None:
        candidates = [m for m in members if m.name not in exclude]
        if len(candidates) > MAX_LOCAL_CANDIDATES + MAX_REMOTE_CANDIDATES:
            candidates = self._sample_candidates(candidates)
        best = soonest = None
        lowest_cost_s = lowest_time_s = best_time_s = math.inf
        for member in candidates:
            path = self._path(member, route, now)
            time_s = (
                self._response_s(member, now, route, path) + path.transmission_s
            )
            time_s *= 1 + COST_JITTER * self._rng.random()
            failure_s = self.statistics.failure_penalty_s(
                member.name, route, now
            )
            cost_s = time_s + path.penalty_s + failure_s
            if cost_s < lowest_cost_s:
                best, lowest_cost_s, best_time_s = member, cost_s, time_s
            if time_s + failure_s < lowest_time_s:
                soonest, lowest_time_s = member, time_s + failure_s
        if best is None:
            return self._any_excluded(candidates, now)
        time_left_s = aim - now
        # Links aren't spared if the response would miss the latency target for
        # it. If no target can meet it, cross-domain traffic gains nothing.
        if (
            IN_TIME_FRACTION * time_left_s < best_time_s
            and lowest_time_s <= time_left_s
        ):
            return soonest
        return best

    def _any_excluded(
        self, candidates: Sequence[Member], now: float
    ) -> Member | None:
        """Returns a target to try if all are excluded; `None` if none may be.

        A target that was leaving or down may have recovered. One with a limit
        has reported when it accepts more, so that a request before that would
        only cost time; until then its share per node need not be kept.
        """
        own = self._own_load()
        eligible = [
            m
            for m in candidates
            if not self._is_limit_reached(m.name, now, own)
        ]
        return self._rng.choice(eligible) if eligible else None

    def _is_limit_reached(self, name: str, now: float, own: LoadReport) -> bool:
        """Returns whether the limit of a server allows no further requests.

        Args:
          name: name of the target.
          now: monotonic time (s).
          own: load of the own target; used if `name` is that target.
        """
        if name == self._node_name:
            return own.is_limit_reached
        record = self.statistics.record(name)
        return record is not None and record.limit_paused_until > now

    def _sample_candidates(self, candidates: list[Member]) -> list[Member]:
        """Samples the candidates, with preference for local ones."""
        own = self._failure_domain
        local = [m for m in candidates if m.failure_domain == own]
        remote = [m for m in candidates if m.failure_domain != own]
        if len(local) > MAX_LOCAL_CANDIDATES:
            local = self._rng.sample(local, MAX_LOCAL_CANDIDATES)
        max_remote = MAX_LOCAL_CANDIDATES + MAX_REMOTE_CANDIDATES - len(local)
        if len(remote) > max_remote:
            remote = self._rng.sample(remote, max_remote)
        return local + remote

    def cost_s(self, member: Member, now: float, route: str = "") -> float:
        """Returns the cost of an attempt (s); infinite for an excluded target.

        It is the expected response time plus a penalty for recent failures.
        """
        path = self._path(member, route, now)
        response_s = self._response_s(member, now, route, path)
        return response_s + self.statistics.failure_penalty_s(
            member.name, route, now
        )

    def _response_s(
        self, member: Member, now: float, route: str, path: PathCost
    ) -> float:
        """Returns the expected response time (s); infinite if excluded."""
        record = self.statistics.record(member.name)
        run_s = self.statistics.normal_run_s(route)
        network_s = self._forwarding_s(member) + path.round_trip_s
        if member.name == self._node_name:
            report, age_s, attempts_since_report = self._own_load(), 0.0, 0
        elif record is None or record.report is None:
            return network_s + self._unknown_load_s(record, run_s, now)
        else:
            report, age_s, attempts_since_report = (
                record.report,
                now - record.report_received,
                record.attempts_since_report,
            )
        is_report_overdue = age_s > REPORT_TIMEOUT_S
        if is_report_overdue and not self._reports_unsolicited(member):
            return network_s + self._unknown_load_s(record, run_s, now)
        if record is not None and record.excluded_until > now:
            return math.inf
        if report.leaving or not report.slots:
            return math.inf
        if self._is_limit_reached(member.name, now, report):
            return math.inf
        if record is not None and record.share_paused_until > now:
            return math.inf
        slowness = record.slowness if record else 1.0
        requests = max(
            0, report.in_flight + report.queued + attempts_since_report
        )
        utilization = min(1.0, requests / report.slots)
        target_run_s = run_s * slowness * (1 + FULL_LOAD_SLOWDOWN * utilization)
        target_run_s *= _warmup_slowdown(report)
        queue_rounds = max(0, requests + 1 - report.slots) / report.slots
        cost_s = completion_s(target_run_s, report, age_s, self.statistics.pace)
        mean_run_s = run_s * report.base_pace * self.statistics.pace.mean_pace
        cost_s += queue_rounds * max(report.service_ms / 1000, mean_run_s)
        if is_report_overdue:
            cost_s += (
                MISSING_REPORT_FACTOR * run_s * self.statistics.pace.mean_pace
            )
        return network_s + cost_s

    def expected_s(self, member: Member, now: float, route: str) -> float:
        path = self._path(member, route, now)
        response_s = self._response_s(member, now, route, path)
        return 0.0 if math.isinf(response_s) else response_s

    def mean_run_s(self, route: str) -> float:
        return self.normal_run_s(route) * self.statistics.pace.mean_pace

    def normal_run_s(self, route: str) -> float:
        """Returns the run time at the normal pace (s); 0 if not known."""
        return self.statistics.normal_run_s(route, 0.0)

    def remaining_s(
        self, name: str, route: str, started: float, now: float
    ) -> float:
        record = self.statistics.record(name)
        run_s = self.statistics.normal_run_s(route)
        expected = record.expected_ends.get(started) if record else None
        if expected is None:
            expected = started + run_s * self.statistics.pace.mean_pace
        if now <= expected + LATE_ATTEMPT_FACTOR * run_s:
            return max(expected - now, MIN_REMAINING_FRACTION * run_s)
        # The run, or a nested one that it waits for, started in a slow
        # interval.
        slow_end = started + run_s * self.statistics.pace.slow_pace
        if now <= slow_end + run_s:
            return max(slow_end - now, run_s)
        return math.inf

    def is_limited(self, name: str) -> bool:
        return self.statistics.is_limited(name)

    def refusal(self, members: Sequence[Member], now: float) -> NotRun | None:
        wait_s = self.statistics.limit_wait_s([m.name for m in members], now)
        if wait_s is None:
            return None
        return NotRun(
            ResultCode.SERVER_LIMITED,
            "All servers have got as many requests as they state to accept.",
            round(max(MIN_RETRY_AFTER_S, wait_s), 3),
        )

    def describe_cost(self, member: Member, now: float, route: str = "") -> str:
        cost_ms = self.cost_s(member, now, route) * 1000
        path = self._describe_path(member, route, now)
        record = self.statistics.record(member.name)
        if member.name == self._node_name:
            report, age_s = self._own_load(), 0.0
        elif record is None or record.report is None:
            return f"cost={cost_ms:.0f}ms{path} unheard"
        else:
            report, age_s = record.report, now - record.report_received
        return (
            f"cost={cost_ms:.0f}ms{path} "
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
        route: str = "",
    ) -> None:
        self.statistics.attempt_finished(
            name, now, elapsed_s, outcome, load, route
        )

    def _unknown_load_s(
        self, record: TargetRecord | None, run_s: float, now: float
    ) -> float:
        """Returns the cost of a target whose load isn't known (s)."""
        cost_s = UNKNOWN_LOAD_FACTOR * self.statistics.pace.unknown_pace_run_s(
            run_s
        )
        if record is None:
            return cost_s
        if record.excluded_until > now:
            return math.inf
        return cost_s + run_s * self.statistics.pace.mean_pace * max(
            0, record.attempts_since_report
        )

    def _path(self, member: Member, route: str, now: float) -> PathCost:
        """Returns the cost of the path to `member`."""
        if member.name == self._node_name:
            return NO_PATH_COST
        record = self.statistics.record(member.name)
        report = record.report if record else None
        free_kbps = report.link_free_kbps if report else 0
        return self._path_costs.path_cost(
            member.failure_domain, free_kbps, route, now
        )

    def _describe_path(self, member: Member, route: str, now: float) -> str:
        """Returns the path cost as text for logs; empty for the own target."""
        path = self._path(member, route, now)
        if path is NO_PATH_COST:
            return ""
        costs = (path.round_trip_s, path.transmission_s, path.penalty_s)
        return f" way={'+'.join(f'{cost * 1000:.0f}' for cost in costs)}ms"

    def _forwarding_s(self, member: Member) -> float:
        if member.name == self._node_name:
            return 0.0
        return FORWARDING_S


def _warmup_slowdown(report: LoadReport) -> float:
    """Returns the slowdown by slow start that the pace doesn't include.

    If the base pace already reflects a cold server, it is not counted again:
    counted twice, a restarted fleet appeared four times as slow as it was.
    """
    return max(
        1.0, 1 / max(0.1, report.warm_fraction) / max(1.0, report.base_pace)
    )


def _reports_to_all(member: Member) -> bool:
    return True


def _single_node() -> int:
    return 1
