"""Composes a node for the platform and runs it until it is told to stop."""

import os
import random
import signal

import anyio
import anyio.abc
import msgspec

from radishwind.core.clock import Clock
from radishwind.entry.request_log import RequestLog
from radishwind.http.httptools_sender import HttptoolsSender
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
from radishwind.routes.active_routes import ActiveRoutes
from radishwind.routes.evacuation import EvacuationState
from radishwind.routes.model import RouteConfig
from radishwind.settings.placed import PlacedSettings
from radishwind.sidecar.control import Readiness
from radishwind.sidecar.control_side import ControlSide
from radishwind.sidecar.entry_side import EntrySide
from radishwind.sidecar.graceful_shutdown import DepartureNotices
from radishwind.sidecar.graceful_shutdown import GracefulShutdown
from radishwind.sidecar.graceful_shutdown import late_request_response
from radishwind.sidecar.link_side import LinkSide
from radishwind.sidecar.listeners import Handlers
from radishwind.sidecar.listeners import listening
from radishwind.sidecar.load_report_exchange import LoadReportExchange
from radishwind.sidecar.metrics import add_metrics
from radishwind.sidecar.metrics import Counted
from radishwind.sidecar.metrics import MetricsListener
from radishwind.sidecar.options import AHEAD
from radishwind.sidecar.options import DISCOVERY
from radishwind.sidecar.options import GOSSIP
from radishwind.sidecar.options import membership_settings
from radishwind.sidecar.options import PEER_CONNECTIONS
from radishwind.sidecar.options import PEER_KEEPALIVE_S
from radishwind.sidecar.options import SERVER_CONNECTIONS
from radishwind.sidecar.options import SERVER_KEEPALIVE_S
from radishwind.sidecar.options import start_spread_s
from radishwind.sidecar.options import STORE_BUDGET
from radishwind.sidecar.options import STORE_CONNECTIONS
from radishwind.sidecar.peer_side import PeerSide
from radishwind.sidecar.quota_sharing import QuotaSharing
from radishwind.sidecar.recency_side import RecencySide
from radishwind.sidecar.settings_reloader import SettingsFile
from radishwind.sidecar.settings_reloader import SettingsReloader
from radishwind.sidecar.switches import ALL_ON
from radishwind.sidecar.switches import Switches
from radishwind.sidecar.target_side import SidecarTarget
from radishwind.store.budgeted_store import BudgetedStore
from radishwind.telemetry.bounded_output import BoundedOutput
from radishwind.telemetry.node_exposition import NodeExposition
from radishwind.telemetry.part_logger import PartLogger


