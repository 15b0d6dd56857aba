"""Counts of each service's requests by minute, kept by the entry node.

Instances keep nothing, so the counts of a node are gone with it; a report over
the fleet loses the share of the callers that used that node.
"""

import msgspec

from radishwind.core.clock import Clock
from radishwind.entry.call import Call
from radishwind.entry.observer import CallObserver
from radishwind.http.types import is_server_error
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import Outcome

#: Minutes kept.
KEPT_MINUTES = 360

#: Services kept; a node that calls more counts only these.
KEPT_SERVICES = 256


class MinuteCounts(msgspec.Struct, array_like=True):
    """One minute of one service.

    Attributes:
      minute: minutes since the epoch, UTC.
      requests: requests answered in any way.
      failed: of these, not answered by a server or with status 500 and above.
      slow: of these, answered later than the latency objective.
    """

    minute: int
    requests: int = 0
    failed: int = 0
    slow: int = 0

    def add(self, other: "MinuteCounts") -> None:
        """Adds the requests that `other` counted."""
        self.requests += other.requests
        self.failed += other.failed
        self.slow += other.slow


class ServiceMinutes(msgspec.Struct, frozen=True):
    """The minutes of one service, with the objectives they count against.

    Attributes:
      service: the service.
      latency_target: share of requests that must not be slow.
      success_target: share of requests that must not fail.
      latency_objective_ms: what counts as slow (ms).
      minutes: the counts, oldest first.
    """

    service: str
    latency_target: float
    success_target: float
    latency_objective_ms: int
    minutes: list[MinuteCounts]


class BurnLedger(CallObserver):
    """Counts calls as they end."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._services: dict[str, ServiceMinutes] = {}

    def finished(self, call: Call, outcome: Outcome, elapsed_s: float) -> None:
        counts = self._counts(call)
        if counts is None:
            return
        counts.requests += 1
        counts.failed += _failed(outcome)
        if elapsed_s * 1000 > call.rules.latency_objective_ms:
            counts.slow += 1

    def services(self) -> list[ServiceMinutes]:
        """Returns what is counted, by service."""
        return [self._services[name] for name in sorted(self._services)]

    def _counts(self, call: Call) -> MinuteCounts | None:
        entry = self._entry(call)
        if entry is None:
            return None
        minute = int(self._clock.now().timestamp()) // 60
        minutes = entry.minutes
        if not minutes or minutes[-1].minute < minute:
            minutes.append(MinuteCounts(minute))
            del minutes[:-KEPT_MINUTES]
        return minutes[-1]

    def _entry(self, call: Call) -> ServiceMinutes | None:
        """Returns the minutes of the service, told by the rules in force."""
        entry = self._services.get(call.service)
        if entry is None:
            if len(self._services) >= KEPT_SERVICES:
                return None
            entry = _with_rules(call, [])
        elif (
            entry.latency_target != call.rules.latency_target
            or entry.success_target != call.rules.success_target
            or entry.latency_objective_ms != call.rules.latency_objective_ms
        ):
            entry = _with_rules(call, entry.minutes)
        self._services[call.service] = entry
        return entry


def _failed(outcome: Outcome) -> bool:
    if not isinstance(outcome, Done):
        return True
    return is_server_error(outcome.response.status)


def _with_rules(call: Call, minutes: list[MinuteCounts]) -> ServiceMinutes:
    return ServiceMinutes(
        call.service,
        call.rules.latency_target,
        call.rules.success_target,
        call.rules.latency_objective_ms,
        minutes,
    )


def totals(minutes: list[MinuteCounts], since: int) -> MinuteCounts:
    """Returns the sum of the minutes from `since` on (min since the epoch)."""
    total = MinuteCounts(since)
    for counts in minutes:
        if counts.minute >= since:
            total.add(counts)
    return total


def merged(ledgers: list[list[MinuteCounts]]) -> list[MinuteCounts]:
    """Returns the sum of several nodes' minutes, oldest first."""
    sums: dict[int, MinuteCounts] = {}
    for minutes in ledgers:
        for counts in minutes:
            total = sums.setdefault(counts.minute, MinuteCounts(counts.minute))
            total.add(counts)
    return [sums[minute] for minute in sorted(sums)]
