"""What a node remembers of one target it chooses from."""

import math

import msgspec

from radishwind.routing.chooser import LoadReport

#: Two times that name the same beginning differ by rounding only (s).
_SAME_S = 1e-6


class TargetRecord(msgspec.Struct, eq=False):
    """One target as this node sees it.

    Attributes:
      report: as told last.
      heard: when (monotonic s).
      start: of the node that told it.
      order: of the report, so that a late one is not taken.
      expected: when own attempts were expected to answer, by the time of
        their beginning (monotonic s).
      since: own attempts begun less those ended since the report.
      slowness: its run times against the usual ones at the same pace.
      failures: failures in a row.
      failed: when the last one was (s).
      away_until: it takes no work before this time (s).
      cold_until: it is cold and takes no more before this time (s).
    """

    report: LoadReport | None = None
    heard: float = -math.inf
    start: int = 0
    order: int = -1
    expected: dict[float, float] = msgspec.field(default_factory=dict)
    since: int = 0
    slowness: float = 1.0
    failures: int = 0
    failed: float = -math.inf
    away_until: float = -math.inf
    cold_until: float = -math.inf

    def forget_attempt(self, began: float) -> None:
        """Forgets the own attempt that began at `began` (monotonic s)."""
        key = min(self.expected, key=lambda at: abs(at - began), default=None)
        if key is not None and abs(key - began) <= _SAME_S:
            del self.expected[key]
