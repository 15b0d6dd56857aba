"""Decides how to treat suspected requests, by the crashes under them.

Every node keeps the same registry of a service by the same reports, so that all
nodes reach the same verdicts without asking each other.
"""

from collections.abc import Collection
import enum

import msgspec

from radishwind.decoding.numbers import NonNegativeInt

#: Time for which a request stays a suspect after one crash (s).
SUSPICION_S = 120.0

#: Time for which a request is refused that ran during several crashes, during
#: one of them alone (s).
QUARANTINE_S = 300.0

#: Time for which it is refused if it never ran alone during a crash (s). After
#: that it runs alone, to find out whether it crashes the server.
UNPROVEN_QUARANTINE_S = 5.0

#: Maximum number of fingerprints; beyond it the oldest are removed.
MAX_SUSPECTS = 1024

#: Crashes of different targets after which a request is refused. A crash of
#: another target is unlikely to have another cause.
_MIN_CRASHED_TARGETS = 2

#: Crashes after which it is refused, whichever targets crashed. In between it
#: ran alone, which clears a request that doesn't crash the server.
_MIN_CRASHES = 3

#: Crashes remembered of one request.
_MAX_CRASHES = 8


class Ruling(enum.Enum):
    """How to treat a request."""

    RUN = "run"
    RUN_ALONE = "run alone"
    REFUSE = "refuse"


class Verdict(msgspec.Struct, frozen=True):
    """A ruling; for a refusal also the time until it ends (s)."""

    ruling: Ruling
    retry_after_s: float = 0.0


RUN = Verdict(Ruling.RUN)
RUN_ALONE = Verdict(Ruling.RUN_ALONE)


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """Report of one target on a fingerprint: a crash, or a clearance.

    Attributes:
      fingerprint: of the request.
      target: the target that reports.
      crashed_ms: when the target crashed while the request was running (ms
        since the epoch, UTC); 0 in a clearance.
      ran_alone: whether no other request was running then.
      cleared_ms: the request ran alone without a crash, so that crashes up to
        this time (ms since the epoch, UTC) do not count any more; 0 in a report
        of a crash.
      incarnation: the process of the server that crashed; empty if unknown.
    """

    fingerprint: str
    target: str
    crashed_ms: NonNegativeInt = 0
    ran_alone: bool = False
    cleared_ms: NonNegativeInt = 0
    incarnation: str = ""

    @property
    def crash(self) -> tuple[str, str]:
        """Identifies the crash: each process of a server crashes once."""
        return self.target, self.incarnation or str(self.crashed_ms)


class _Crash(msgspec.Struct, frozen=True):
    """A crash of a target while the request was running.

    Attributes:
      target: name of the target.
      at_ms: when it happened (ms since the epoch, UTC), by the target's clock.
      ran_alone: whether no other request was running.
      learned_at: when this node learned of it (monotonic s).
    """

    target: str
    at_ms: int
    ran_alone: bool
    learned_at: float


class _SuspectRecord(msgspec.Struct):
    """The reports on one fingerprint.

    Attributes:
      crashes: the crashes during the request, by target and process.
      cleared_ms: crashes up to this time (ms since the epoch, UTC) do not count
        any more; 0 if it was never cleared.
      updated_at: when the last report arrived (monotonic s).
    """

    crashes: dict[tuple[str, str], _Crash] = msgspec.field(default_factory=dict)
    cleared_ms: int = 0
    updated_at: float = 0.0


class SuspectRegistry:
    """The suspects of one service, by the reports of all of its targets."""

    def __init__(self) -> None:
        self._records: dict[str, _SuspectRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def apply(self, report: SuspectReport, now: float) -> None:
        """Applies a report of this or another node; idempotent.

        Args:
          report: the report.
          now: monotonic time (s).
        """
        record = self._records.get(report.fingerprint)
        if record is None:
            record = self._records[report.fingerprint] = _SuspectRecord()
        record.updated_at = now
        record.cleared_ms = max(record.cleared_ms, report.cleared_ms)
        if report.crashed_ms and report.crash not in record.crashes:
            record.crashes[report.crash] = _Crash(
                report.target, report.crashed_ms, report.ran_alone, now
            )
            while len(record.crashes) > _MAX_CRASHES:
                oldest = min(
                    record.crashes, key=lambda c: record.crashes[c].at_ms
                )
                del record.crashes[oldest]
        self._remove_excess(now)

    def judge(self, fingerprint: str, now: float) -> Verdict:
        """Returns how to treat a request with this fingerprint.

        Args:
          fingerprint: of the request.
          now: monotonic time (s).
        """
        record = self._records.get(fingerprint)
        if record is None:
            return RUN
        crashes = self._counted_crashes(record, now)
        if not crashes:
            return RUN
        if not _are_enough(crashes):
            return RUN_ALONE
        learned_at = max(c.learned_at for c in crashes)
        is_proven = any(c.ran_alone for c in crashes)
        until = learned_at + (
            QUARANTINE_S if is_proven else UNPROVEN_QUARANTINE_S
        )
        if now < until:
            return Verdict(Ruling.REFUSE, until - now)
        return RUN_ALONE

    def clearance(self, fingerprint: str, target: str) -> SuspectReport | None:
        """Returns the report by which `target` clears `fingerprint`.

        Returns:
          The report; `None` if there is no crash to be cleared.
        """
        record = self._records.get(fingerprint)
        if record is None or not record.crashes:
            return None
        latest_ms = max(c.at_ms for c in record.crashes.values())
        if latest_ms <= record.cleared_ms:
            return None
        return SuspectReport(fingerprint, target, cleared_ms=latest_ms)

    def refused_fingerprints(self, now: float) -> tuple[str, ...]:
        """Returns the fingerprints that are refused at `now` (monotonic s)."""
        return tuple(
            name
            for name in self._records
            if self.judge(name, now).ruling is Ruling.REFUSE
        )

    def _counted_crashes(
        self, record: _SuspectRecord, now: float
    ) -> list[_Crash]:
        """Returns the crashes that are neither cleared nor expired."""
        crashes = [
            c for c in record.crashes.values() if c.at_ms > record.cleared_ms
        ]
        max_age_s = QUARANTINE_S if _are_enough(crashes) else SUSPICION_S
        return [c for c in crashes if now - c.learned_at < max_age_s]

    def _remove_excess(self, now: float) -> None:
        """Removes expired records, and the oldest beyond `MAX_SUSPECTS`."""
        for name, record in list(self._records.items()):
            if now - record.updated_at >= QUARANTINE_S:
                del self._records[name]
        while len(self._records) > MAX_SUSPECTS:
            oldest = min(
                self._records, key=lambda n: self._records[n].updated_at
            )
            del self._records[oldest]


def _are_enough(crashes: Collection[_Crash]) -> bool:
    """Returns whether so many crashes condemn the request."""
    targets = {crash.target for crash in crashes}
    return len(targets) >= _MIN_CRASHED_TARGETS or len(crashes) >= _MIN_CRASHES
