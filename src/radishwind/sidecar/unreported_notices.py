"""Keeps what a server states while the node beside it does not.

A node of an earlier version forwards the header fields of its server's
responses, but reads neither its limit nor that it is leaving. The nodes of its
callers then act on what they forward.
"""

from radishwind.core.clock import Clock
from radishwind.http.types import Headers
from radishwind.platform import get_stated_limit
from radishwind.platform import states_leaving
from radishwind.routing.chooser import LoadReport
from radishwind.routing.target_statistics import TargetStatistics
from radishwind.telemetry.part_logger import PartLogger

#: Time for which a target whose server states that it is leaving is excluded
#: (s): longer than a server goes on serving after that.
LEAVING_EXCLUSION_S = 30.0


class UnreportedNotices:
    """Compares the fields of forwarded responses with the load reports."""

    def __init__(self, statistics: TargetStatistics, clock: Clock) -> None:
        """Creates the comparison.

        Args:
          statistics: what is known of targets; is told what no report states.
          clock: the clock.
        """
        self._statistics = statistics
        self._clock = clock
        self._log = PartLogger("entry", clock)

    def check(
        self, target: str, headers: Headers, load: LoadReport | None
    ) -> None:
        """Checks a response that another node forwarded.

        Args:
          target: name of the target.
          headers: header fields of the response.
          load: the load report that came with it, if any.
        """
        now = self._clock.monotonic()
        limit_per_s = get_stated_limit(headers)
        if limit_per_s is not None and (
            load is None or load.limit_per_s is None
        ):
            self._log.info(
                "A node does not enforce the limit of its server.",
                target=target,
                limit_per_s=limit_per_s,
            )
            self._statistics.record_unenforced_limit(target, limit_per_s, now)
        if states_leaving(headers) and (load is None or not load.leaving):
            self._log.info(
                "A node does not report that its server is leaving.",
                target=target,
            )
            self._statistics.exclude(target, now + LEAVING_EXCLUSION_S)
