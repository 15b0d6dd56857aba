"""Composes a node for the platform and runs it until it is stopped."""

import asyncio
import os
import random

import anyio
import anyio.abc
import msgspec

from radishwind.core.clock import Clock
from radishwind.entry.request_log import RequestLog
from radishwind.http.connection_memory import ConnectionMemory
from radishwind.http.httptools_sender import HttptoolsSender
from radishwind.http.httptools_server import HttptoolsServer
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.membership.allowlist import OpenAllowlist
from radishwind.membership.records import AdvertisedState
from radishwind.node.caller_listener import CallerListener
from radishwind.node.membership_tasks import MembershipTasks
from radishwind.node.requests_in_progress import RequestsInProgress
from radishwind.peers.attempts import is_forwarded_attempt
from radishwind.platform import PlatformDialect
from radishwind.platform import PlatformStore
from radishwind.process.runnable_node import RunnableNode
from radishwind.routes.active_routes import ActiveRoutes
from radishwind.routes.evacuation import EvacuationState
from radishwind.routes.model import RouteConfig
from radishwind.settings.placed_settings import PlacedSettings
from radishwind.sidecar.connection_metrics import add_connection_metrics
from radishwind.sidecar.control import Readiness
from radishwind.sidecar.control_side import ControlSide
from radishwind.sidecar.entry_side import EntrySide
from radishwind.sidecar.graceful_shutdown import DepartureNotices
from radishwind.sidecar.graceful_shutdown import GracefulShutdown
from radishwind.sidecar.graceful_shutdown import late_request_response
from radishwind.sidecar.link_side import LinkSide
from radishwind.sidecar.listeners import Handlers
from radishwind.sidecar.listeners import open_listeners
from radishwind.sidecar.load_report_exchange import LoadReportExchange
from radishwind.sidecar.metrics import add_metrics
from radishwind.sidecar.metrics import MetricsListener
from radishwind.sidecar.metrics import MetricSources
from radishwind.sidecar.options import CHECK_POOL_SIZE
from radishwind.sidecar.options import connection_memory_bytes
from radishwind.sidecar.options import DISCOVERY
from radishwind.sidecar.options import GOSSIP
from radishwind.sidecar.options import MAX_PIPELINED
from radishwind.sidecar.options import membership_settings
from radishwind.sidecar.options import PEER_POOL_IDLE_S
from radishwind.sidecar.options import PEER_POOL_SIZE
from radishwind.sidecar.options import SERVER_POOL_IDLE_S
from radishwind.sidecar.options import SERVER_POOL_SIZE
from radishwind.sidecar.options import start_spread_s
from radishwind.sidecar.options import STORE_BUDGET
from radishwind.sidecar.options import STORE_POOL_SIZE
from radishwind.sidecar.peer_side import PeerSide
from radishwind.sidecar.quota_sharing import QuotaSharing
from radishwind.sidecar.recency_side import RecencySide
from radishwind.sidecar.settings_reloader import SettingsFile
from radishwind.sidecar.settings_reloader import SettingsReloader
from radishwind.sidecar.store_metrics import add_store_metrics
from radishwind.sidecar.switches import ALL_ON
from radishwind.sidecar.switches import Switches
from radishwind.sidecar.target_side import SidecarTarget
from radishwind.store.budgeted_store import BudgetedStore
from radishwind.store.era_tracker import EraTracker
from radishwind.supervision import Duty
from radishwind.supervision import FailureLog
from radishwind.supervision import handle_loop_errors
from radishwind.supervision import set_failure_log
from radishwind.supervision import StopSteps
from radishwind.supervision import Supervisor
from radishwind.telemetry.bounded_output import BoundedOutput
from radishwind.telemetry.node_exposition import NodeExposition
from radishwind.telemetry.part_logger import PartLogger


