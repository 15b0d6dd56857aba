"""Wires the target side: the server beside, its slots, its load."""

from collections.abc import Callable
from collections.abc import Mapping
import math
import time

from radishwind.admission.admission import AdmissionLimits
from radishwind.admission.concurrency_estimator import CompletedRun
from radishwind.admission.concurrency_estimator import ConcurrencyEstimator
from radishwind.admission.deadline_admission import CONGESTION_THRESHOLD_S
from radishwind.admission.deadline_admission import DeadlineAdmission
from radishwind.admission.deadline_admission import OpenStartGate
from radishwind.core.clock import Clock
from radishwind.entry.nested_routes import LocalConcurrency
from radishwind.http.sender import Sender
from radishwind.membership.rumor_bus import RumorBus
from radishwind.probing.health import HealthEstimator
from radishwind.quarantine.quarantine import Quarantine
from radishwind.routes.evacuation import EvacuatedDomains
from radishwind.routes.model import RouteConfig
from radishwind.routes.model import ServiceInfo
from radishwind.settings.placed import PlacedSettings
from radishwind.sidecar.switches import ALL_ON
from radishwind.sidecar.switches import Switches
from radishwind.target.backend_server import ServerView
from radishwind.target.dialect import ResponseMetadata
from radishwind.target.dialect import ServerDialect
from radishwind.target.exchange_recorder import ExchangeRecorder
from radishwind.target.load_monitor import LoadMonitor
from radishwind.target.load_poller import LoadPoller
from radishwind.target.pace_gate import PaceGate
from radishwind.target.pipeline import TargetPipeline
from radishwind.target.registered_server import RegisteredServer
from radishwind.target.registered_server import Registration
from radishwind.target.run_time_estimator import RunTimeEstimator
from radishwind.target.verifying_exchange import VerifyingExchange
from radishwind.target.warmup_limiter import WarmupLimit
from radishwind.target.warmup_limiter import WarmupLimiter
from radishwind.telemetry.part_logger import PartLogger

#: Requests that may wait at one target: more than come before the deadline of
#: the first, so that only time refuses.
QUEUE_LENGTH = 256

#: The longest wait in the queue (s); the deadline of a request ends it before.
QUEUE_WAIT_S = 30.0

#: Slots taken before the server told how many it has.
FIRST_SLOTS = 4


