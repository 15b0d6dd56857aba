"""What the backend stand-in counts, so that tests and benches can check it."""

import collections
from typing import Any

_MOST_NAMES = 100_000


class BackendCounters:
    """Counts runs by request, and meters what probing costs.

    Attributes:
      runs: runs by `Idempotency-Key`, else by method and path; once started,
        a run counts even if it is cancelled.
      probes: health and load requests received.
      probe_s: time that probes held a slot (s).
      probes_into_full: probes that arrived while every slot was in use.
      cancelled: runs stopped because their connection closed.
      shed: requests refused without running.
      late: runs stopped at their deadline.
      failed: requests answered with an error by fail-fast.
      max_in_flight: the most runs at once.
      run_s: time that runs held a slot (s).
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

    def ran(self, name: str) -> None:
        """Counts a run that starts."""
        if name in self.runs or len(self.runs) < _MOST_NAMES:
            self.runs[name] += 1

    def as_fields(self) -> dict[str, Any]:
        """Returns the counters by name, for JSON."""
        return {**vars(self), "runs": dict(self.runs)}
