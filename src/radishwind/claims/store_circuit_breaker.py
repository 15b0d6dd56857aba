"""Circuit breaker for calls to a store that failed."""

import random

from radishwind.core.backoff import Backoff

#: Upper bound of the time the breaker is open after the first failure, and
#: after any number of consecutive failures.
_INITIAL_OPEN_S = 0.25
_MAX_OPEN_S = 5.0

#: Lower bound of the retry delay that callers are asked to wait.
_MIN_RETRY_AFTER_S = 0.5


class StoreCircuitBreaker:
    """Circuit breaker with exponential back-off.

    It opens after a failure, for a time that doubles up to a limit with each
    consecutive failure. Then it is half-open: it allows a single trial call and
    refuses the others until that call has ended, so that a store that hangs
    delays one caller and not all of them.

    Args:
      rng: source of the jitter, which spreads the trial calls of the nodes.
    """

    def __init__(self, rng: random.Random) -> None:
        self._backoff = Backoff(rng, _INITIAL_OPEN_S, _MAX_OPEN_S)
        self._open_until = 0.0
        self._is_trial_running = False

    def try_acquire(self, now: float) -> bool:
        """Returns whether the store may be called at `now` (s).

        The result of each allowed call must be reported by `record_success` or
        `record_failure`.
        """
        if not self._backoff.failures:
            return True
        if self._is_trial_running or now < self._open_until:
            return False
        self._is_trial_running = True
        return True

    def record_success(self) -> None:
        """Closes the breaker: the store responded to a call."""
        self._backoff.record_success()
        self._is_trial_running = False

    def record_failure(self, now: float) -> None:
        """Opens the breaker: a call to the store failed at `now` (s)."""
        self._is_trial_running = False
        if now < self._open_until:
            return  # Concurrent calls fail together and count as one failure.
        self._open_until = now + self._backoff.record_failure()

    def retry_after_s(self, now: float) -> float:
        """Returns how long callers should wait before a retry (s)."""
        return max(_MIN_RETRY_AFTER_S, self._open_until - now)
