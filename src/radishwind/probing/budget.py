"""A token bucket of the time that probes may take."""

#: Capacity of the bucket, as the deposits of this time (s).
BURST_S = 1.0

#: Assumed duration of the first probe (s).
INITIAL_COST_S = 0.010

#: Lower bound of the expected cost of a probe (s), so that none is free.
_MIN_COST_S = 0.0001


class ProbeBudget:
    """A budget of probe time, a share of the slot time of a server.

    With a share of 0.01 a server with nine slots gets 0.09 s of probe time per
    second. A probe starts only if the budget covers its expected cost. If it
    takes longer, the excess is repaid before the next probe.

    Attributes:
      spent_s: duration of all probes since the start (s).
    """

    def __init__(self) -> None:
        self._rate = 0.0  # Probe time per second (s/s).
        self._tokens_s = 0.0
        self._refilled_at = 0.0
        self._expected_cost_s = INITIAL_COST_S
        self.spent_s = 0.0

    def set_rate(self, share: float, slots: int, now: float) -> None:
        """Sets the share of slot time that probes may use.

        Args:
          share: probe time as a share of slot time, 0 to 1.
          slots: number of slots of the server.
          now: monotonic time (s).
        """
        self._refill(now)
        self._rate = share * slots

    def allows(self, now: float) -> bool:
        """Returns whether the budget covers the expected cost of a probe."""
        self._refill(now)
        return self._rate > 0 and self._tokens_s >= self._expected_cost_s

    def spend(self, cost_s: float, now: float) -> None:
        """Withdraws the duration of a probe (s)."""
        self._refill(now)
        self._tokens_s -= cost_s
        self._expected_cost_s = max(cost_s, _MIN_COST_S)
        self.spent_s += cost_s

    def _refill(self, now: float) -> None:
        capacity_s = max(self._rate * BURST_S, self._expected_cost_s)
        gained_s = self._rate * (now - self._refilled_at)
        self._tokens_s = min(capacity_s, self._tokens_s + gained_s)
        self._refilled_at = now
