"""How well the server does, by real answers first and probes second."""

#: The share that the newest answer has in the estimate.
_SMOOTHING = 0.2

#: After this time without news half of the distrust is gone (s), so that a
#: server that was bad gets a little work to show that it is well again.
HALF_LIFE_S = 5.0

#: Real answers younger than this make a probe needless (s).
SILENCE_S = 1.0

#: A probe's good word counts only if no real failure is younger (s).
OUTWEIGHS_S = 10.0


class HealthEstimator:
    """Keeps the recent share of failures.

    Probes can lower the trust in a server that nobody asks anything; they
    never raise it against recent real failures, since health endpoints lie.
    """

    def __init__(self) -> None:
        self._failing = 0.0
        self._updated = 0.0
        self._last_answer = -OUTWEIGHS_S
        self._last_failure = -OUTWEIGHS_S
        self._last_check_failed = False

    @property
    def last_check_failed(self) -> bool:
        """Whether the last news was bad, so that a probe helps soon."""
        return self._last_check_failed

    def is_quiet(self, now: float) -> bool:
        """Returns whether there was no recent real answer."""
        return now - self._last_answer >= SILENCE_S

    def record_response(self, ok: bool, now: float) -> None:
        """Takes what became of a real request."""
        self._last_answer = now
        if not ok:
            self._last_failure = now
        self._last_check_failed = not ok
        self._update(0.0 if ok else 1.0, now)

    def record_probe(self, ok: bool, now: float) -> None:
        """Takes what became of a probe."""
        if not ok:
            self._last_check_failed = True
            self._update(1.0, now)
            return
        self._last_check_failed = False
        if now - self._last_failure >= OUTWEIGHS_S:
            self._update(0.0, now)

    def reset(self, now: float) -> None:
        """Forgets what the server did before a new start."""
        self._failing = 0.0
        self._updated = now
        self._last_failure = now - OUTWEIGHS_S
        self._last_check_failed = False

    def score(self, now: float) -> float:
        """Returns 1 for a server that does well to 0 for one that fails."""
        return 1.0 - self._failing_at(now)

    def _update(self, failed: float, now: float) -> None:
        failing = self._failing_at(now)
        self._failing = failing + _SMOOTHING * (failed - failing)
        self._updated = now

    def _failing_at(self, now: float) -> float:
        if not self._failing:
            return 0.0
        faded: float = 0.5 ** ((now - self._updated) / HALF_LIFE_S)
        return self._failing * faded
