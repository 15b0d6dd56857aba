"""The quarantine as the entry and target sides use it."""

import abc
from collections.abc import Sequence
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.membership.rumor_bus import RumorBus
from radishwind.outcomes.model import NotRun
from radishwind.quarantine.crash_detector import CrashSuspect
from radishwind.quarantine.fingerprint import fingerprint
from radishwind.quarantine.suspect_registry import QUARANTINE_S
from radishwind.quarantine.suspect_registry import Ruling
from radishwind.quarantine.suspect_registry import SuspectRegistry
from radishwind.quarantine.suspect_registry import SuspectReport
from radishwind.telemetry.logs import PartLogger

if TYPE_CHECKING:
    from radishwind.entry.call import Call

#: The topic of the facts between nodes.
TOPIC = "quarantine"

_decoder = msgspec.json.Decoder(SuspectReport)


class QuarantineCheck(abc.ABC):
    """Says before an attempt whether a request is refused everywhere."""

    @abc.abstractmethod
    def refusal(self, call: "Call") -> NotRun | None:
        """Returns the refusal of `call`, if it is quarantined."""


class NoQuarantine(QuarantineCheck):
    """Refuses nothing."""

    def refusal(self, call: "Call") -> NotRun | None:
        return None


class Quarantine(QuarantineCheck):
    """One book for each service called; facts come by the rumor bus."""

    def __init__(
        self, *, target: str, service: str, clock: Clock, rumor_bus: RumorBus
    ) -> None:
        self._target = target
        self._service = service
        self._clock = clock
        self._rumor_bus = rumor_bus
        self._books: dict[str, SuspectRegistry] = {}
        self._log = PartLogger("quarantine", clock)
        rumor_bus.subscribe(TOPIC, self._learn)

    def set_service(self, service: str) -> None:
        """Takes that the server beside now gives `service`."""
        self._service = service

    def refusal(self, call: "Call") -> NotRun | None:
        book = self._books.get(call.service)
        if not book:
            return None
        now = self._clock.monotonic()
        verdict = book.judge(fingerprint(call.request), now)
        if verdict.ruling is not Ruling.REFUSE:
            return None
        return NotRun(
            ResultCode.QUARANTINED,
            "Servers crashed under this request; it is refused for a while.",
            round(verdict.retry_after_s, 3),
        )

    def must_run_alone(self, call: "Call") -> bool:
        """Returns whether `call` must run alone."""
        book = self._books.get(call.service)
        if not book:
            return call.suspect
        now = self._clock.monotonic()
        verdict = book.judge(fingerprint(call.request), now)
        return call.suspect or verdict.ruling is not Ruling.RUN

    def record_crash(self, suspects: Sequence[CrashSuspect]) -> None:
        """Tells every node what ran when the server beside crashed."""
        if not suspects:
            return
        self._log.error(
            "The server crashed; what it ran is suspected.",
            suspects=" ".join(s.fingerprint for s in suspects),
        )
        now_ms = self._clock.wall_ms()
        for suspect in suspects:
            self._tell(
                SuspectReport(
                    suspect.fingerprint, self._target, now_ms, suspect.ran_alone
                )
            )

    def record_safe_run(self, call: "Call") -> None:
        """Clears a suspect that ran alone and harmed nothing."""
        book = self._books.get(call.service)
        if not book:
            return
        cleared = book.clearance(fingerprint(call.request), self._target)
        if cleared is not None:
            self._tell(cleared)

    def status(self) -> dict[str, Any]:
        """Returns what is refused, by service."""
        now = self._clock.monotonic()
        books = self._books.items()
        return {
            name: list(book.refused_fingerprints(now)) for name, book in books
        }

    def _tell(self, fact: SuspectReport) -> None:
        self._take(self._service, fact)
        kind = "crash" if fact.crashed_ms else "clear"
        self._rumor_bus.publish(
            TOPIC,
            f"{self._service}/{fact.fingerprint}/{self._target}/{kind}",
            self._clock.wall_ms(),
            msgspec.json.encode(fact),
            QUARANTINE_S,
        )

    def _learn(self, key: str, value: bytes) -> None:
        service = key.partition("/")[0]
        try:
            self._take(service, _decoder.decode(value))
        except msgspec.MsgspecError as exc:
            self._log.warning("A fact is malformed.", reason=str(exc))

    def _take(self, service: str, fact: SuspectReport) -> None:
        book = self._books.setdefault(service, SuspectRegistry())
        book.apply(fact, self._clock.monotonic())
