"""Counters of the backend stand-in, for tests and benchmarks."""

import collections
from typing import Any

_MAX_RUN_KEYS = 100_000


class BackendCounters:
    """Counts runs by request and measures the cost of probes.

    Attributes:
      runs: the number of runs by `Idempotency-Key`, or by method and path if
        there is none; a run that was started counts even if it is cancelled.
      probes: the number of health and load probes received.
      probe_s: the total time for which probes held a slot (s).
      probes_into_full: the number of probes that arrived while every slot was
        in use.
      cancelled: the number of runs cancelled because their connection closed.
      shed: the number of requests shed without running.
      late: the number of runs cancelled at their deadline.
      failed: the number of requests failed by `fail_fast`.
      max_in_flight: the maximum number of slots in use at once.
      run_s: the total time for which runs held a slot (s).
    """

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.probes = 0
        self.probe_s = 0.0
        self.probes_into_full = 0
        self.cancelled = 0
        self.shed = 0
        self.late = 0
        self.failed = 0
        self.max_in_flight = 0
        self.run_s = 0.0

    def record_run(self, key: str) -> None:
        """Records the start of a run.

        Beyond `_MAX_RUN_KEYS` distinct keys, new keys are not counted.
        """
        if key in self.runs or len(self.runs) < _MAX_RUN_KEYS:
            self.runs[key] += 1

    def as_dict(self) -> dict[str, Any]:
        """Returns the counters by name, ready for JSON."""
        return {**vars(self), "runs": dict(self.runs)}
