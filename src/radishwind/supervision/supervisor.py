"""Starts duties, and starts them again after an error."""

from collections.abc import Iterable
import random

import anyio
import anyio.abc

from radishwind.core.backoff import Backoff
from radishwind.core.clock import Clock
from radishwind.supervision.cancellation import is_cancelled
from radishwind.supervision.duty import Duty
from radishwind.supervision.duty import DutyEndedError
from radishwind.supervision.duty import DutyStatus
from radishwind.supervision.failure_log import FailureLog

#: Errors that end the process wherever they are raised.
_ENDS_PROCESS = (KeyboardInterrupt, SystemExit)

#: Bounds of the pause before a duty is started again (s). The longest one
#: keeps a duty that always fails from loading the node or the store.
INITIAL_PAUSE_S = 0.1
MAX_PAUSE_S = 10.0

#: A duty that ran for longer than this before an error starts again after the
#: shortest pause (s).
STEADY_RUN_S = 20.0


class Supervisor:
    """Runs duties; restarts them after errors, with an exponential backoff."""

    def __init__(
        self, clock: Clock, rng: random.Random, failures: FailureLog
    ) -> None:
        """Creates a supervisor without duties.

        Args:
          clock: the clock.
          rng: randomizes the pauses.
          failures: logs and counts the errors.
        """
        self._clock = clock
        self._rng = rng
        self._failures = failures
        self._is_running: dict[str, bool] = {}

    def statuses(self) -> tuple[DutyStatus, ...]:
        """Returns the state of each duty that has not ended as it should."""
        counts = self._failures.counts
        errors = self._failures.last_errors
        return tuple(
            DutyStatus(
                name, is_running, counts.get(name, 0), errors.get(name, "")
            )
            for name, is_running in self._is_running.items()
        )

    def error_counts(self) -> dict[str, int]:
        """Returns the number of errors contained, by name.

        A duty has a count from its start on.
        """
        return {**dict.fromkeys(self._is_running, 0), **self._failures.counts}

    def start(self, tasks: anyio.abc.TaskGroup, duties: Iterable[Duty]) -> None:
        """Runs `duties` in `tasks` until they are cancelled."""
        for duty in duties:
            self._is_running[duty.name] = False
            tasks.start_soon(self.run, duty, name=duty.name)

    async def run(self, duty: Duty) -> None:
        """Runs `duty` until it is cancelled, or has ended as it may."""
        backoff = Backoff(self._rng, INITIAL_PAUSE_S, MAX_PAUSE_S)
        while True:
            started_at = self._clock.monotonic()
            error = await self._run_once(duty)
            if error is None:
                del self._is_running[duty.name]
                return
            if self._clock.monotonic() - started_at >= STEADY_RUN_S:
                backoff.record_success()
            pause_s = backoff.record_failure()
            self._failures.record_duty(duty.name, error, pause_s)
            await anyio.sleep(pause_s)

    async def _run_once(self, duty: Duty) -> BaseException | None:
        """Runs `duty` once; returns its error."""
        self._is_running[duty.name] = True
        try:
            await duty.run()
        except Exception as exc:
            return exc
        except BaseException as exc:
            # A cancellation may be that of something the duty waited for.
            if isinstance(exc, _ENDS_PROCESS) or is_cancelled():
                raise
            return exc
        finally:
            self._is_running[duty.name] = False
        return None if duty.may_end else DutyEndedError()
