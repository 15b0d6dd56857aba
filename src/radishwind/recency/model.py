"""Values of the slice."""

import msgspec

#: How far the clocks of two machines run apart, as a part of the time passed:
#: each is slewed by at most 500 ppm and drifts by no more beside that.
_CLOCK_RATES = 0.002

#: One tick of a coarse clock (s).
_GRANULARITY_S = 0.01


class FreshnessProof(msgspec.Struct, frozen=True):
    """What the store's newest configuration was, and when.

    Attributes:
      as_of: monotonic time (s) of the node that holds it; versions that the
        store answered before were no higher than `version`.
      version: of the configuration.
    """

    as_of: float
    version: int


class ProofSchedule(msgspec.Struct, frozen=True):
    """When a node does what, by the age of its proof.

    Each is a part of the bound, so that what fails once can be tried with
    others several times before the bound is over.

    Attributes:
      bound_s: a key may run no later than this after it was taken away (s).
    """

    bound_s: float

    @property
    def limit_s(self) -> float:
        """From this age on a proof counts for nothing (s)."""
        return self.bound_s * (1 - _CLOCK_RATES) - _GRANULARITY_S

    @property
    def read_at_s(self) -> float:
        """The first of all nodes reads the store at this age (s)."""
        return 0.3 * self.bound_s

    @property
    def relay_at_s(self) -> float:
        """Nodes that others ask do so themselves at this age (s)."""
        return 0.4 * self.bound_s

    @property
    def ask_at_s(self) -> float:
        """All others ask at this age (s)."""
        return 0.5 * self.bound_s

    @property
    def hurry_at_s(self) -> float:
        """Several are asked at once from this age on (s)."""
        return 0.7 * self.bound_s

    @property
    def round_gap_s(self) -> float:
        """Between the end of a round of questions in vain and the next (s)."""
        return 0.05 * self.bound_s

    def turn_s(self, place: int) -> float:
        """Returns the age at which a node reads the store itself (s).

        The first does it regularly. The others follow in its place, few at
        first, so that a store that answers nobody isn't asked by all at once.

        Args:
          place: of the node in the order of all, from 0.
        """
        if place == 0:
            return self.read_at_s
        if place < 8:
            return (0.4 + 0.05 * place.bit_length()) * self.bound_s
        return (0.65 if place < 16 else 0.85) * self.bound_s

    @property
    def alone_turn_s(self) -> float:
        """The same for a node whose questions nobody answers (s)."""
        return 0.6 * self.bound_s
