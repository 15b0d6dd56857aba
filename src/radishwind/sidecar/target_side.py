"""Wires the target side: the local backend server, its slots and its load."""

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
from radishwind.settings.placed_settings import PlacedSettings
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
from radishwind.target.send_limiter import WindowLimiter
from radishwind.target.server_notices import ServerNotices
from radishwind.target.server_process import ServerProcess
from radishwind.target.stated_limit import StatedLimit
from radishwind.target.verifying_exchange import VerifyingExchange
from radishwind.target.warmup import Warmup
from radishwind.target.warmup import WarmupLimit
from radishwind.telemetry.part_logger import PartLogger

#: Longest queue of a target: more requests than arrive before the deadline of
#: the first one, so that requests are only refused for lack of time.
MAX_QUEUED = 256

#: Longest wait in the queue; in practice the deadline of a request ends it.
MAX_QUEUE_WAIT_S = 30.0

#: Slots assumed before the server has reported how many it has.
DEFAULT_SLOTS = 4


class SidecarTarget:
    """The parts that send requests to the local backend server.

    Attributes:
      server: what is known of the server by its heartbeats and responses.
      quarantine: isolates requests suspected of crashing servers.
      load_monitor: the latest load report of the server, and its pace.
      concurrency_estimator: learns the best number of concurrent requests.
      local_concurrency: counts the requests running at the server.
      warmup: the warm-up of the server, which limits its requests.
      stated_limit: the request limit that the server states.
      send_limiter: limits the requests to the server.
      exchange: sends requests to the server.
      admission: queues requests and starts them when a slot is free.
      pipeline: runs attempts at the server.
      load_poller: the task that polls the server's load.
    """

    def __init__(
        self,
        *,
        settings: PlacedSettings,
        clock: Clock,
        sender: Sender,
        check_sender: Sender,
        dialect: ServerDialect,
        rumor_bus: RumorBus,
        on_ready_changed: Callable[[bool], None],
        is_early_learner: Callable[[], bool],
        on_stated_leaving: Callable[[ServerProcess], None] | None = None,
        switches: Switches = ALL_ON,
        link_free_kbps: Callable[[], int] | None = None,
    ) -> None:
        """Wires the target side.

        Args:
          settings: settings of the node.
          clock: the clock.
          sender: sends requests to the server.
          check_sender: sends health checks to the server.
          dialect: builds requests to the server and parses its responses.
          rumor_bus: shares suspects of the quarantine with other nodes.
          on_ready_changed: called with whether the server accepts new work.
          is_early_learner: returns whether this node measures the server before
            it gets requests, for all nodes of the service.
          on_stated_leaving: called with a process of the server that states
            in a response that it is leaving.
          switches: the mechanisms in use.
          link_free_kbps: returns the free capacity of the node's link (kbit/s).
        """
        self._switches = switches
        self._clock = clock
        self._connections = DEFAULT_SLOTS
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
        self.stated_limit = StatedLimit(clock)
        self.load_monitor = LoadMonitor(
            clock,
            is_early_learner,
            callers_come_at_once=not settings.first_start,
            is_limited=lambda: self.stated_limit.per_s is not None,
        )
        self.concurrency_estimator = ConcurrencyEstimator()
        self.local_concurrency = LocalConcurrency()
        self.warmup = Warmup(clock, time.process_time())
        self.send_limiter = WindowLimiter(
            clock, (self.warmup, self.stated_limit)
        )
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
        recorder = _ReachabilityRecorder(
            clock, HealthEstimator(), self.quarantine, self.server
        )
        self._notices = ServerNotices(
            node_name=settings.node,
            clock=clock,
            rumor_bus=rumor_bus,
            server=self.server,
            limit=self.stated_limit,
            on_leaving=on_stated_leaving,
        )
        self.exchange = VerifyingExchange(
            clock=clock,
            sender=sender,
            dialect=dialect,
            recorder=recorder,
            monitor=self.load_monitor,
            on_replaced=self._on_server_replaced,
            on_response=self._notices.record_response,
        )
        self.pipeline = TargetPipeline(
            clock=clock,
            admission=self.admission,
            sender=sender,
            server=self.server,
            recorder=recorder,
            exchange=self.exchange,
            pace=self.load_monitor.current_pace,
            on_run=self._on_run,
            send_limiter=self.send_limiter,
            run_times=RunTimeEstimator() if switches.run_times else None,
            link_free_kbps=link_free_kbps,
            concurrency=self.local_concurrency,
        )
        self.load_poller = LoadPoller(
            clock=clock,
            sender=check_sender,
            dialect=dialect,
            monitor=self.load_monitor,
            view=self._view,
            on_sent=self.send_limiter.record_check_sent,
            on_response=self._on_health_response,
            on_unreachable=recorder.record_connect_failure,
        )
        self.load_monitor.subscribe(self.pipeline.start_deferred)
        self._recorder = recorder
        self._log = PartLogger("target", clock)
        self._settings = settings

    def register(self, registration: Registration) -> bool:
        """Accepts the registration of the server in a heartbeat.

        Returns:
          Whether it changed the state of the server.
        """
        process_count = self.server.process_count
        changed = self.server.register(registration)
        if self.server.process_count != process_count:
            self._recorder.record_restart()
            self.load_monitor.reset()
            self.concurrency_estimator.reset()
            self.quarantine.set_service(self.server.service)
            self._configure_service()
            self._notices.record_process()
            self.warmup.record_start(registration.warmup_left_s)
        elif registration.incarnation == self.server.incarnation:
            self.warmup.record_heartbeat(registration.warmup_left_s)
        self._update_limits()
        return changed

    def adopt(self, cfg: RouteConfig) -> None:
        """Adopts a new routes configuration."""
        self._services = cfg.services
        self._configure_service()
        self._update_limits()

    def apply_evacuation(self, domains: EvacuatedDomains) -> None:
        """Applies which failure domains are evacuated.

        Queued requests are refused at once, while they still have time to run
        elsewhere. After an evacuation the state of the server is unknown, since
        it may have become cold meanwhile.
        """
        was_evacuated = self.server.is_domain_evacuated
        self.server.set_domain_evacuated(
            self._settings.failure_domain in domains.names
        )
        refusal = self.server.refusal()
        if self.server.is_domain_evacuated and refusal is not None:
            self.admission.refuse_all(refusal)
        if was_evacuated and not self.server.is_domain_evacuated:
            self.warmup.mark_unknown(self._clock.monotonic())

    def _configure_service(self) -> None:
        """Applies the configuration of the server's service."""
        info = self._services.get(self.server.service)
        if info is None:
            return
        self._connections = info.connections
        self.server.set_health_path(info.health_path)
        self.warmup.configure(self._warmup_limit(info))

    def _warmup_limit(self, info: ServiceInfo) -> WarmupLimit | None:
        if info.warmup_rate_per_s is None:
            return None
        return WarmupLimit(
            info.warmup_rate_per_s,
            self._settings.cold_over,
            self._settings.cold_slack,
            info.warmup_s,
        )

    def _view(self) -> ServerView | None:
        """Returns the server to poll; `None` for none.

        Before the first heartbeat that is the server named in the settings.
        """
        if self.server.is_domain_evacuated:
            return None
        if self.server.view is not None:
            return self.server.view
        path = self.server.health_path
        if not path:
            return None
        return ServerView(self._settings.server, health_path=path)

    def _on_health_response(
        self, response: ResponseMetadata, is_ok: bool, sent_at: float
    ) -> None:
        """Handles the response to a health check.

        A server that accepted no connections may have restarted meanwhile. An
        incarnation that no heartbeat has named yet is registered by the
        response, so that a restarted node need not wait for the next heartbeat.

        Args:
          response: what the response states.
          is_ok: whether the check succeeded.
          sent_at: when the check was sent (s, of the clock).
        """
        self._update_server(response, is_ok, sent_at)
        self._notices.record_check(response, sent_at)

    def _update_server(
        self, response: ResponseMetadata, is_ok: bool, sent_at: float
    ) -> None:
        """Updates the warm-up and the registration by a health response."""
        if self.server.is_down:
            self.warmup.mark_unknown(sent_at)
        self.server.mark_reachable()
        if response.warmup_left_s is not None:
            self.warmup.record_check(response.warmup_left_s, sent_at)
        if not is_ok or response.is_leaving or not response.incarnation:
            return
        if self.server.incarnation or self.server.has_ended(
            response.incarnation
        ):
            return
        slots = response.load.slots if response.load else 0
        self.register(
            Registration(
                response.incarnation,
                "",
                None,
                slots,
                False,
                response.warmup_left_s or 0.0,
                0,
            )
        )
        if response.warmup_left_s is None:
            self.warmup.mark_unknown(sent_at)

    def _on_server_replaced(self, expected: str, incarnation: str) -> None:
        """Handles that `incarnation` answered instead of `expected`."""
        self.server.record_answering_incarnation(expected, incarnation)
        self._notices.record_process()
        self.warmup.mark_unknown(self._clock.monotonic())

    def _on_run(self, run: CompletedRun) -> None:
        """Updates the best number of concurrent requests by a run."""
        if self._switches.room:
            self.concurrency_estimator.record_run(run, self._clock.monotonic())
            self._update_limits()

    def _update_limits(self) -> None:
        slots = self.server.slots or DEFAULT_SLOTS
        if self.server.view is None:
            slots = 0
        best = self.concurrency_estimator.best_concurrency(slots)
        is_probe_due = self.concurrency_estimator.is_probe_due(
            self._clock.monotonic()
        )
        limits = AdmissionLimits(
            slots=best,
            connections=max(self._connections, DEFAULT_SLOTS),
            overcommit=1 if is_probe_due else 0,
            max_queued=MAX_QUEUED,
            max_queue_wait_s=MAX_QUEUE_WAIT_S,
        )
        if limits == self._limits:
            return
        if limits.slots != self._limits.slots:
            self._log.info(
                "The best number of concurrent requests changed.",
                slots=slots,
                best=best,
                before=self._limits.slots,
                **self.concurrency_estimator.describe(),
            )
        self._limits = limits
        self.admission.set_limits(limits)


class _ReachabilityRecorder(ExchangeRecorder):
    """Also marks the server as unreachable when a connection fails."""

    def __init__(
        self,
        clock: Clock,
        health: HealthEstimator,
        quarantine: Quarantine,
        server: RegisteredServer,
    ) -> None:
        super().__init__(clock, health, quarantine, server)
        self._registered = server

    def record_connect_failure(self) -> None:
        super().record_connect_failure()
        self._registered.mark_unreachable()
