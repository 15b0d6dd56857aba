"""Relies on the configuration only while a recent proof of it is held."""

from collections.abc import Callable
import math
import random

from radishwind.core.freshness import Freshness
from radishwind.recency.model import FreshnessProof
from radishwind.recency.model import ProofSchedule

#: Proofs stored for versions that are not in force at this node yet.
_MAX_PENDING_PROOFS = 8

#: Bounds of the retry delay that callers are given.
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 2.0

#: The retry delay is extended at random by up to this fraction: all callers of
#: a node are refused at the same time, and should not all return at once.
_RETRY_JITTER = 0.5


class BoundedFreshness(Freshness):
    """Fresh while the proof of what is in force is younger than a bound."""

    def __init__(
        self,
        max_age_s: float,
        age_s: Callable[[float], float],
        rng: random.Random,
        on_stale: Callable[[], None],
    ) -> None:
        """Creates the freshness.

        Args:
          max_age_s: age at which a proof expires (s).
          age_s: returns the age of the proof at a monotonic time (s).
          rng: random source for retry delays.
          on_stale: called when freshness was checked and the proof had expired.
        """
        self._max_age_s = max_age_s
        self._age_s = age_s
        self._rng = rng
        self._on_stale = on_stale

    def is_fresh(self, now: float) -> bool:
        if self._age_s(now) < self._max_age_s:
            return True
        self._on_stale()
        return False

    def retry_s(self, now: float) -> float:
        """Returns after how long a proof is likely to be available (s).

        An outage is presumed to last as long again as it has lasted so far.
        """
        age_s = self._age_s(now)
        outage_s = age_s - self._max_age_s if age_s < math.inf else 0.0
        wait_s = min(max(outage_s, _MIN_RETRY_S), _MAX_RETRY_S)
        return wait_s * self._rng.uniform(1, 1 + _RETRY_JITTER)


class ProvenFreshness(Freshness):
    """Fresh while the version in force is proven to be recent.

    Attributes:
      on_stale: called when freshness was checked and the proof had expired.
    """

    def __init__(
        self,
        schedule: ProofSchedule,
        version: Callable[[], int],
        rng: random.Random,
    ) -> None:
        """Creates an instance without a proof.

        Args:
          schedule: defines the age at which a proof expires.
          version: returns the version in force, which never decreases.
          rng: random source for retry delays.
        """
        self._version = version
        self._rng = rng
        self._current: FreshnessProof | None = None
        self._pending: list[FreshnessProof] = []
        self._own = self.within(schedule.bound_s)
        self.on_stale: Callable[[], None] = _ignore_stale

    def is_fresh(self, now: float) -> bool:
        return self._own.is_fresh(now)

    def retry_s(self, now: float) -> float:
        return self._own.retry_s(now)

    def within(self, bound_s: float) -> BoundedFreshness:
        """Returns the freshness by the same proofs with another bound.

        Args:
          bound_s: longest time that a replaced version may be relied on (s).
        """
        return BoundedFreshness(
            ProofSchedule(bound_s).max_age_s,
            self.age_s,
            self._rng,
            lambda: self.on_stale(),
        )

    def age_s(self, now: float) -> float:
        """Returns the age of the proof of the version in force (s).

        Infinite before the first proof.
        """
        self._apply_pending()
        return now - self._current.as_of if self._current else math.inf

    def newest(self) -> FreshnessProof | None:
        """Returns the newest proof, whether or not its version is in force."""
        self._apply_pending()
        return self._pending[-1] if self._pending else self._current

    def accept(self, proof: FreshnessProof) -> bool:
        """Stores a proof; returns whether it is the newest so far."""
        newest = self.newest()
        if newest is not None and proof.as_of <= newest.as_of:
            # An older proof is useful if its version is in force already.
            if proof.version <= self._version():
                self._set_current(proof)
            return False
        if len(self._pending) >= _MAX_PENDING_PROOFS:
            self._pending.pop()
        self._pending.append(proof)
        self._apply_pending()
        return True

    def _apply_pending(self) -> None:
        """Applies the newest pending proof whose version is in force now."""
        if not self._pending:
            return
        version = self._version()
        for index in range(len(self._pending) - 1, -1, -1):
            if self._pending[index].version <= version:
                self._set_current(self._pending[index])
                del self._pending[: index + 1]
                return

    def _set_current(self, proof: FreshnessProof) -> None:
        if self._current is None or proof.as_of > self._current.as_of:
            self._current = proof


def _ignore_stale() -> None:
    """Default of `on_stale`."""
