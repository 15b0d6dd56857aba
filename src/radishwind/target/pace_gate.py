"""Holds work back in a slow spell where it ends sooner if it begins later."""

from radishwind.admission.gate import Ticket
from radishwind.admission.urgent import StartGate
from radishwind.core.clock import Clock
from radishwind.routing.pace_statistics import SLOW_PACE
from radishwind.target.load_monitor import LoadMonitor

#: Past a moment of change the new pace is waited for so long at most (s); the
#: health check that tells it takes 2 to 5 ms.
UNKNOWN_S = 0.015

#: Work sent so shortly before a moment of change begins after it (s): a new
#: connection to the server takes 1 ms.
TOO_NEAR_S = 0.002

#: Run times that must be left to the deadline after the wait.
_MARGIN = 1.5


class PaceGate(StartGate):
    """Decides by the pace now, the time to the next change, and the habit."""

    def __init__(self, clock: Clock, pulse: LoadMonitor) -> None:
        self._clock = clock
        self._pulse = pulse

    def holds(self, ticket: Ticket, now: float) -> bool:
        pulse = self._pulse
        if not pulse.change_grid.interval_s or pulse.load is None:
            return False
        if (
            pulse.unseen_change_age_s()
            and pulse.unseen_change_age_s() < UNKNOWN_S
        ):
            return True
        left_s = pulse.change_grid.until_next_s(self._clock.monotonic())
        if left_s < TOO_NEAR_S:
            return True
        base = pulse.base_pace()
        pace = pulse.load.pace
        if pace <= SLOW_PACE * base:
            return False
        run_s = ticket.work_s * pace
        if now + run_s <= ticket.aim and not self._is_busy():
            return False
        usual_s = ticket.work_s * base
        later_s = pulse.pace_statistics.delayed_run_s(
            usual_s, pulse.change_grid.interval_s
        )
        if now + left_s + _MARGIN * usual_s > ticket.deadline:
            return False
        return left_s + later_s < run_s

    def stretch(self) -> float:
        habit = self._pulse.pace_statistics
        if not self._pulse.change_grid.interval_s:
            return habit.mean_pace * self._pulse.base_pace()
        return self._pulse.base_pace() / (1 - min(0.8, habit.slow_share))

    def _is_busy(self) -> bool:
        load = self._pulse.load
        return load is not None and 2 * load.in_flight >= load.slots
