"""Request counts per service and minute, kept by the entry node.

They are kept in memory only, because instances have no persistent storage: the
counts of a node are lost when it stops, and a report over the fleet then lacks
the requests of the callers that used that node.
"""

import msgspec

from radishwind.core.clock import Clock
from radishwind.decoding.numbers import NonNegativeFloat
from radishwind.decoding.numbers import NonNegativeInt
from radishwind.entry.call import Call
from radishwind.entry.observer import CallObserver
from radishwind.http.types import is_server_error
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import Outcome

#: Number of minutes kept per service.
MAX_MINUTES = 360

#: Number of services counted, which bounds the memory; further ones are not
#: counted.
MAX_SERVICES = 256


class MinuteCounts(msgspec.Struct, array_like=True):
    """Request counts of one service in one minute.

    Attributes:
      minute: start of the minute (minutes since the epoch, UTC).
      requests: number of requests, whatever their outcome.
      failed: of these, without a response of a server or with status >= 500.
      slow: of these, above the latency objective.
    """

    minute: NonNegativeInt
    requests: NonNegativeInt = 0
    failed: NonNegativeInt = 0
    slow: NonNegativeInt = 0

    def add(self, other: "MinuteCounts") -> None:
        """Adds the counts of `other`."""
        self.requests += other.requests
        self.failed += other.failed
        self.slow += other.slow


class ServiceMinutes(msgspec.Struct, frozen=True):
    """Request counts of one service, with its objectives.

    Attributes:
      service: name of the service.
      latency_target: fraction of requests that must not be slow.
      success_target: fraction of requests that must not fail.
      latency_objective_ms: latency above which a request is slow (ms).
      minutes: counts per minute, oldest first.
    """

    service: str
    latency_target: NonNegativeFloat
    success_target: NonNegativeFloat
    latency_objective_ms: NonNegativeInt
    minutes: list[MinuteCounts]


class BurnLedger(CallObserver):
    """Counts finished calls per service and minute."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._services: dict[str, ServiceMinutes] = {}

    def finished(self, call: Call, outcome: Outcome, elapsed_s: float) -> None:
        counts = self._counts(call)
        if counts is None:
            return
        counts.requests += 1
        counts.failed += _is_failure(outcome)
        if elapsed_s * 1000 > call.rules.latency_objective_ms:
            counts.slow += 1

    def services(self) -> list[ServiceMinutes]:
        """Returns the counts of all services, sorted by name."""
        return [self._services[name] for name in sorted(self._services)]

    def _counts(self, call: Call) -> MinuteCounts | None:
        entry = self._entry(call)
        if entry is None:
            return None
        minute = int(self._clock.now().timestamp()) // 60
        minutes = entry.minutes
        if not minutes or minutes[-1].minute < minute:
            minutes.append(MinuteCounts(minute))
            del minutes[:-MAX_MINUTES]
        return minutes[-1]

    def _entry(self, call: Call) -> ServiceMinutes | None:
        """Returns the counts of the called service with its current objectives.

        Returns `None` for a service beyond the limit.
        """
        entry = self._services.get(call.service)
        if entry is None:
            if len(self._services) >= MAX_SERVICES:
                return None
            entry = _make_entry(call, [])
        elif (
            entry.latency_target != call.rules.latency_target
            or entry.success_target != call.rules.success_target
            or entry.latency_objective_ms != call.rules.latency_objective_ms
        ):
            entry = _make_entry(call, entry.minutes)
        self._services[call.service] = entry
        return entry


def _is_failure(outcome: Outcome) -> bool:
    if not isinstance(outcome, Done):
        return True
    return is_server_error(outcome.response.status)


def _make_entry(call: Call, minutes: list[MinuteCounts]) -> ServiceMinutes:
    return ServiceMinutes(
        call.service,
        call.rules.latency_target,
        call.rules.success_target,
        call.rules.latency_objective_ms,
        minutes,
    )


def total_since(minutes: list[MinuteCounts], since: int) -> MinuteCounts:
    """Returns the total of the counts from minute `since` on."""
    total = MinuteCounts(since)
    for counts in minutes:
        if counts.minute >= since:
            total.add(counts)
    return total


def merge_minutes(node_minutes: list[list[MinuteCounts]]) -> list[MinuteCounts]:
    """Returns the sums per minute over several nodes, oldest first."""
    sums: dict[int, MinuteCounts] = {}
    for minutes in node_minutes:
        for counts in minutes:
            total = sums.setdefault(counts.minute, MinuteCounts(counts.minute))
            total.add(counts)
    return [sums[minute] for minute in sorted(sums)]
