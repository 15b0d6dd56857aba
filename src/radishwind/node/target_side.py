"""Wires the target side of a node: server, admission, probing, quarantine."""

from collections.abc import Callable
from typing import Any

from radishwind.admission import Admission
from radishwind.admission import AdmissionLimits
from radishwind.admission import FairAdmission
from radishwind.config.index import ConfigIndex
from radishwind.core import Clock
from radishwind.http import Sender
from radishwind.membership import RumorBus
from radishwind.node.admin import AdminListener
from radishwind.node.observation import Observation
from radishwind.probing import HealthEstimator
from radishwind.probing import Prober
from radishwind.quarantine import Quarantine
from radishwind.settings import NodeSettings
from radishwind.target import AnnouncementHandler
from radishwind.target import BackendServer
from radishwind.target import ExchangeRecorder
from radishwind.target import TargetPipeline

#: Requests sent beyond the slots (`docs/design/06-admission.md`).
OVERCOMMIT_REQUESTS = 2


class TargetSide:
    """The parts that decide on the server beside, and their tasks."""

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        sender: Sender,
        rumor_bus: RumorBus,
        ready_changed: Callable[[bool], None],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._server = BackendServer(
            settings.target, settings.server, ready_changed
        )
        self._admission: Admission = FairAdmission()
        self.quarantine = Quarantine(
            target=settings.target,
            service=settings.service,
            clock=clock,
            rumor_bus=rumor_bus,
        )
        health = HealthEstimator()
        self._watch = ExchangeRecorder(clock, health, self.quarantine)
        self._prober = Prober(
            clock=clock,
            sender=sender,
            server=self._server,
            admission=self._admission,
            health=health,
            on_connect_failed=self._watch.record_server_down,
        )
        self.pipeline = TargetPipeline(
            clock=clock,
            admission=self._admission,
            sender=sender,
            server=self._server,
            recorder=self._watch,
        )

    @property
    def ready(self) -> bool:
        """Whether the server beside is known and takes new work."""
        return self._server.is_ready

    async def run(self) -> None:
        """Probes the server until cancelled."""
        await self._prober.run()

    def add_to(self, admin: AdminListener) -> None:
        """Adds the paths and status fields of the target side."""
        announcements = AnnouncementHandler(
            self._clock, self._server, self._watch.record_restart
        )
        admin.add("POST", "/v1/server", announcements.handle)
        admin.add_status(self._status)

    def add_metrics(self, observation: Observation) -> None:
        """Adds what the target side counts."""
        observation.gauge(
            "target.requests",
            "{request}",
            "Requests at the server and waiting for a slot.",
            lambda: {
                "in_flight": self._admission.in_flight,
                "queued": self._admission.queued,
            },
        )
        observation.counter(
            "target.attempts",
            "{attempt}",
            "Attempts by outcome, those refused by code.",
            self.pipeline.outcome_counts,
        )
        observation.counter(
            "target.time",
            "s",
            "Time spent waiting for a slot, and time that probes cost.",
            lambda: {
                "queue_wait": self.pipeline.queue_wait_s,
                "probe": self._prober.cost_s,
            },
        )

    def adopt(self, index: ConfigIndex) -> None:
        """Takes the limits of a configuration."""
        own = index.targets.get(self._settings.target)
        self._server.set_listed(own is not None)
        rules = index.cfg.rules.for_service(self._settings.service)
        limits = AdmissionLimits(
            slots=own.slots if own else 0,
            connections=own.connections if own else 0,
            overcommit=OVERCOMMIT_REQUESTS,
            max_queued=rules.queue_length,
            max_queue_wait_s=rules.queue_wait_ms / 1000,
            caller_weights=rules.caller_weights,
        )
        self._admission.set_limits(limits)
        self._prober.set_budget_share(rules.probe_share)

    def _status(self) -> dict[str, Any]:
        now = self._clock.monotonic()
        return {
            "server": self._server.status(now),
            "slots": self._admission.slots,
            "in_flight": self._admission.in_flight,
            "queued": self._admission.queued,
            "probing": self._prober.status(),
            "quarantine": self.quarantine.status(),
        }
