"""What a node learns of targets: their reports, failures, starts and work."""

import math

from radishwind.core.codes import ResultCode
from radishwind.http.types import is_server_error
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.routing.chooser import LoadReport
from radishwind.routing.cost_weights import AWAY_S
from radishwind.routing.cost_weights import COLD_REST_S
from radishwind.routing.cost_weights import CostWeights
from radishwind.routing.cost_weights import FAILURE_FADE_S
from radishwind.routing.cost_weights import FIRST_WORK_S
from radishwind.routing.cost_weights import LEAST_FAILED_S
from radishwind.routing.cost_weights import LEAST_SLOWNESS
from radishwind.routing.cost_weights import MAX_DOUBLINGS
from radishwind.routing.cost_weights import MOST_RATIO
from radishwind.routing.cost_weights import MOST_WORKS
from radishwind.routing.cost_weights import SILENT_S
from radishwind.routing.cost_weights import WORK_WEIGHT
from radishwind.routing.pace_statistics import PaceStatistics
from radishwind.routing.target_record import TargetRecord


class TargetStatistics:
    """Holds what is known of each target, and of each kind of work.

    Attributes:
      habit: how the pace of targets changes.
    """

    def __init__(self, weights: CostWeights) -> None:
        """Makes a memory that knows nothing yet.

        Args:
          weights: how fast it learns, and what failures count for.
        """
        self._weights = weights
        self._seen: dict[str, TargetRecord] = {}
        self._work_s: dict[str, float] = {}
        self.pace = PaceStatistics()

    def record(self, name: str) -> TargetRecord | None:
        """Returns what is known of the target `name`; `None` for nothing."""
        return self._seen.get(name)

    def normal_run_s(self, work: str, unknown_s: float = FIRST_WORK_S) -> float:
        """Returns the usual run time of `work` (s).

        Args:
          work: the kind of work.
          unknown_s: what is returned where that isn't known (s).
        """
        return self._work_s.get(work, unknown_s)

    def receive_report(
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
        seen = self._known(name)
        if start == seen.start and order <= seen.order:
            return
        seen.start = start
        seen.order = order
        self._report(seen, report, now)

    def failed_s(self, name: str, work: str, now: float) -> float:
        """Returns what the failures of a target make it dearer by (s)."""
        seen = self._seen.get(name)
        if seen is None or not seen.failures:
            return 0.0
        work_s = self.normal_run_s(work)
        return self._failure_s(seen, work_s, now)

    def attempt_started(
        self, name: str, now: float, expected_s: float = 0.0
    ) -> None:
        """Takes that an attempt began at the target `name`.

        Args:
          name: the target.
          now: monotonic time (s).
          expected_s: its expected answer time (s); 0 for none.
        """
        seen = self._known(name)
        if expected_s:
            seen.expected[now] = now + expected_s
        seen.since += 1
        self._note_start(seen, now)

    def _note_start(self, seen: TargetRecord, now: float) -> None:
        """Counts a start at a cold target against what it said it takes."""
        left = seen.report.warmup_requests_left if seen.report else None
        if left is not None and seen.since >= left > 0:
            seen.cold_until = max(seen.cold_until, seen.heard + COLD_REST_S)

    def attempt_finished(
        self,
        name: str,
        now: float,
        elapsed_s: float,
        outcome: Outcome | None,
        load: LoadReport | None,
        work: str = "",
    ) -> None:
        """Takes the end of an attempt.

        Args:
          name: the target.
          now: monotonic time (s).
          elapsed_s: since it began (s).
          outcome: what came of it; `None` if it was cancelled.
          load: what the target's node told with it, if anything.
          work: the kind of work.
        """
        seen = self._known(name)
        seen.forget_attempt(now - elapsed_s)
        seen.since -= 1
        if load is not None:
            self._report(seen, load, now)
        if isinstance(outcome, NotRun):
            seen.away_until = now + AWAY_S.get(outcome.code, 0.0)
        if _failed(outcome):
            seen.failures += 1
            seen.failed = now
            return
        if not isinstance(outcome, Done):
            return
        seen.failures = 0
        if load is not None and load.normal_run_ms:
            self._learn(seen, work, load.normal_run_ms / 1000)

    def _known(self, name: str) -> TargetRecord:
        seen = self._seen.get(name)
        if seen is None:
            seen = self._seen[name] = TargetRecord()
        return seen

    def _learn(self, seen: TargetRecord, work: str, done_s: float) -> None:
        """Takes the work of one answer into the usual and the target's own."""
        usual_s = self._work_s.get(work)
        if usual_s is None:
            self._work_s[work] = done_s
            return
        ratio = min(MOST_RATIO, done_s / max(1e-4, usual_s))
        seen.slowness += self._weights.slowness * (ratio - seen.slowness)
        seen.slowness = max(LEAST_SLOWNESS, seen.slowness)
        self._work_s[work] = usual_s * (1 + WORK_WEIGHT * (ratio - 1))
        if len(self._work_s) > MOST_WORKS:
            del self._work_s[next(iter(self._work_s))]

    def _report(
        self, seen: TargetRecord, report: LoadReport, now: float
    ) -> None:
        if seen.report is not None:
            for_s = min(SILENT_S, now - seen.heard)
            before = seen.report
            self.pace.observe(before.pace / max(0.01, before.base_pace), for_s)
        if report.pace_interval_ms:
            self.pace.interval_s = report.pace_interval_ms / 1000
        seen.report = report
        seen.heard = now
        seen.since = 0
        seen.cold_until = (
            now + COLD_REST_S if report.is_warmup_exhausted else -math.inf
        )

    def _failure_s(
        self, seen: TargetRecord, work_s: float, now: float
    ) -> float:
        fade = math.exp((seen.failed - now) / FAILURE_FADE_S)
        doubled: float = 2.0 ** min(seen.failures - 1, MAX_DOUBLINGS)
        least_s = max(work_s, LEAST_FAILED_S)
        return self._weights.failure_factor * doubled * least_s * fade


def _failed(outcome: Outcome | None) -> bool:
    """Returns whether an attempt tells of a target that does not do well."""
    if outcome is None:
        return False
    if isinstance(outcome, NotRun):
        return outcome.code is ResultCode.SERVER_SHED
    if isinstance(outcome, Done):
        return is_server_error(outcome.response.status)
    return True
