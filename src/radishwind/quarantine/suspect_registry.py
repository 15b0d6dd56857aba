"""What is known of suspected requests in one service, and what follows.

Every node of the service keeps such a book and gets the same facts, so all
come to the same verdicts without asking one another.
"""

import enum

import msgspec

#: How long one crash makes a request a suspect (s).
SUSPICION_S = 120.0

#: How long a request is refused that was in flight at crashes of two targets,
#: at one of them alone (s).
QUARANTINE_S = 300.0

#: How long one is refused that never was alone; then it is tried alone (s).
UNPROVEN_QUARANTINE_S = 5.0

#: Fingerprints kept; the oldest give way.
MAX_SUSPECTS = 1024

_MIN_CRASHED_TARGETS = 2


class Ruling(enum.Enum):
    """What to do with a request."""

    RUN = "run"
    RUN_ALONE = "run alone"
    REFUSE = "refuse"


class Verdict(msgspec.Struct, frozen=True):
    """A ruling and, for a refusal, when to come back (s)."""

    ruling: Ruling
    retry_after_s: float = 0.0


RUN = Verdict(Ruling.RUN)
RUN_ALONE = Verdict(Ruling.RUN_ALONE)


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """What one target's node found out about a fingerprint.

    Attributes:
      fingerprint: of the request.
      target: who found it out.
      crashed_ms: when it was in flight at a crash there (ms since the epoch,
        UTC); 0 if it never was.
      alone: whether nothing else ran then.
      cleared_ms: it ran alone and harmed nothing; the crashes up to this time
        (ms since the epoch, UTC) do not count any more.
    """

    fingerprint: str
    target: str
    crashed_ms: int = 0
    ran_alone: bool = False
    cleared_ms: int = 0


class _Crash(msgspec.Struct, frozen=True):
    """A crash with the request in flight.

    Attributes:
      at_ms: when it was (ms since the epoch, UTC), by the clock there.
      alone: whether nothing else ran.
      learned: when this node heard of it (monotonic, s).
    """

    at_ms: int
    ran_alone: bool
    learned: float


class _Record(msgspec.Struct):
    """What is known of one fingerprint.

    Attributes:
      crashes: the last crash with it in flight, by target.
      cleared_ms: crashes up to this time (ms since the epoch, UTC) no longer
        count; 0 if it was never cleared.
      learned: when the last fact came (monotonic, s).
    """

    crashes: dict[str, _Crash] = msgspec.field(default_factory=dict)
    cleared_ms: int = 0
    learned: float = 0.0


class SuspectRegistry:
    """Judges fingerprints by the facts of all targets of a service."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def __len__(self) -> int:
        return len(self._records)

    def apply(self, fact: SuspectReport, now: float) -> None:
        """Takes a fact from this node or another; again does no harm."""
        record = self._records.get(fact.fingerprint)
        if record is None:
            record = self._records[fact.fingerprint] = _Record()
        record.learned = now
        record.cleared_ms = max(record.cleared_ms, fact.cleared_ms)
        known = record.crashes.get(fact.target)
        if fact.crashed_ms and (not known or known.at_ms < fact.crashed_ms):
            record.crashes[fact.target] = _Crash(
                fact.crashed_ms, fact.ran_alone, now
            )
        self._bound(now)

    def judge(self, fingerprint: str, now: float) -> Verdict:
        """Returns what to do with a request of this fingerprint."""
        record = self._records.get(fingerprint)
        if record is None:
            return RUN
        counting = self._counting(record, now)
        if not counting:
            return RUN
        if len(counting) < _MIN_CRASHED_TARGETS:
            return RUN_ALONE
        learned = max(c.learned for c in counting)
        proven = any(c.ran_alone for c in counting)
        until = learned + (QUARANTINE_S if proven else UNPROVEN_QUARANTINE_S)
        if now < until:
            return Verdict(Ruling.REFUSE, until - now)
        return RUN_ALONE

    def clearance(self, fingerprint: str, target: str) -> SuspectReport | None:
        """Returns the fact that clears `fingerprint`, if it needs clearing."""
        record = self._records.get(fingerprint)
        if record is None or not record.crashes:
            return None
        newest_ms = max(c.at_ms for c in record.crashes.values())
        if newest_ms <= record.cleared_ms:
            return None
        return SuspectReport(fingerprint, target, cleared_ms=newest_ms)

    def refused_fingerprints(self, now: float) -> tuple[str, ...]:
        """Returns the fingerprints that are refused now."""
        return tuple(
            name
            for name in self._records
            if self.judge(name, now).ruling is Ruling.REFUSE
        )

    def _counting(self, record: _Record, now: float) -> list[_Crash]:
        """Returns the crashes that are neither cleared nor lapsed."""
        crashes = [
            c for c in record.crashes.values() if c.at_ms > record.cleared_ms
        ]
        many = len(crashes) >= _MIN_CRASHED_TARGETS
        term_s = QUARANTINE_S if many else SUSPICION_S
        return [c for c in crashes if now - c.learned < term_s]

    def _bound(self, now: float) -> None:
        """Forgets what has lapsed; beyond the bound, the oldest."""
        for name, record in list(self._records.items()):
            if now - record.learned >= QUARANTINE_S:
                del self._records[name]
        while len(self._records) > MAX_SUSPECTS:
            oldest = min(self._records, key=lambda n: self._records[n].learned)
            del self._records[oldest]
