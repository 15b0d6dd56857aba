"""Defers work in a slow interval where it ends sooner if it starts later."""

from radishwind.admission.admission import Ticket
from radishwind.admission.deadline_admission import StartGate
from radishwind.core.clock import Clock
from radishwind.routing.pace_statistics import SLOW_PACE
from radishwind.target.load_monitor import LoadMonitor

#: Time after a change point for which the new pace is waited for (s). The
#: health check that reports it takes 2 to 5 ms.
MAX_UNKNOWN_PACE_WAIT_S = 0.015

#: Time before a change point within which no work is sent (s). It would start
#: after the change point, since a new connection to the server takes 1 ms.
MIN_LEAD_S = 0.002

#: Normal run times that must be left before the deadline after the wait.
_DEADLINE_MARGIN = 1.5


class PaceGate(StartGate):
    """Decides by the current pace, the next change point and the statistics."""

    def __init__(self, clock: Clock, monitor: LoadMonitor) -> None:
        self._clock = clock
        self._monitor = monitor

    def should_delay(self, ticket: Ticket, now: float) -> bool:
        monitor = self._monitor
        if not monitor.change_grid.interval_s or monitor.load is None:
            return False
        if (
            monitor.unseen_change_age_s()
            and monitor.unseen_change_age_s() < MAX_UNKNOWN_PACE_WAIT_S
        ):
            return True
        left_s = monitor.change_grid.until_next_s(self._clock.monotonic())
        if left_s < MIN_LEAD_S:
            return True
        base = monitor.base_pace()
        pace = monitor.load.pace
        if pace <= SLOW_PACE * base:
            return False
        run_s = ticket.normal_run_s * pace
        if now + run_s <= ticket.aim and not self._is_busy():
            return False
        normal_run_s = ticket.normal_run_s * base
        delayed_run_s = monitor.pace_statistics.delayed_run_s(
            normal_run_s, monitor.change_grid.interval_s
        )
        if now + left_s + _DEADLINE_MARGIN * normal_run_s > ticket.deadline:
            return False
        return left_s + delayed_run_s < run_s

    def queue_slowdown(self) -> float:
        statistics = self._monitor.pace_statistics
        if not self._monitor.change_grid.interval_s:
            return statistics.mean_pace * self._monitor.base_pace()
        return self._monitor.base_pace() / (1 - min(0.8, statistics.slow_share))

    def _is_busy(self) -> bool:
        load = self._monitor.load
        return load is not None and 2 * load.in_flight >= load.slots
