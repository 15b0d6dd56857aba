"""Whether to probe now."""

import enum

import msgspec

from radishwind.probing.budget import ProbeBudget
from radishwind.probing.health import HealthEstimator

#: Time between probes of a silent server (s).
CALM_INTERVAL_S = 2.0

#: Time between probes of a server in doubt (s).
DOUBT_INTERVAL_S = 0.25


class ProbeDecision(enum.Enum):
    """What to do, and why not to probe."""

    PROBE = "probe"
    TRAFFIC = "real answers tell enough"
    FULL = "no slot is free"
    BUDGET = "the budget is spent"
    WAIT = "the last probe was too recent"


class Occupancy(msgspec.Struct, frozen=True):
    """How busy the server is.

    Attributes:
      slots: slots in all.
      in_flight: slots in use.
      queued: requests waiting.
    """

    slots: int
    in_flight: int
    queued: int


class ProbePolicy:
    """Probes only into silence or doubt, a free slot and a filled budget."""

    def __init__(self, budget: ProbeBudget, health: HealthEstimator) -> None:
        self._budget = budget
        self._health = health
        self._last = -CALM_INTERVAL_S

    def decide(
        self, occupancy: Occupancy, in_doubt: bool, now: float
    ) -> ProbeDecision:
        """Returns whether to probe, and the reason if not.

        Args:
          occupancy: of the server, as of now.
          in_doubt: whether the server is cold or draining, so that its state
            is worth asking for more often.
          now: monotonic time (s).
        """
        doubt = in_doubt or self._health.last_check_failed
        if (
            not self._health.is_quiet(now)
            and not self._health.last_check_failed
        ):
            return ProbeDecision.TRAFFIC
        if now - self._last < (DOUBT_INTERVAL_S if doubt else CALM_INTERVAL_S):
            return ProbeDecision.WAIT
        if occupancy.queued or occupancy.in_flight >= occupancy.slots:
            return ProbeDecision.FULL
        if not self._budget.allows(now):
            return ProbeDecision.BUDGET
        return ProbeDecision.PROBE

    def record_probe(self, cost_s: float, ok: bool, now: float) -> None:
        """Takes what a probe cost (s) and whether it found the server well."""
        self._last = now
        self._budget.spend(cost_s, now)
        self._health.record_probe(ok, now)
