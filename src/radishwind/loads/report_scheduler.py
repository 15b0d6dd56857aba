"""Decides when load reports are sent.

Reports are sent on significant changes, at a limited rate, and periodically.
"""

from radishwind.routing.chooser import LoadReport

#: Longest time between reports (s). Since reports are also sent without
#: changes, a lack of them shows that a node is unreachable.
REPORT_INTERVAL_S = 1.0

#: Shortest time between reports (s). Not applied if the target starts
#: leaving, or if its slots or the limit that its server states change.
MIN_LOCAL_GAP_S = 0.02

#: The same for other failure domains (s), where traffic is charged.
MIN_REMOTE_GAP_S = 0.06

#: A change of the pace by this factor is reported: it separates the normal from
#: a slow pace.
PACE_CHANGE_FACTOR = 1.5


class ReportScheduler:
    """Compares the load with the last report sent."""

    def __init__(self) -> None:
        self._local = _LastReport()
        self._remote = _LastReport()

    def due(self, report: LoadReport, now: float) -> tuple[bool, bool]:
        """Returns whether to send `report` now, and records that it is sent.

        Args:
          report: the present load.
          now: monotonic time (s).

        Returns:
          Whether to send it to nodes of the own failure domain, and whether to
          send it to those of others.
        """
        local = self._local.due(report, now, MIN_LOCAL_GAP_S)
        remote = self._remote.due(report, now, MIN_REMOTE_GAP_S)
        if local:
            self._local.record_sent(report, now)
        if remote:
            self._remote.record_sent(report, now)
        return local, remote


class _LastReport:
    """The last report sent to one group of nodes."""

    __slots__ = ("_report", "_sent_at")

    def __init__(self) -> None:
        self._sent_at = -REPORT_INTERVAL_S
        self._report: LoadReport | None = None

    def record_sent(self, report: LoadReport, now: float) -> None:
        self._sent_at = now
        self._report = report

    def due(self, report: LoadReport, now: float, min_gap_s: float) -> bool:
        before = self._report
        if before is None or now - self._sent_at >= REPORT_INTERVAL_S:
            return True
        if report.leaving != before.leaving or report.slots != before.slots:
            return True
        if report.limit_per_s != before.limit_per_s:
            return True
        if now - self._sent_at < min_gap_s:
            return False
        return _is_significant_change(report, before)


def _is_significant_change(report: LoadReport, before: LoadReport) -> bool:
    ratio = report.pace / max(0.01, before.pace)
    if ratio >= PACE_CHANGE_FACTOR or ratio <= 1 / PACE_CHANGE_FACTOR:
        return True
    if (
        report.warm_fraction <= before.warm_fraction / 2
        or before.warm_fraction <= report.warm_fraction / 2
    ):
        return True
    count_change = abs(
        report.in_flight + report.queued - _request_count(before)
    )
    return count_change >= max(2, report.slots)


def _request_count(report: LoadReport) -> int:
    return report.in_flight + report.queued
