"""Freshness proofs, and the ages at which they are renewed."""

import msgspec

#: Largest difference between the clock rates of two machines, relative to the
#: time elapsed: each is slewed by at most 500 ppm, and drifts by at most as
#: much again.
_MAX_CLOCK_DRIFT = 0.002

#: Resolution of a coarse clock.
_CLOCK_TICK_S = 0.01


class FreshnessProof(msgspec.Struct, frozen=True):
    """Which configuration version was the newest in the store, and when.

    Attributes:
      as_of: monotonic time of the node that holds the proof (s); no version
        that the store returned before then was higher than `version`.
      version: version of the configuration.
    """

    as_of: float
    version: int


class ProofSchedule(msgspec.Struct, frozen=True):
    """Ages of its proof at which a node acts to renew it.

    All are fractions of the bound, so that a failed attempt can be repeated
    with other nodes several times before the bound is reached.

    Attributes:
      bound_s: longest time that a key may be accepted after its revocation (s).
    """

    bound_s: float

    @property
    def max_age_s(self) -> float:
        """Age at which a proof expires (s)."""
        return self.bound_s * (1 - _MAX_CLOCK_DRIFT) - _CLOCK_TICK_S

    @property
    def first_read_age_s(self) -> float:
        """Age at which the first node in the order reads the store (s)."""
        return 0.3 * self.bound_s

    @property
    def relay_query_age_s(self) -> float:
        """Age at which relays query other nodes (s)."""
        return 0.4 * self.bound_s

    @property
    def query_age_s(self) -> float:
        """Age at which nodes that are no relay query others (s)."""
        return 0.5 * self.bound_s

    @property
    def urgent_age_s(self) -> float:
        """Age from which on several nodes are queried at once (s)."""
        return 0.7 * self.bound_s

    @property
    def round_pause_s(self) -> float:
        """Pause between an unsuccessful round of queries and the next (s)."""
        return 0.05 * self.bound_s

    def read_age_s(self, position: int) -> float:
        """Returns the age at which a node reads the store itself (s).

        The first node does so regularly. The others follow in their order, few
        at first, so that they don't all call a store that answers none of them.

        Args:
          position: position of the node in the order of all, from 0.
        """
        if position == 0:
            return self.first_read_age_s
        if position < 8:
            return (0.4 + 0.05 * position.bit_length()) * self.bound_s
        return (0.65 if position < 16 else 0.85) * self.bound_s

    @property
    def isolated_read_age_s(self) -> float:
        """Age at which a node reads the store if no node answers it (s)."""
        return 0.6 * self.bound_s