class SidecarTarget:
    """The parts that decide on the server beside, and their task."""

    def __init__(
        self,
        *,
        settings: PlacedSettings,
        clock: Clock,
        sender: Sender,
        dialect: ServerDialect,
        rumor_bus: RumorBus,
        on_ready_changed: Callable[[bool], None],
        learns_for_others: Callable[[], bool],
        switches: Switches = ALL_ON,
        link_free_kbps: Callable[[], int] | None = None,
    ) -> None:
        """Wires the target side.

        Args:
          settings: of the node.
          clock: the clock.
          sender: sends to the server.
          dialect: makes requests for it and reads its answers.
          rumor_bus: tells what crashed the server.
          on_ready_changed: told whether the server takes new work.
          learns_for_others: returns whether this node learns of the server
            before it is used, and tells the other nodes of the service.
          switches: what is in use.
          link_free_kbps: returns what the link of the node has left (kbit/s).
        """
        self._switches = switches
        self._clock = clock
        self._connections = FIRST_SLOTS
        self.server = RegisteredServer(
            settings.node,
            settings.service,
            settings.server,
            clock,
            on_ready_changed,
        )
        self.quarantine = Quarantine(
            target=settings.node,
            service=settings.service,
            clock=clock,
            rumor_bus=rumor_bus,
        )
        self.load_monitor = LoadMonitor(
            clock,
            learns_for_others,
            callers_come_at_once=not settings.first_start,
        )
        self.concurrency_estimator = ConcurrencyEstimator()
        self.local_concurrency = LocalConcurrency()
        self.warmup_limiter = WarmupLimiter(clock, time.process_time())
        self._services: Mapping[str, ServiceInfo] = {}
        self._limits = AdmissionLimits()
        self.admission = DeadlineAdmission(
            None,
            PaceGate(clock, self.load_monitor)
            if switches.hold
            else OpenStartGate(),
            congestion_threshold_s=CONGESTION_THRESHOLD_S
            if switches.newest_first
            else math.inf,
            refuses_late_starts=switches.refuse_hopeless,
        )
        watch = _Watch(clock, HealthEstimator(), self.quarantine, self.server)
        exchange = VerifyingExchange(
            clock=clock,
            sender=sender,
            dialect=dialect,
            recorder=watch,
            monitor=self.load_monitor,
            on_replaced=self._on_server_replaced,
        )
        self.pipeline = TargetPipeline(
            clock=clock,
            admission=self.admission,
            sender=sender,
            server=self.server,
            recorder=watch,
            exchange=exchange,
            pace=self.load_monitor.current_pace,
            on_run=self._on_run,
            send_limiter=self.warmup_limiter,
            run_times=RunTimeEstimator() if switches.run_times else None,
            link_free_kbps=link_free_kbps,
            concurrency=self.local_concurrency,
        )
        self.load_poller = LoadPoller(
            clock=clock,
            sender=sender,
            dialect=dialect,
            monitor=self.load_monitor,
            view=self._view,
            on_response=self._on_health_response,
            on_unreachable=watch.record_connect_failure,
        )
        self.load_monitor.subscribe(self.pipeline.start_deferred)
        self._watch = watch
        self._log = PartLogger("target", clock)
        self._settings = settings

    def register(self, told: Registration) -> bool:
        """Takes a heartbeat; returns whether it changed what is believed."""
        before = self.server.process_count
        changed = self.server.register(told)
        if self.server.process_count != before:
            self._watch.record_restart()
            self.load_monitor.reset()
            self.concurrency_estimator.reset()
            self.quarantine.set_service(self.server.service)
            self._follow_service()
            self.warmup_limiter.record_start(told.warmup_left_s)
        elif told.incarnation == self.server.incarnation:
            self.warmup_limiter.record_heartbeat(told.warmup_left_s)
        self._update_limits()
        return changed

    def adopt(self, cfg: RouteConfig) -> None:
        """Follows a new configuration."""
        self._services = cfg.services
        self._follow_service()
        self._update_limits()

    def apply_evacuation(self, domains: EvacuatedDomains) -> None:
        """Follows which failure domains are emptied.

        What waits goes elsewhere at once, while it still has time. A server may
        have turned cold before it is to get work again.
        """
        was_emptied = self.server.is_domain_evacuated
        self.server.set_domain_evacuated(
            self._settings.failure_domain in domains.names
        )
        refused = self.server.refusal()
        if self.server.is_domain_evacuated and refused is not None:
            self.admission.refuse_all(refused)
        if was_emptied and not self.server.is_domain_evacuated:
            self.warmup_limiter.mark_unknown(self._clock.monotonic())

    def _follow_service(self) -> None:
        """Takes what is configured of the service of the server beside."""
        info = self._services.get(self.server.service)
        if info is None:
            return
        self._connections = info.connections
        self.server.set_health_path(info.health_path)
        self.warmup_limiter.configure(self._warmup_law(info))

    def _warmup_law(self, info: ServiceInfo) -> WarmupLimit | None:
        if info.warmup_rate_per_s is None:
            return None
        return WarmupLimit(
            info.warmup_rate_per_s,
            self._settings.cold_over,
            self._settings.cold_slack,
            info.warmup_s,
        )

    def _view(self) -> ServerView | None:
        """Returns the server to be asked; one not known by the settings."""
        if self.server.is_domain_evacuated:
            return None
        if self.server.view is not None:
            return self.server.view
        path = self.server.health_path
        if not path:
            return None
        return ServerView(self._settings.server, health_path=path)

    def _on_health_response(
        self, answer: ResponseMetadata, good: bool, asked: float
    ) -> None:
        """Takes what a health check that was sent at `asked` told.

        A server that took no connections may have begun anew meanwhile.
        An incarnation that no heartbeat named yet is taken from here, so that
        a node which began anew need not wait for the next heartbeat.
        """
        if self.server.is_down:
            self.warmup_limiter.mark_unknown(asked)
        self.server.mark_reachable()
        if answer.warmup_left_s is not None:
            self.warmup_limiter.record_check(answer.warmup_left_s, asked)
        if not good or not answer.incarnation:
            return
        if self.server.incarnation or self.server.has_ended(answer.incarnation):
            return
        slots = answer.load.slots if answer.load else 0
        self.register(
            Registration(
                answer.incarnation,
                "",
                None,
                slots,
                False,
                answer.warmup_left_s or 0.0,
                0,
            )
        )
        if answer.warmup_left_s is None:
            self.warmup_limiter.mark_unknown(asked)

    def _on_server_replaced(self, meant: str, incarnation: str) -> None:
        """Takes that `incarnation` answered where `meant` was to."""
        self.server.record_answering_incarnation(meant, incarnation)
        self.warmup_limiter.mark_unknown(self._clock.monotonic())

    def _on_run(self, run: CompletedRun) -> None:
        """Learns from a run how many at once are best."""
        if self._switches.room:
            self.concurrency_estimator.record_run(run, self._clock.monotonic())
            self._update_limits()

    def _update_limits(self) -> None:
        slots = self.server.slots or FIRST_SLOTS
        if self.server.view is None:
            slots = 0
        room = self.concurrency_estimator.best_concurrency(slots)
        probes = self.concurrency_estimator.is_probe_due(
            self._clock.monotonic()
        )
        limits = AdmissionLimits(
            slots=room,
            connections=max(self._connections, FIRST_SLOTS),
            overcommit=1 if probes else 0,
            max_queued=QUEUE_LENGTH,
            max_queue_wait_s=QUEUE_WAIT_S,
        )
        if limits == self._limits:
            return
        if limits.slots != self._limits.slots:
            self._log.info(
                "Another number of requests at once is best.",
                slots=slots,
                best=room,
                before=self._limits.slots,
                **self.concurrency_estimator.describe(),
            )
        self._limits = limits
        self.admission.set_limits(limits)


class _Watch(ExchangeRecorder):
    """Also tells the server beside whether it can be reached."""

    def __init__(
        self,
        clock: Clock,
        health: HealthEstimator,
        quarantine: Quarantine,
        server: RegisteredServer,
    ) -> None:
        super().__init__(clock, health, quarantine)
        self._server = server

    def record_connect_failure(self) -> None:
        super().record_connect_failure()
        self._server.mark_unreachable()
