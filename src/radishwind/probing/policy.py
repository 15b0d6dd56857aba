"""Decides when the local server is probed."""

import enum

import msgspec

from radishwind.probing.budget import ProbeBudget
from radishwind.probing.health import HealthEstimator

#: Interval between probes of a server without requests (s).
NORMAL_INTERVAL_S = 2.0

#: Interval between probes of a server in an uncertain state (s).
FAST_INTERVAL_S = 0.25


class ProbeDecision(enum.Enum):
    """Whether to probe, and the reason if not.

    The names appear in the status of the node, in lower case.
    """

    PROBE = "probe"
    TRAFFIC = "real answers tell enough"
    FULL = "no slot is free"
    BUDGET = "the budget is spent"
    WAIT = "the last probe was too recent"


class Occupancy(msgspec.Struct, frozen=True):
    """The utilization of the server.

    Attributes:
      slots: number of slots.
      in_flight: number of slots in use.
      queued: number of queued requests.
    """

    slots: int
    in_flight: int
    queued: int


class ProbePolicy:
    """Allows a probe if it is useful, a slot is free and the budget suffices.

    A probe is useful if there was no recent response to a request or the latest
    result was a failure.
    """

    def __init__(self, budget: ProbeBudget, health: HealthEstimator) -> None:
        self._budget = budget
        self._health = health
        self._last_probe = -NORMAL_INTERVAL_S

    def decide(
        self, occupancy: Occupancy, is_uncertain: bool, now: float
    ) -> ProbeDecision:
        """Returns whether to probe, and the reason if not.

        Args:
          occupancy: the current utilization of the server.
          is_uncertain: whether the server is in slow start or draining, so that
            its state may change soon.
          now: monotonic time (s).
        """
        uncertain = is_uncertain or self._health.last_result_failed
        if (
            not self._health.is_quiet(now)
            and not self._health.last_result_failed
        ):
            return ProbeDecision.TRAFFIC
        if now - self._last_probe < (
            FAST_INTERVAL_S if uncertain else NORMAL_INTERVAL_S
        ):
            return ProbeDecision.WAIT
        if occupancy.queued or occupancy.in_flight >= occupancy.slots:
            return ProbeDecision.FULL
        if not self._budget.allows(now):
            return ProbeDecision.BUDGET
        return ProbeDecision.PROBE

    def record_probe(self, cost_s: float, ok: bool, now: float) -> None:
        """Records the duration of a probe (s) and whether it succeeded."""
        self._last_probe = now
        self._budget.spend(cost_s, now)
        self._health.record_probe(ok, now)
