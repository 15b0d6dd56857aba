"""Connects a node's target side: server, admission, probing, quarantine."""

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
from radishwind.node.node_telemetry import NodeTelemetry
from radishwind.probing import HealthEstimator
from radishwind.probing import Prober
from radishwind.quarantine import Quarantine
from radishwind.settings import NodeSettings
from radishwind.supervision import Duty
from radishwind.target import AnnouncementHandler
from radishwind.target import BackendServer
from radishwind.target import ExchangeRecorder
from radishwind.target import TargetPipeline

#: Requests sent to the server beyond its slots
#: (`docs/design/06-admission.md`).
OVERCOMMIT_REQUESTS = 2


class TargetSide:
    """The components that handle the local backend server, and their tasks.

    Attributes:
      quarantine: quarantine of requests under which servers crashed.
      pipeline: sends requests to the server.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        sender: Sender,
        probe_sender: Sender,
        rumor_bus: RumorBus,
        on_ready_changed: Callable[[bool], None],
    ) -> None:
        """Creates the components; `run` starts the probes.

        Args:
          settings: settings of the node.
          clock: the clock.
          sender: sends requests to the server.
          probe_sender: sends probes to the server. Their responses name no
            request, so that a late one must not meet a request.
          rumor_bus: shares crash reports with other nodes.
          on_ready_changed: called when the server begins or ceases to take new
            work.
        """
        self._settings = settings
        self._clock = clock
        self._server = BackendServer(
            settings.target, settings.server, on_ready_changed
        )
        self._admission: Admission = FairAdmission()
        self.quarantine = Quarantine(
            target=settings.target,
            service=settings.service,
            clock=clock,
            rumor_bus=rumor_bus,
        )
        health = HealthEstimator()
        self._recorder = ExchangeRecorder(
            clock, health, self.quarantine, self._server
        )
        self._prober = Prober(
            clock=clock,
            sender=probe_sender,
            server=self._server,
            admission=self._admission,
            health=health,
            on_connect_failed=self._recorder.record_server_down,
        )
        self.pipeline = TargetPipeline(
            clock=clock,
            admission=self._admission,
            sender=sender,
            server=self._server,
            recorder=self._recorder,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the server has announced itself and takes new work."""
        return self._server.is_ready

    def duties(self) -> tuple[Duty, ...]:
        """Returns the duty that probes the server."""
        return (Duty("target.probes", self._prober.run),)

    def add_to(self, admin: AdminListener) -> None:
        """Registers the paths and status fields with the admin listener."""
        announcements = AnnouncementHandler(
            self._clock, self._server, self._recorder.record_restart
        )
        admin.add("POST", "/v1/server", announcements.handle)
        admin.add_status(self._status)

    def add_metrics(self, telemetry: NodeTelemetry) -> None:
        """Registers the metrics of the target side."""
        telemetry.gauge(
            "target.requests",
            "{request}",
            "Requests at the server and waiting for a slot.",
            lambda: {
                "in_flight": self._admission.in_flight,
                "queued": self._admission.queued,
            },
        )
        telemetry.counter(
            "target.attempts",
            "{attempt}",
            "Attempts by outcome, those refused by code.",
            self.pipeline.outcome_counts,
        )
        telemetry.counter(
            "target.time",
            "s",
            "Time spent waiting for a slot, and time that probes cost.",
            lambda: {
                "queue_wait": self.pipeline.queue_wait_s,
                "probe": self._prober.cost_s,
            },
        )

    def apply_config(self, index: ConfigIndex) -> None:
        """Applies the limits of a configuration that came into force."""
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
