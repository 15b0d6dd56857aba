"""Statistics of targets: load reports, failures, attempts and run times."""

from collections.abc import Callable
from collections.abc import Iterable
import math
import random

from radishwind.core.codes import ResultCode
from radishwind.http.types import is_server_error
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.routing.chooser import LoadReport
from radishwind.routing.cost_weights import CostWeights
from radishwind.routing.cost_weights import DEFAULT_RUN_S
from radishwind.routing.cost_weights import EXCLUSION_S
from radishwind.routing.cost_weights import FAILURE_DECAY_S
from radishwind.routing.cost_weights import LIMIT_JITTER
from radishwind.routing.cost_weights import LIMIT_PAUSE_S
from radishwind.routing.cost_weights import LIMIT_SHARE_FACTOR
from radishwind.routing.cost_weights import MAX_DOUBLINGS
from radishwind.routing.cost_weights import MAX_ROUTES
from radishwind.routing.cost_weights import MAX_RUN_TIME_RATIO
from radishwind.routing.cost_weights import MIN_FAILURE_RUN_S
from radishwind.routing.cost_weights import MIN_LIMIT_PER_S
from radishwind.routing.cost_weights import MIN_SLOWNESS
from radishwind.routing.cost_weights import REPORT_TIMEOUT_S
from radishwind.routing.cost_weights import RUN_TIME_WEIGHT
from radishwind.routing.pace_statistics import PaceStatistics
from radishwind.routing.target_record import TargetRecord


