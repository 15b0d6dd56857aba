"""Learns from each exchange with the server: health, crashes, suspects."""

from radishwind.core.clock import Clock
from radishwind.entry.call import Call
from radishwind.http.types import is_server_error
from radishwind.outcomes.model import NotRun
from radishwind.probing.health import HealthEstimator
from radishwind.quarantine.crashes import CrashDetector
from radishwind.quarantine.gate import Quarantine


class ExchangeRecorder:
    """Hands what became of each exchange to those who learn from it."""

    def __init__(
        self, clock: Clock, health: HealthEstimator, quarantine: Quarantine
    ) -> None:
        self._clock = clock
        self._health = health
        self._quarantine = quarantine
        self._crashes = CrashDetector()

    def must_run_alone(self, call: Call) -> bool:
        """Returns whether `call` must run alone."""
        return self._quarantine.alone(call)

    def refusal(self, call: Call) -> NotRun | None:
        """Returns the refusal of `call`, if it is quarantined."""
        return self._quarantine.refusal(call)

    def fitness(self) -> float:
        """Returns 1 for a server that does well to 0 for one that fails."""
        return self._health.score(self._clock.monotonic())

    def record_answer(self, call: Call, status: int, alone: bool) -> None:
        """Takes a whole answer.

        Args:
          call: what it answers.
          status: its HTTP status.
          alone: whether nothing else ran on the server meanwhile.
        """
        ok = not is_server_error(status)
        self._health.record_response(ok, self._clock.monotonic())
        if alone:
            self._quarantine.ran_safely(call)

    def record_broken_exchange(self, call: Call) -> None:
        """Takes an exchange that broke off."""
        now = self._clock.monotonic()
        self._health.record_response(False, now)
        self._crashes.broke(call.request, now)

    def record_timeout(self) -> None:
        """Takes that the server did not answer by the deadline."""

    def record_shed(self) -> None:
        """Takes that the server refused a request."""

    def record_connect_failure(self) -> None:
        """Takes a connection that the server did not accept."""
        self._health.record_response(False, self._clock.monotonic())
        self.record_server_down()

    def record_server_down(self) -> None:
        """Takes that the server is not there; what broke before crashed it."""
        now = self._clock.monotonic()
        self._quarantine.crashed(self._crashes.gone(now))

    def record_restart(self) -> None:
        """Takes a new start of the server."""
        self._health.reset(self._clock.monotonic())
        self.record_server_down()
