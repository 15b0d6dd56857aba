"""Decides which change of the load is worth telling, and to whom."""

from radishwind.routing.chooser import LoadReport

#: The load is told at least so often (s), so that silence means something.
PERIOD_S = 1.0

#: Two reports are at least so far apart (s), but for a target that leaves.
LEAST_GAP_S = 0.02

#: The same towards other failure domains, where each byte has its price (s).
LEAST_FAR_GAP_S = 0.06

#: A pace that changed by this factor is worth telling: it is the step between
#: one that is as usual and a slowed one.
PACE_FACTOR = 1.5


class ReportScheduler:
    """Compares the load as it is with the one told last."""

    def __init__(self) -> None:
        self._near = _Told()
        self._far = _Told()

    def due(self, report: LoadReport, now: float) -> tuple[bool, bool]:
        """Returns whether to tell `report` near, and whether far.

        Args:
          report: the load as it is.
          now: monotonic time (s).
        """
        near = self._near.due(report, now, LEAST_GAP_S)
        far = self._far.due(report, now, LEAST_FAR_GAP_S)
        if near:
            self._near.told(report, now)
        if far:
            self._far.told(report, now)
        return near, far


class _Told:
    """What was told last to one kind of nodes."""

    __slots__ = ("_at", "_report")

    def __init__(self) -> None:
        self._at = -PERIOD_S
        self._report: LoadReport | None = None

    def told(self, report: LoadReport, now: float) -> None:
        self._at = now
        self._report = report

    def due(self, report: LoadReport, now: float, gap_s: float) -> bool:
        before = self._report
        if before is None or now - self._at >= PERIOD_S:
            return True
        if report.leaving != before.leaving or report.slots != before.slots:
            return True
        if now - self._at < gap_s:
            return False
        return _differs(report, before)


def _differs(report: LoadReport, before: LoadReport) -> bool:
    ratio = report.pace / max(0.01, before.pace)
    if ratio >= PACE_FACTOR or ratio <= 1 / PACE_FACTOR:
        return True
    if (
        report.warm_fraction <= before.warm_fraction / 2
        or before.warm_fraction <= report.warm_fraction / 2
    ):
        return True
    moved = abs(report.in_flight + report.queued - _busy(before))
    return moved >= max(2, report.slots)


def _busy(report: LoadReport) -> int:
    return report.in_flight + report.queued
