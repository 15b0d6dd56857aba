"""A token bucket in the unit of the budget: time that probes may cost."""

#: How much may be saved up, as the budget of so many seconds.
BURST_S = 1.0

#: Cost assumed before the first probe (s).
FIRST_COST_S = 0.010

#: The least cost expected of a probe (s), so that none is free.
_LEAST_COST_S = 0.0001


class ProbeBudget:
    """Probe time, gained as a share of slot time.

    A server of nine slots with a share of 0.01 gains 0.09 s of probe time each
    second. A probe starts only when its expected cost is there; what it cost
    more is paid back before the next one.

    Attributes:
      spent_s: what probes cost since the start (s).
    """

    def __init__(self) -> None:
        self._rate = 0.0  # Probe time gained each second (s).
        self._tokens_s = 0.0
        self._filled = 0.0
        self._expected_s = FIRST_COST_S
        self.spent_s = 0.0

    def set_rate(self, share: float, slots: int, now: float) -> None:
        """Takes the share of slot time that probing may cost.

        Args:
          share: probe time as a share of slot time, 0 to 1.
          slots: slots of the server.
          now: monotonic time (s).
        """
        self._fill(now)
        self._rate = share * slots

    def allows(self, now: float) -> bool:
        """Returns whether the expected cost of one probe is there."""
        self._fill(now)
        return self._rate > 0 and self._tokens_s >= self._expected_s

    def spend(self, cost_s: float, now: float) -> None:
        """Takes what a probe cost (s)."""
        self._fill(now)
        self._tokens_s -= cost_s
        self._expected_s = max(cost_s, _LEAST_COST_S)
        self.spent_s += cost_s

    def _fill(self, now: float) -> None:
        most = max(self._rate * BURST_S, self._expected_s)
        gained = self._rate * (now - self._filled)
        self._tokens_s = min(most, self._tokens_s + gained)
        self._filled = now