class TargetStatistics:
    """Holds the records of targets and the run times of routes.

    Attributes:
      pace: statistics of the pace of targets.
    """

    def __init__(
        self,
        weights: CostWeights,
        rng: random.Random,
        node_count: Callable[[], int],
    ) -> None:
        """Creates empty statistics.

        Args:
          weights: weights of samples and failures.
          rng: varies the times between attempts at limited servers.
          node_count: returns how many nodes share the limit of a server.
        """
        self._weights = weights
        self._rng = rng
        self._node_count = node_count
        self._records: dict[str, TargetRecord] = {}
        self._run_s: dict[str, float] = {}
        self.pace = PaceStatistics()

    def record(self, name: str) -> TargetRecord | None:
        """Returns the record of the target `name`; `None` if there is none."""
        return self._records.get(name)

    def normal_run_s(
        self, route: str, default_s: float = DEFAULT_RUN_S
    ) -> float:
        """Returns the run time of a route at the normal pace (s).

        Args:
          route: the route.
          default_s: value returned if the run time isn't known (s).
        """
        return self._run_s.get(route, default_s)

    def receive_report(
        self,
        name: str,
        report: LoadReport,
        start_id: int,
        sequence: int,
        now: float,
    ) -> None:
        """Accepts a load report, unless a later one was received before.

        Args:
          name: name of the target.
          report: the load of the target.
          start_id: identifier of the start of the target's node.
          sequence: increases with each report since that start.
          now: monotonic time (s).
        """
        record = self._get_or_create(name)
        if start_id == record.start_id and sequence <= record.sequence:
            return
        record.start_id = start_id
        record.sequence = sequence
        self._apply_report(record, report, now)

    def failure_penalty_s(self, name: str, route: str, now: float) -> float:
        """Returns the cost added for recent failures of a target (s)."""
        record = self._records.get(name)
        if record is None or not record.failures:
            return 0.0
        run_s = self.normal_run_s(route)
        return self._decayed_failure_s(record, run_s, now)

    def attempt_started(
        self, name: str, now: float, expected_s: float = 0.0
    ) -> None:
        """Records the start of an attempt.

        Args:
          name: name of the target.
          now: monotonic time (s).
          expected_s: expected response time (s); 0 if not known.
        """
        record = self._get_or_create(name)
        if expected_s:
            record.expected_ends[now] = now + expected_s
        record.attempts_since_report += 1
        self._count_start(record, now)

    def _count_start(self, record: TargetRecord, now: float) -> None:
        """Counts a request against the limit of a server."""
        report = record.report
        if report is None or report.requests_left is None:
            return
        if record.attempts_since_report >= report.requests_left > 0:
            record.limit_paused_until = max(
                record.limit_paused_until,
                record.report_received + LIMIT_PAUSE_S,
            )
        if report.limit_per_s is not None:
            record.share_paused_until = now + self._share_interval_s(
                LIMIT_SHARE_FACTOR * report.limit_per_s
            )

    def _share_interval_s(self, limit_per_s: float) -> float:
        """Returns a random time between two attempts of this node (s).

        With it, the nodes together make about `limit_per_s` attempts a second.
        """
        mean_s = self._node_count() / max(MIN_LIMIT_PER_S, limit_per_s)
        return mean_s * self._rng.uniform(1 - LIMIT_JITTER, 1 + LIMIT_JITTER)

    def record_unenforced_limit(
        self, name: str, limit_per_s: float, now: float
    ) -> None:
        """Records a limit that the node beside the server does not enforce.

        Args:
          name: name of the target.
          limit_per_s: the limit (requests/s).
          now: monotonic time (s).
        """
        self.exclude(name, now + self._share_interval_s(limit_per_s))

    def is_limited(self, name: str) -> bool:
        """Returns whether the server of the target `name` states a limit."""
        record = self._records.get(name)
        if record is None or record.report is None:
            return False
        return record.report.limit_per_s is not None

    def limit_wait_s(self, names: Iterable[str], now: float) -> float | None:
        """Returns when the first of several limits allows a request.

        Args:
          names: names of the targets.
          now: monotonic time (s).

        Returns:
          The time until then (s); `None` if none of these limits is reached, or
          if no server states one.
        """
        limited = [name for name in names if self.is_limited(name)]
        waits_s = [
            self._records[name].limit_paused_until - now for name in limited
        ]
        return min((wait for wait in waits_s if wait > 0), default=None)

    def exclude(self, name: str, until: float) -> None:
        """Excludes a target unless no other is eligible.

        Args:
          name: name of the target.
          until: end of the exclusion (monotonic s).
        """
        record = self._get_or_create(name)
        record.excluded_until = max(record.excluded_until, until)

    def attempt_finished(
        self,
        name: str,
        now: float,
        elapsed_s: float,
        outcome: Outcome | None,
        load: LoadReport | None,
        route: str = "",
    ) -> None:
        """Records the end of an attempt.

        Args:
          name: name of the target.
          now: monotonic time (s).
          elapsed_s: time since the attempt started (s).
          outcome: outcome of the attempt; `None` if it was cancelled.
          load: the load report in the response, if any.
          route: the route of the request.
        """
        record = self._get_or_create(name)
        record.discard_attempt(now - elapsed_s)
        record.attempts_since_report -= 1
        if load is not None:
            self._apply_report(record, load, now)
        if isinstance(outcome, NotRun):
            record.excluded_until = now + EXCLUSION_S.get(outcome.code, 0.0)
        if _is_failure(outcome):
            record.failures += 1
            record.last_failure = now
            return
        if not isinstance(outcome, Done):
            return
        record.failures = 0
        if load is not None and load.normal_run_ms:
            self._record_run_time(record, route, load.normal_run_ms / 1000)

    def _get_or_create(self, name: str) -> TargetRecord:
        record = self._records.get(name)
        if record is None:
            record = self._records[name] = TargetRecord()
        return record

    def _record_run_time(
        self, record: TargetRecord, route: str, sample_s: float
    ) -> None:
        """Updates the run time of a route and the slowness of a target."""
        normal_s = self._run_s.get(route)
        if normal_s is None:
            self._run_s[route] = sample_s
            return
        ratio = min(MAX_RUN_TIME_RATIO, sample_s / max(1e-4, normal_s))
        record.slowness += self._weights.slowness_weight * (
            ratio - record.slowness
        )
        record.slowness = max(MIN_SLOWNESS, record.slowness)
        self._run_s[route] = normal_s * (1 + RUN_TIME_WEIGHT * (ratio - 1))
        if len(self._run_s) > MAX_ROUTES:
            del self._run_s[next(iter(self._run_s))]

    def _apply_report(
        self, record: TargetRecord, report: LoadReport, now: float
    ) -> None:
        was_unlimited = (
            record.report is None or record.report.limit_per_s is None
        )
        if record.report is not None:
            duration_s = min(REPORT_TIMEOUT_S, now - record.report_received)
            before = record.report
            self.pace.observe(
                before.pace / max(0.01, before.base_pace), duration_s
            )
        if report.pace_interval_ms:
            self.pace.interval_s = report.pace_interval_ms / 1000
        record.report = report
        record.report_received = now
        record.attempts_since_report = 0
        record.limit_paused_until = -math.inf
        if report.is_limit_reached:
            pause_s = report.limit_wait_ms / 1000 or LIMIT_PAUSE_S
            record.limit_paused_until = now + pause_s
        if report.limit_per_s is None:
            record.share_paused_until = -math.inf
        elif was_unlimited:
            # The nodes that learn of the limit at once don't try at once.
            record.share_paused_until = now + self._rng.random() * (
                self._share_interval_s(LIMIT_SHARE_FACTOR * report.limit_per_s)
            )

    def _decayed_failure_s(
        self, record: TargetRecord, run_s: float, now: float
    ) -> float:
        decay = math.exp((record.last_failure - now) / FAILURE_DECAY_S)
        multiple: float = 2.0 ** min(record.failures - 1, MAX_DOUBLINGS)
        min_run_s = max(run_s, MIN_FAILURE_RUN_S)
        return self._weights.failure_factor * multiple * min_run_s * decay


def _is_failure(outcome: Outcome | None) -> bool:
    """Returns whether the outcome counts as a failure of the target."""
    if outcome is None:
        return False
    if isinstance(outcome, NotRun):
        return outcome.code is ResultCode.SERVER_SHED
    if isinstance(outcome, Done):
        return is_server_error(outcome.response.status)
    return True
