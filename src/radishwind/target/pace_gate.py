"""Holds work back in a slow spell where it ends sooner if it begins later."""

from radishwind.admission.gate import Ticket
from radishwind.admission.urgent import StartGate
from radishwind.core.clock import Clock
from radishwind.routing.pace import SLOW_PACE
from radishwind.target.pulse import ServerPulse

#: Past a moment of change the new pace is waited for so long at most (s); the
#: health check that tells it takes 2 to 5 ms.
UNKNOWN_S = 0.015

#: Run times that must be left to the deadline after the wait.
_MARGIN = 1.5


class PaceGate(StartGate):
    """Decides by the pace now, the time to the next change, and the habit."""

    def __init__(self, clock: Clock, pulse: ServerPulse) -> None:
        self._clock = clock
        self._pulse = pulse

    def holds(self, ticket: Ticket, now: float) -> bool:
        pulse = self._pulse
        if not pulse.spells.period_s or pulse.load is None:
            return False
        if pulse.unsure_for_s() and pulse.unsure_for_s() < UNKNOWN_S:
            return True
        pace = pulse.load.pace
        if pace <= SLOW_PACE:
            return False
        left_s = pulse.spells.left_s(self._clock.monotonic())
        run_s = ticket.work_s * pace
        if now + run_s <= ticket.aim and not self._is_busy():
            return False
        later_s = pulse.habit.later_s(ticket.work_s, pulse.spells.period_s)
        if now + left_s + _MARGIN * ticket.work_s > ticket.deadline:
            return False
        return left_s + later_s < run_s

    def stretch(self) -> float:
        habit = self._pulse.habit
        if not self._pulse.spells.period_s:
            return habit.mean
        return 1 / (1 - min(0.8, habit.share))

    def _is_busy(self) -> bool:
        load = self._pulse.load
        return load is not None and 2 * load.in_flight >= load.slots
