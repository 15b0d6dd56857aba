"""The quarantine as seen by the entry side and the target side of a node."""

import abc
from collections.abc import Sequence
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import xxhash

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError
from radishwind.decoding.sizes import MAX_RUMOR_VALUE_BYTES
from radishwind.membership.rumor_bus import RumorBus
from radishwind.outcomes.model import NotRun
from radishwind.quarantine.crash_detector import CrashSuspect
from radishwind.quarantine.fingerprint import fingerprint
from radishwind.quarantine.suspect_registry import QUARANTINE_S
from radishwind.quarantine.suspect_registry import Ruling
from radishwind.quarantine.suspect_registry import SuspectRegistry
from radishwind.quarantine.suspect_registry import SuspectReport
from radishwind.telemetry.part_logger import PartLogger

if TYPE_CHECKING:
    from radishwind.entry.call import Call

#: Topic of the suspect reports on the rumor bus.
TOPIC = "quarantine"

_decoder = JsonDecoder[SuspectReport](
    SuspectReport, "a suspect report", MAX_RUMOR_VALUE_BYTES
)


class QuarantineCheck(abc.ABC):
    """Decides before an attempt whether a call is refused by all targets."""

    @abc.abstractmethod
    def refusal(self, call: "Call") -> NotRun | None:
        """Returns the refusal of `call` if it is quarantined, else `None`."""


class NoQuarantine(QuarantineCheck):
    """Refuses no call."""

    def refusal(self, call: "Call") -> NotRun | None:
        return None


class Quarantine(QuarantineCheck):
    """Tracks the suspects of each service by the reports of all targets.

    Reports are exchanged between nodes over the rumor bus.
    """

    def __init__(
        self, *, target: str, service: str, clock: Clock, rumor_bus: RumorBus
    ) -> None:
        self._target = target
        self._service = service
        self._clock = clock
        self._rumor_bus = rumor_bus
        self._registries: dict[str, SuspectRegistry] = {}
        self._log = PartLogger("quarantine", clock)
        rumor_bus.subscribe(TOPIC, self._handle_rumor)

    def set_service(self, service: str) -> None:
        """Sets the service of the local server."""
        self._service = service

    def refusal(self, call: "Call") -> NotRun | None:
        registry = self._registries.get(call.service)
        if not registry:
            return None
        now = self._clock.monotonic()
        verdict = registry.judge(fingerprint(call.request), now)
        if verdict.ruling is not Ruling.REFUSE:
            return None
        return NotRun(
            ResultCode.QUARANTINED,
            "Servers crashed during this request; it is refused for a while.",
            round(verdict.retry_after_s, 3),
        )

    def must_run_alone(self, call: "Call") -> bool:
        """Returns whether `call` may run only if nothing else runs."""
        registry = self._registries.get(call.service)
        if not registry:
            return call.suspect
        now = self._clock.monotonic()
        verdict = registry.judge(fingerprint(call.request), now)
        return call.suspect or verdict.ruling is not Ruling.RUN

    def record_crash(self, suspects: Sequence[CrashSuspect]) -> None:
        """Reports to all nodes what was running when the local server crashed.

        Does nothing if nothing was running.
        """
        if not suspects:
            return
        self._log.error(
            "The server crashed; the requests that it ran are suspects.",
            suspects=" ".join(s.fingerprint for s in suspects),
        )
        now_ms = self._clock.wall_ms()
        for suspect in suspects:
            self._publish(
                SuspectReport(
                    suspect.fingerprint,
                    self._target,
                    now_ms,
                    suspect.ran_alone,
                    incarnation=suspect.incarnation,
                )
            )

    def record_safe_run(self, call: "Call") -> None:
        """Reports that `call` ran alone without a crash, if it is a suspect."""
        registry = self._registries.get(call.service)
        if not registry:
            return
        clearance = registry.clearance(fingerprint(call.request), self._target)
        if clearance is not None:
            self._publish(clearance)

    def status(self) -> dict[str, Any]:
        """Returns the fingerprints that are refused, by service."""
        now = self._clock.monotonic()
        registries = self._registries.items()
        return {
            service: list(registry.refused_fingerprints(now))
            for service, registry in registries
        }

    def _publish(self, report: SuspectReport) -> None:
        self._apply(self._service, report)
        self._rumor_bus.publish(
            TOPIC,
            f"{self._service}/{report.fingerprint}/{_report_key(report)}",
            self._clock.wall_ms(),
            msgspec.json.encode(report),
            QUARANTINE_S,
        )

    def _handle_rumor(self, key: str, value: bytes) -> None:
        service = key.partition("/")[0]
        try:
            self._apply(service, _decoder.decode(value))
        except MalformedInputError as exc:
            self._log.warning(
                "Ignored a malformed suspect report.", reason=str(exc)
            )

    def _apply(self, service: str, report: SuspectReport) -> None:
        registry = self._registries.setdefault(service, SuspectRegistry())
        registry.apply(report, self._clock.monotonic())


def _report_key(report: SuspectReport) -> str:
    """Returns what tells reports on one fingerprint apart.

    A crash must not replace an earlier one, since each of them counts.
    """
    if not report.crashed_ms:
        return f"{report.target}/clear"
    return f"{xxhash.xxh3_64_hexdigest(repr(report.crash).encode())}/crash"
