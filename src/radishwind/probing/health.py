"""Estimates the health of the server by its responses and by probes."""

#: Weight of the latest result in the estimate.
_SMOOTHING = 0.2

#: Half-life of the failure rate without further results (s), so that a failing
#: server gets some requests again by which it can prove its recovery.
HALF_LIFE_S = 5.0

#: No probe is needed within this time after a response to a request (s).
QUIET_AFTER_S = 1.0

#: A successful probe counts only if no request failed within this time (s).
FAILURE_PRECEDENCE_S = 10.0


class HealthEstimator:
    """Keeps an exponentially weighted failure rate of the server.

    A failed probe lowers the score of a server without requests. A successful
    probe does not raise it against recent failures of requests, since health
    endpoints can report a failing server as healthy.
    """

    def __init__(self) -> None:
        self._failure_rate = 0.0
        self._updated = 0.0
        self._last_response = -FAILURE_PRECEDENCE_S
        self._last_failure = -FAILURE_PRECEDENCE_S
        self._last_result_failed = False

    @property
    def last_result_failed(self) -> bool:
        """Whether the latest result was a failure; a probe is due soon then."""
        return self._last_result_failed

    def is_quiet(self, now: float) -> bool:
        """Returns whether there was no recent response to a request."""
        return now - self._last_response >= QUIET_AFTER_S

    def record_response(self, ok: bool, now: float) -> None:
        """Records whether a request succeeded."""
        self._last_response = now
        if not ok:
            self._last_failure = now
        self._last_result_failed = not ok
        self._update(0.0 if ok else 1.0, now)

    def record_probe(self, ok: bool, now: float) -> None:
        """Records whether a probe succeeded."""
        if not ok:
            self._last_result_failed = True
            self._update(1.0, now)
            return
        self._last_result_failed = False
        if now - self._last_failure >= FAILURE_PRECEDENCE_S:
            self._update(0.0, now)

    def reset(self, now: float) -> None:
        """Resets the estimate after a restart of the server."""
        self._failure_rate = 0.0
        self._updated = now
        self._last_failure = now - FAILURE_PRECEDENCE_S
        self._last_result_failed = False

    def score(self, now: float) -> float:
        """Returns the health from 0 (all requests fail) to 1 (none fails)."""
        return 1.0 - self._failure_rate_at(now)

    def _update(self, failed: float, now: float) -> None:
        failure_rate = self._failure_rate_at(now)
        self._failure_rate = failure_rate + _SMOOTHING * (failed - failure_rate)
        self._updated = now

    def _failure_rate_at(self, now: float) -> float:
        if not self._failure_rate:
            return 0.0
        weight: float = 0.5 ** ((now - self._updated) / HALF_LIFE_S)
        return self._failure_rate * weight
