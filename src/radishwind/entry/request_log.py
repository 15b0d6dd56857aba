"""A log line for each request whose end an operator may be asked about.

Requests that were refused, failed, late or tried more than once are told, up
to a bound a second; of the usual ones every so many. What is held back is
counted and told with the next line.
"""

from radishwind.core.clock import Clock
from radishwind.entry.call import Call
from radishwind.entry.call import CallRejectedError
from radishwind.entry.observer import CallObserver
from radishwind.http.types import is_server_error
from radishwind.outcomes import Done
from radishwind.outcomes import Outcome
from radishwind.telemetry.logs import PartLogger

#: Lines a second for requests that were not usual (1/s): a bound
#: chosen, not measured; the cost of a line is still to be measured.
MOST_PER_S = 50.0

#: One of so many usual requests is told.
USUAL_EVERY = 256


class RequestLog(CallObserver):
    """Tells what became of requests, within a bound."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._log = PartLogger("entry", clock)
        self._tokens = MOST_PER_S
        self._filled = clock.monotonic()
        self._held_back = 0
        self._usual = 0

    def finished(self, call: Call, outcome: Outcome, elapsed_s: float) -> None:
        now = self._clock.monotonic()
        if _is_usual(call, outcome, now):
            self._usual += 1
            if self._usual % USUAL_EVERY:
                return
        elif not self._may_tell(now):
            self._held_back += 1
            return
        held_back, self._held_back = self._held_back, 0
        self._log.change(
            f"Answered a request: {_kind(outcome)}.",
            request=call.call_id,
            route=call.route,
            service=call.service,
            account=call.account or None,
            priority=call.priority,
            code=_code(outcome),
            why=_why(outcome),
            elapsed_ms=round(elapsed_s * 1000, 1),
            aim_left_ms=round((call.aim - now) * 1000, 1),
            steps="; ".join(call.steps),
            held_back=held_back or None,
        )

    def disconnected(self, call: Call, elapsed_s: float) -> None:
        now = self._clock.monotonic()
        if not self._may_tell(now):
            self._held_back += 1
            return
        held_back, self._held_back = self._held_back, 0
        self._log.change(
            "A caller left before its answer.",
            request=call.call_id,
            route=call.route,
            service=call.service,
            account=call.account or None,
            priority=call.priority,
            elapsed_ms=round(elapsed_s * 1000, 1),
            aim_left_ms=round((call.aim - now) * 1000, 1),
            steps="; ".join(call.steps),
            held_back=held_back or None,
        )

    def rejected(self, exc: CallRejectedError) -> None:
        if not self._may_tell(self._clock.monotonic()):
            self._held_back += 1
            return
        held_back, self._held_back = self._held_back, 0
        # Without the error's text, which may hold what the caller sent.
        self._log.change(
            "Rejected a request.",
            request=exc.call_id,
            code=int(exc.code),
            held_back=held_back or None,
        )

    def _may_tell(self, now: float) -> bool:
        gained = (now - self._filled) * MOST_PER_S
        self._tokens = min(MOST_PER_S, self._tokens + gained)
        self._filled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def _is_usual(call: Call, outcome: Outcome, now: float) -> bool:
    if not isinstance(outcome, Done) or len(call.steps) > 1:
        return False
    return now <= call.aim and not is_server_error(outcome.response.status)


def _kind(outcome: Outcome) -> str:
    if isinstance(outcome, Done):
        return "done"
    return type(outcome).__name__


def _code(outcome: Outcome) -> int:
    if isinstance(outcome, Done):
        return outcome.response.status
    return int(outcome.code)


def _why(outcome: Outcome) -> str:
    return "" if isinstance(outcome, Done) else outcome.detail
