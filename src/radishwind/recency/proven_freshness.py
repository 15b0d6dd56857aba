"""The proof that a node holds, and whether it stands."""

from collections.abc import Callable
import math
import random

from radishwind.accounts import KeyFreshness
from radishwind.recency.model import FreshnessProof
from radishwind.recency.model import ProofSchedule

#: Proofs kept that speak of versions which this node hasn't got yet.
_MOST_AHEAD = 8

#: The shortest and the longest time to come back that is told (s).
_LEAST_RETRY_S = 0.1
_MOST_RETRY_S = 2.0

#: Part by which that time is made longer at random: all callers of a node are
#: refused at once, and need not come back at once.
_RETRY_SPREAD = 0.5


class ProvenFreshness(KeyFreshness):
    """Stands while the version in force is known to be recent.

    Attributes:
      on_stale: called where it was asked for and didn't stand.
    """

    def __init__(
        self,
        times: ProofSchedule,
        version: Callable[[], int],
        rng: random.Random,
    ) -> None:
        """Makes a proof that doesn't stand yet.

        Args:
          times: says how old it may become.
          version: returns the version in force, which only rises.
          rng: spreads the times to come back.
        """
        self._times = times
        self._version = version
        self._rng = rng
        self._held: FreshnessProof | None = None
        self._ahead: list[FreshnessProof] = []
        self.on_stale: Callable[[], None] = _nothing

    def is_fresh(self, now: float) -> bool:
        if self.age_s(now) < self._times.limit_s:
            return True
        self.on_stale()
        return False

    def retry_s(self, now: float) -> float:
        """Returns when proof is likely again (s).

        What has lasted for a while is likely to last as long again.
        """
        lapsed_s = 0.0
        if self._held is not None:
            lapsed_s = self.age_s(now) - self._times.limit_s
        wait_s = min(max(lapsed_s, _LEAST_RETRY_S), _MOST_RETRY_S)
        return wait_s * self._rng.uniform(1, 1 + _RETRY_SPREAD)

    def age_s(self, now: float) -> float:
        """Returns how old the proof of the version in force is (s).

        Infinite before the first one.
        """
        self._follow()
        return now - self._held.as_of if self._held else math.inf

    def newest(self) -> FreshnessProof | None:
        """Returns the newest proof, maybe of a version not in force here."""
        self._follow()
        return self._ahead[-1] if self._ahead else self._held

    def take(self, proof: FreshnessProof) -> bool:
        """Takes a proof; returns whether it is newer than what was held."""
        newest = self.newest()
        if newest is not None and proof.as_of <= newest.as_of:
            # An older one may still be of a version that is in force.
            if proof.version <= self._version():
                self._hold(proof)
            return False
        if len(self._ahead) >= _MOST_AHEAD:
            self._ahead.pop()
        self._ahead.append(proof)
        self._follow()
        return True

    def _follow(self) -> None:
        """Holds the newest proof of a version that is in force by now."""
        if not self._ahead:
            return
        version = self._version()
        for number in range(len(self._ahead) - 1, -1, -1):
            if self._ahead[number].version <= version:
                self._hold(self._ahead[number])
                del self._ahead[: number + 1]
                return

    def _hold(self, proof: FreshnessProof) -> None:
        if self._held is None or proof.as_of > self._held.as_of:
            self._held = proof


def _nothing() -> None:
    """Is told to where nobody wants to know."""