class SidecarNode:
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
        self._follower = SettingsReloader(file, clock, self._take_settings)
        self._output = output
        self._rng = random.Random(int.from_bytes(os.urandom(8), "big"))
        self._log = PartLogger("node", clock)

    def _build(self) -> None:
        """Wires everything; called where the event loop runs."""
        settings = self._settings
        self._stopping = anyio.Event()
        self._leaving = False
        self._items_left_out = 0
        self._readiness = Readiness(self._ready)
        self._links = LinkSide(settings, self._clock)
        self._peer_sender = HttptoolsSender(
            PEER_CONNECTIONS, PEER_KEEPALIVE_S, self._links.meter
        )
        self._server_sender = HttptoolsSender(
            SERVER_CONNECTIONS, SERVER_KEEPALIVE_S
        )
        self._store = BudgetedStore(
            PlatformStore(
                HttptoolsSender(STORE_CONNECTIONS),
                settings.store,
                self._left_out,
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
            dialect=PlatformDialect(),
            rumor_bus=self._membership.rumor_bus,
            on_ready_changed=self._on_ready_changed,
            is_early_learner=lambda: self._control.is_early_learner(),
            switches=self._switches,
            link_free_kbps=self._links.meter.free_kbps,
        )
        self._on_ready_changed(False)
        self._routes.subscribe(self._adopted)
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
            freshness=self._recency.freshness,
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
        )
        self._control.listen_on(self._peers.listener)
        add_metrics(
            self._metrics,
            Counted(
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
                left_out=self._words_left_out,
                keys=self._entry.keys,
                recency=self._recency.renewer,
            ),
        )

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT; then finishes what is in progress."""
        self._build()
        async with anyio.create_task_group() as tasks:
            # Before it listens, so that no signal meets callers unheeded.
            await tasks.start(self._wait_for_signal)
            await self._listen()
            tasks.start_soon(self._membership.run)
            tasks.start_soon(self._peers.run)
            self._control.start(tasks)
            tasks.start_soon(self._target.load_poller.run)
            tasks.start_soon(self._loads.run)
            tasks.start_soon(self._quotas.run)
            tasks.start_soon(self._entry.pipeline.run_hedges)
            tasks.start_soon(self._follower.run)
            self._log.change(
                "Started.",
                node=self._settings.node,
                service=self._settings.service,
                failure_domain=self._settings.failure_domain,
            )
            await self._stopping.wait()
            self._log.change("Stops as planned; finishes what is in progress.")
            await self._stop()
            tasks.cancel_scope.cancel()
        await self._close_senders()
        self._log.change("Stopped.")
        self._output.flush()

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
        ahead = AHEAD if self._switches.ahead else 0
        self._servers = await listening(
            self._settings, handlers, ahead, self._log, self._links.meter
        )

    async def _stop(self) -> None:
        """Ends the node's part in the traffic; then nobody hears its load."""
        stop = GracefulShutdown(
            clock=self._clock,
            grace_s=self._settings.stop_grace_s,
            readiness=self._readiness,
            callers=self._callers,
            attempts=self._attempts,
            target=self._target.pipeline,
            notices=DepartureNotices(
                self._say_leaving, self._membership.advertise_left
            ),
        )
        await stop.run(self._servers)
        self._peers.socket.close()

    def _say_leaving(self) -> None:
        self._leaving = True
        self._membership.advertise(AdvertisedState.LEAVING)
        self._loads.send_due_report()

    async def _close_senders(self) -> None:
        """Closes what tasks send by, once none of them runs any more."""
        await self._peer_sender.close()
        await self._server_sender.close()
        await self._store.close()

    async def _wait_for_signal(
        self, *, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            task_status.started()
            async for number in signals:
                if number is signal.SIGHUP:
                    self._follower.look_now()
                else:
                    self._stopping.set()

    def _take_settings(self, changed: PlacedSettings) -> None:
        """Takes what may change without a new start."""
        old, self._settings = self._settings, changed
        self._control.take(changed)
        self._log.change("Reloaded the settings.", service=changed.service)
        if (old.server, old.service) != (changed.server, changed.service):
            self._target.server.apply_settings(changed.server, changed.service)
            self._membership.set_service(changed.service)

    def _ready(self) -> bool:
        return self._routes.cfg is not None and not self._stopping.is_set()

    def _on_ready_changed(self, ready: bool) -> None:
        """Tells peers whether the server beside takes new work."""
        if self._leaving:
            return
        if ready:
            self._membership.set_service(self._target.server.service)
        announced = (
            AdvertisedState.SERVING if ready else AdvertisedState.DRAINING
        )
        self._membership.advertise(announced)

    def _words_left_out(self) -> dict[str, int]:
        return {
            "heartbeats": self._control.heartbeats.malformed_count,
            "store": self._items_left_out,
        }

    def _left_out(self, reason: str) -> None:
        """Says which item of the store nobody can read; the others hold."""
        self._items_left_out += 1
        self._log.warning("An item of the store is left out.", reason=reason)

    def _adopted(self, cfg: RouteConfig) -> None:
        self._membership.set_config_revision(cfg.version)
        self._target.adopt(cfg)
