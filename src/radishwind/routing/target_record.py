"""What `FreshLoadChooser` knows of one target."""

import math

import msgspec

from radishwind.routing.chooser import LoadReport

#: Start times of the same attempt differ by rounding errors only (s).
_START_TOLERANCE_S = 1e-6


class TargetRecord(msgspec.Struct, eq=False):
    """One target as seen by this node.

    Attributes:
      report: last load report.
      report_received: when it was received (monotonic s).
      start_id: identifier of the start of the node that sent it.
      sequence: sequence number of the report, to reject reordered ones.
      expected_ends: expected end of each attempt of this node, by its start
        (monotonic s).
      attempts_since_report: attempts of this node started less those ended
        since the report.
      slowness: run times relative to those of other targets at the same pace.
      failures: consecutive failures.
      last_failure: when the last one occurred (monotonic s).
      excluded_until: the target accepts no requests before this time
        (monotonic s).
      limit_paused_until: the limit of the server allows no further requests
        before this time (monotonic s).
      share_paused_until: this node has used its share of that limit until this
        time (monotonic s).
    """

    report: LoadReport | None = None
    report_received: float = -math.inf
    start_id: int = 0
    sequence: int = -1
    expected_ends: dict[float, float] = msgspec.field(default_factory=dict)
    attempts_since_report: int = 0
    slowness: float = 1.0
    failures: int = 0
    last_failure: float = -math.inf
    excluded_until: float = -math.inf
    limit_paused_until: float = -math.inf
    share_paused_until: float = -math.inf

    def discard_attempt(self, started: float) -> None:
        """Discards the attempt that started at `started` (monotonic s)."""
        match = min(
            self.expected_ends, key=lambda at: abs(at - started), default=None
        )
        if match is not None and abs(match - started) <= _START_TOLERANCE_S:
            del self.expected_ends[match]