class SidecarNode(RunnableNode):
    """One node: its listeners, the data path, and the control tasks."""

    def __init__(
        self,
        settings: PlacedSettings,
        clock: Clock,
        file: SettingsFile,
        output: BoundedOutput,
        switches: Switches = ALL_ON,
    ) -> None:
        self._switches = switches
        self._settings = settings
        self._clock = clock
        self._reloader = SettingsReloader(file, clock, self._apply_settings)
        self._output = output
        self._rng = random.Random(int.from_bytes(os.urandom(8), "big"))
        self._log = PartLogger("node", clock)
        self._failures = FailureLog(clock)
        self._supervisor = Supervisor(clock, self._rng, self._failures)
        self._stop_steps = StopSteps()
        self._servers: list[HttptoolsServer] = []

    def _build(self) -> None:
        """Wires the node; must be called in the running event loop."""
        settings = self._settings
        self._stopping = anyio.Event()
        self._is_leaving = False
        self._malformed_store_items = 0
        self._readiness = Readiness(self._is_ready)
        self._links = LinkSide(settings, self._clock)
        self._memory = ConnectionMemory(
            connection_memory_bytes(settings), self._clock
        )
        self._peer_sender = HttptoolsSender(
            PEER_POOL_SIZE, PEER_POOL_IDLE_S, self._links.meter, self._memory
        )
        self._server_sender = HttptoolsSender(
            SERVER_POOL_SIZE, SERVER_POOL_IDLE_S, memory=self._memory
        )
        self._check_sender = HttptoolsSender(
            CHECK_POOL_SIZE, SERVER_POOL_IDLE_S, memory=self._memory
        )
        self._eras = EraTracker(self._clock)
        self._store_sender = HttptoolsSender(
            STORE_POOL_SIZE, memory=self._memory
        )
        self._store = BudgetedStore(
            PlatformStore(
                self._store_sender,
                settings.store,
                self._on_malformed_store_item,
                self._eras,
            ),
            self._clock,
            self._rng,
            STORE_BUDGET,
        )
        self._peers = PeerSide(
            settings=settings,
            clock=self._clock,
            sender=self._peer_sender,
            traffic=self._links.traffic,
        )
        self._membership = MembershipTasks(
            settings=membership_settings(settings),
            clock=self._clock,
            rng=self._rng,
            allowlist=OpenAllowlist(),
            client=self._peers.client,
            store=self._store,
            options=GOSSIP,
            discovery=msgspec.structs.replace(
                DISCOVERY, spread_s=start_spread_s(settings)
            ),
            socket=self._peers.socket,
            on_listed=self._peers.on_listed,
            on_round_trip=self._links.record_round_trip,
        )
        self._routes = ActiveRoutes(self._clock)
        self._evacuation = EvacuationState(self._clock)
        self._quotas = QuotaSharing(
            settings=settings,
            clock=self._clock,
            rng=self._rng,
            routes=self._routes,
            membership=self._membership,
            socket=self._peers.socket,
        )
        self._metrics = NodeExposition()
        self._recency = RecencySide(
            settings=settings,
            clock=self._clock,
            rng=self._rng,
            directory=self._membership.directory,
            routes=self._routes,
            socket=self._peers.socket,
        )
        self._build_target()
        self._build_entry()
        self._build_control()

    def _build_target(self) -> None:
        self._target = SidecarTarget(
            settings=self._settings,
            clock=self._clock,
            sender=self._server_sender,
            check_sender=self._check_sender,
            dialect=PlatformDialect(),
            rumor_bus=self._membership.rumor_bus,
            on_ready_changed=self._on_ready_changed,
            is_early_learner=lambda: self._control.is_early_learner(),
            on_stated_leaving=lambda process: self._control.announce_leaving(
                process
            ),
            switches=self._switches,
            link_free_kbps=self._links.meter.free_kbps,
        )
        self._on_ready_changed(False)
        self._routes.subscribe(self._on_routes_adopted)
        self._routes.subscribe(self._links.adopt)
        self._evacuation.subscribe(self._target.apply_evacuation)

    def _build_entry(self) -> None:
        settings = self._settings
        self._entry = EntrySide(
            settings=settings,
            clock=self._clock,
            rng=self._rng,
            sender=self._peer_sender,
            signer=self._peers.signer,
            directory=self._membership.directory,
            routes=self._routes,
            evacuation=self._evacuation,
            target=self._target,
            switches=self._switches,
            node_count=self._membership.node_count,
            service=lambda: self._settings.service,
            on_unreachable=self._membership.report_unreachable,
            reports_unsolicited=lambda member: self._loads.reports_unsolicited(
                member
            ),
            observers=(RequestLog(self._clock), self._metrics),
            key_freshness=self._recency.keys,
            route_freshness=self._recency.routes,
            quotas=self._quotas.borrower,
            links=self._links,
        )
        self._caller_listener = CallerListener(self._entry.pipeline)
        self._callers = RequestsInProgress(
            self._handle_caller,
            self._clock,
            make_refusal=late_request_response,
        )
        self._peers.wire(
            rng=self._rng,
            store=self._store,
            membership=self._membership,
            routes=self._routes,
            target=self._target.pipeline,
            record_request_from=lambda host: self._loads.record_request_from(
                host
            ),
            link_admission=self._links.link_admission,
            restart=self._stopping.set,
        )
        self._attempts = RequestsInProgress(
            self._peers.listener.handle, self._clock, is_forwarded_attempt
        )
        self._loads = LoadReportExchange(
            node_name=settings.node,
            failure_domain=settings.failure_domain,
            clock=self._clock,
            rng=self._rng,
            gossip=self._membership.gossip,
            directory=self._membership.directory,
            target=self._target.pipeline,
            chooser=self._entry.chooser,
            socket=self._peers.socket,
            traffic=self._links.traffic,
        )
        self._target.load_monitor.subscribe(self._loads.send_due_report)

    async def _handle_caller(self, request: Request) -> Response:
        self._target.load_monitor.record_callers_present()
        return await self._caller_listener.handle(request)

    def _build_control(self) -> None:
        self._control = ControlSide(
            settings=self._settings,
            clock=self._clock,
            rng=self._rng,
            store=self._store,
            client=self._peers.client,
            membership=self._membership,
            routes=self._routes,
            evacuation=self._evacuation,
            target=self._target,
            recency=self._recency,
            eras=self._eras,
        )
        self._eras.subscribe(self._peers.on_new_era)
        self._control.listen_on(self._peers.listener)
        add_store_metrics(self._metrics, self._eras)
        add_connection_metrics(
            self._metrics,
            {
                "server": self._server_sender,
                "health": self._check_sender,
                "peer": self._peer_sender,
                "store": self._store_sender,
            },
        )
        add_metrics(
            self._metrics,
            MetricSources(
                attempts=self._entry.pipeline.counts,
                target=self._target,
                membership=self._membership,
                routes=self._routes,
                evacuation=self._evacuation,
                store=self._store,
                peers=self._peers,
                quotas=self._quotas,
                links=self._links,
                clock=self._clock,
                output=self._output,
                malformed_by_source=self._malformed_by_source,
                keys=self._entry.keys,
                recency=self._recency.renewer,
                memory=self._memory,
                classifier=self._entry.classifier,
                watch=self._control.watch_monitor,
                supervisor=self._supervisor,
            ),
        )

    async def run(self) -> None:
        """Runs until `request_stop`; then finishes requests in progress.

        An error that is no duty's stops the node in the same way; it is raised
        at the end.
        """
        set_failure_log(self._failures)
        handle_loop_errors(asyncio.get_running_loop())
        self._build()
        async with anyio.create_task_group() as tasks:
            try:
                await self._start(tasks)
                await self._stopping.wait()
            except Exception as exc:
                self._stop_after_error("run", exc)
            self._log.change("Shutting down; finishing requests in progress.")
            await self._stop_steps.run("shutdown", self._shut_down)
            tasks.cancel_scope.cancel()
        await self._close_senders()
        self._log_end()
        self._output.flush()
        if self._stop_steps.first_error is not None:
            raise self._stop_steps.first_error

    async def _start(self, tasks: anyio.abc.TaskGroup) -> None:
        await self._listen()
        self._supervisor.start(tasks, self._duties())
        self._log.change(
            "Started.",
            node=self._settings.node,
            service=self._settings.service,
            failure_domain=self._settings.failure_domain,
        )

    def _duties(self) -> tuple[Duty, ...]:
        return (
            *self._membership.duties(),
            *self._peers.duties(),
            *self._control.duties(),
            Duty("target.load_poller", self._target.load_poller.run),
            Duty("loads.reports", self._loads.run),
            Duty("quotas", self._quotas.run),
            *self._entry.pipeline.duties(),
            Duty("settings", self._reloader.run),
            self._routes.retries,
            self._evacuation.retries,
            self._eras.retries,
            self._peers.keyring.retries,
        )

    def _stop_after_error(self, name: str, exc: Exception) -> None:
        """Stops the node because of an error that is no duty's."""
        self._stop_steps.record(name, exc)
        self._stopping.set()

    def _log_end(self) -> None:
        error = self._stop_steps.first_error
        if error is None:
            self._log.change("Stopped.")
            return
        self._log.failure("Stopped after an error.", error, may_suppress=False)

    async def _listen(self) -> None:
        await self._peers.socket.start(self._settings.peers)
        handlers = Handlers(
            callers=self._callers.handle,
            peers=self._attempts.handle,
            heartbeats=self._control.heartbeats.handle,
            ready=self._readiness.handle,
            metrics=MetricsListener(self._metrics).handle,
            may_run_in_parallel=self._entry.classifier.is_idempotent,
        )
        max_pipelined = MAX_PIPELINED if self._switches.ahead else 0
        await open_listeners(
            self._settings,
            handlers,
            max_pipelined,
            self._log,
            self._links.meter,
            self._memory,
            self._servers,
        )

    async def _shut_down(self) -> None:
        """Runs the graceful shutdown; then sends no more load reports."""
        shutdown = GracefulShutdown(
            clock=self._clock,
            grace_s=self._settings.stop_grace_s,
            readiness=self._readiness,
            callers=self._callers,
            attempts=self._attempts,
            target=self._target.pipeline,
            notices=DepartureNotices(
                self._advertise_leaving, self._membership.advertise_left
            ),
            limit_deadlines=self._entry.pipeline.limit_deadlines,
            steps=self._stop_steps,
        )
        await shutdown.run(self._servers)
        self._peers.socket.close()

    def _advertise_leaving(self) -> None:
        self._is_leaving = True
        self._membership.advertise(AdvertisedState.LEAVING)
        self._loads.send_due_report()

    async def _close_senders(self) -> None:
        """Closes the senders once no task uses them any more."""
        steps = self._stop_steps
        await steps.run("senders", self._peer_sender.close)
        await steps.run("senders", self._server_sender.close)
        await steps.run("senders", self._check_sender.close)
        await steps.run("store", self._store.close)

    def request_stop(self) -> None:
        self._stopping.set()

    def reload(self) -> bool:
        self._reloader.check_now()
        return True

    def _apply_settings(self, changed: PlacedSettings) -> None:
        """Applies the settings that may change without a restart."""
        previous = self._settings
        self._control.apply_settings(changed)
        self._log.change("Reloaded the settings.", service=changed.service)
        if (previous.server, previous.service) != (
            changed.server,
            changed.service,
        ):
            self._target.server.apply_settings(changed.server, changed.service)
            self._membership.set_service(changed.service)
        # At last, so that after an error they are applied again.
        self._settings = changed

    def _is_ready(self) -> bool:
        return self._routes.cfg is not None and not self._stopping.is_set()

    def _on_ready_changed(self, is_ready: bool) -> None:
        """Advertises whether the local backend server accepts new work."""
        if self._is_leaving:
            return
        if is_ready:
            self._membership.set_service(self._target.server.service)
        state = (
            AdvertisedState.SERVING if is_ready else AdvertisedState.DRAINING
        )
        self._membership.advertise(state)

    def _malformed_by_source(self) -> dict[str, int]:
        return {
            "heartbeats": self._control.heartbeats.malformed_count,
            "store": self._malformed_store_items,
        }

    def _on_malformed_store_item(self, reason: str) -> None:
        """Counts and logs an item that is ignored; the others stay in force."""
        self._malformed_store_items += 1
        self._log.warning(
            "A malformed item of the store is left out.", reason=reason
        )

    def _on_routes_adopted(self, cfg: RouteConfig) -> None:
        self._membership.set_config_revision(cfg.version)
        self._target.adopt(cfg)
