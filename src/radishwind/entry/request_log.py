"""Logs requests whose result an operator may need to look up.

Requests that were refused, failed, late or tried more than once are logged, up
to a rate limit. Of the ordinary requests only a sample is logged. The number of
suppressed lines is written with the next line.
"""

from radishwind.core.clock import Clock
from radishwind.entry.call import Call
from radishwind.entry.call import CallRejectedError
from radishwind.entry.observer import CallObserver
from radishwind.http.types import is_server_error
from radishwind.outcomes import Done
from radishwind.outcomes import Outcome
from radishwind.telemetry.part_logger import PartLogger

#: Maximum rate of lines for requests that are not ordinary (1/s); it bounds the
#: cost of logging in an overload.
MAX_LINES_PER_S = 50.0

#: One of this many ordinary requests is logged.
ORDINARY_SAMPLE_INTERVAL = 256


class RequestLog(CallObserver):
    """Logs the results of requests, with a rate limit."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._log = PartLogger("entry", clock)
        self._tokens = MAX_LINES_PER_S
        self._refilled_at = clock.monotonic()
        self._held_back = 0
        self._ordinary = 0

    def finished(self, call: Call, outcome: Outcome, elapsed_s: float) -> None:
        now = self._clock.monotonic()
        if _is_ordinary(call, outcome, now):
            self._ordinary += 1
            if self._ordinary % ORDINARY_SAMPLE_INTERVAL:
                return
        elif not self._take_token(now):
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
        if not self._take_token(now):
            self._held_back += 1
            return
        held_back, self._held_back = self._held_back, 0
        self._log.change(
            "A caller disconnected before its response.",
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
        if not self._take_token(self._clock.monotonic()):
            self._held_back += 1
            return
        held_back, self._held_back = self._held_back, 0
        # The text of the error is omitted: it may contain data of the caller.
        self._log.change(
            "Rejected a request.",
            request=exc.call_id,
            code=int(exc.code),
            held_back=held_back or None,
        )

    def _take_token(self, now: float) -> bool:
        gained = (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(MAX_LINES_PER_S, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def _is_ordinary(call: Call, outcome: Outcome, now: float) -> bool:
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
