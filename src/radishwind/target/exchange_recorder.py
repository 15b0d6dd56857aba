"""Records the outcome of each exchange for health and crash detection."""

from radishwind.core.clock import Clock
from radishwind.entry.call import Call
from radishwind.http.types import is_server_error
from radishwind.outcomes.model import NotRun
from radishwind.probing.health import HealthEstimator
from radishwind.quarantine.crash_detector import CrashDetector
from radishwind.quarantine.quarantine import Quarantine
from radishwind.target.backend_server import BackendServer


class ExchangeRecorder:
    """Passes outcomes to health estimation, crash detection and quarantine."""

    def __init__(
        self,
        clock: Clock,
        health: HealthEstimator,
        quarantine: Quarantine,
        server: BackendServer,
    ) -> None:
        self._server = server
        self._clock = clock
        self._health = health
        self._quarantine = quarantine
        self._crashes = CrashDetector()

    def must_run_alone(self, call: Call) -> bool:
        """Returns whether `call` may run only if nothing else runs."""
        return self._quarantine.must_run_alone(call)

    def refusal(self, call: Call) -> NotRun | None:
        """Returns the refusal of `call` if it is quarantined, else `None`."""
        return self._quarantine.refusal(call)

    def health_score(self) -> float:
        """Returns the health of the server, from 0 (failing) to 1 (healthy)."""
        return self._health.score(self._clock.monotonic())

    def record_answer(self, call: Call, status: int, is_alone: bool) -> None:
        """Records a complete response.

        Args:
          call: the call that it answers.
          status: its HTTP status.
          is_alone: whether nothing else ran on the server meanwhile.
        """
        ok = not is_server_error(status)
        self._health.record_response(ok, self._clock.monotonic())
        if is_alone:
            self._quarantine.record_safe_run(call)

    def record_broken_exchange(self, call: Call) -> None:
        """Records an exchange that broke before its response was complete."""
        now = self._clock.monotonic()
        self._health.record_response(False, now)
        view = self._server.view
        self._crashes.record_broken_exchange(
            call.request, now, view.instance if view else ""
        )

    def record_timeout(self) -> None:
        """Records that the server did not respond by the deadline."""

    def record_shed(self) -> None:
        """Records that the server shed a request."""

    def record_connect_failure(self) -> None:
        """Records that the server did not accept a connection."""
        self._health.record_response(False, self._clock.monotonic())
        self.record_server_down()

    def record_server_down(self) -> None:
        """Records that the server is gone.

        Exchanges that broke shortly before are taken to have crashed it.
        """
        now = self._clock.monotonic()
        self._quarantine.record_crash(self._crashes.record_server_down(now))

    def record_restart(self) -> None:
        """Records a new start of the server."""
        self._health.reset(self._clock.monotonic())
        self.record_server_down()
