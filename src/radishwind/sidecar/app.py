"""Composes a node for the platform and runs it until it is told to stop."""

import asyncio
import dataclasses
import os
import random
import signal

import anyio
import anyio.abc

from radishwind.claims.guard import NoClaims
from radishwind.config.model import ServiceRules
from radishwind.core.clock import Clock
from radishwind.core.errors import RadishwindError
from radishwind.entry.pipeline import EntryPipeline
from radishwind.entry.request_log import RequestLog
from radishwind.entry.retry_after import RetryAfter
from radishwind.entry.routed import CallerFields
from radishwind.entry.routed import RoutedClassifier
from radishwind.hedging.fresh import HedgeBeforeAim
from radishwind.http.aiohttp_sender import AiohttpSender
from radishwind.http.aiohttp_server import AiohttpServer
from radishwind.http.limits import ServerLimits
from radishwind.http.server import Handler
from radishwind.http.types import Address
from radishwind.http.types import Headers
from radishwind.membership.discovery import DiscoveryOptions
from radishwind.membership.facts import Announced
from radishwind.membership.listing import OpenListing
from radishwind.membership.options import GossipOptions
from radishwind.node.callers import CallerListener
from radishwind.node.failures import logging_failures
from radishwind.node.in_progress import RequestsInProgress
from radishwind.node.membership_tasks import MembershipTasks
from radishwind.peers.attempts import is_attempt
from radishwind.peers.client import HttpPeerClient
from radishwind.peers.forward import ForwardRunner
from radishwind.peers.listener import PeerListener
from radishwind.platform import PlatformDialect
from radishwind.platform import PlatformStore
from radishwind.platform import read_caller
from radishwind.platform import read_routes
from radishwind.platform.answers import respond
from radishwind.platform.routes import KEY as ROUTES_KEY
from radishwind.quarantine.runner import CarefulRunner
from radishwind.retries.shared import SharedBudget
from radishwind.retries.shared import SharedRetries
from radishwind.routes.feed import CONTROL_NAME as ROUTES_CONTROL
from radishwind.routes.feed import MAX_BYTES as ROUTES_MAX_BYTES
from radishwind.routes.feed import RouteFeed
from radishwind.routes.in_force import RoutesInForce
from radishwind.routes.model import RouteConfig
from radishwind.routing.fresh import FreshLoadChooser
from radishwind.settings.node import NodeSettings
from radishwind.settings.placed import PlacedSettings
from radishwind.sidecar.control import HeartbeatListener
from radishwind.sidecar.control import Readiness
from radishwind.sidecar.loads import LoadSharing
from radishwind.sidecar.metrics import add_metrics
from radishwind.sidecar.metrics import Counted
from radishwind.sidecar.metrics import MetricsListener
from radishwind.sidecar.reload import LOOK_PERIOD_S
from radishwind.sidecar.reload import SettingsFile
from radishwind.sidecar.target_side import SidecarTarget
from radishwind.store.budget import BudgetedStore
from radishwind.store.budget import StoreBudget
from radishwind.target.leaving import CONTROL_NAME as LEAVING_CONTROL
from radishwind.target.leaving import LeavingRecords
from radishwind.telemetry.exposition import NodeExposition
from radishwind.telemetry.logs import PartLogger
from radishwind.telemetry.output import BoundedOutput

#: Connections kept to one peer, to the server beside, and to the store.
_PEER_CONNECTIONS = 250
_SERVER_CONNECTIONS = 250
_STORE_CONNECTIONS = 8

#: Idle connections to peers are kept so long (s); they are ours at both ends.
_PEER_KEEPALIVE_S = 20.0

#: Idle connections to the server are kept so long (s): less than the shortest
#: idle time that servers of the deployments have, 10 s.
_SERVER_KEEPALIVE_S = 8.0

#: Listeners keep idle connections at least so long (s); callers use one again
#: after up to four fifths of the configured limit, 15 s as deployed.
_CALLER_IDLE_S = 20.0
_PEER_IDLE_S = 60.0

#: A refused request may come back after about this time (s); callers heed at
#: most a third of the time they have left.
_RETRY_S = 0.15

#: Nobody is told to come back later than this (s): the time limits of the
#: deployments are 0.25 to 2.5 s. Returns are spread by this part.
_MOST_RETRY_S = 0.25
_RETRY_SPREAD = 0.3

#: The first calls of the store wait up to this long, at random (s).
_START_SPREAD_S = 0.15

#: The same where the whole system starts for the first time (s): callers come
#: 10 s later, and who comes late finds contacts and routes by one call. With
#: 26 nodes a calm day made 274 calls of the store where all came within 0.15 s.
_FIRST_START_SPREAD_S = 1.5

#: Without the records of the store a node that has found peers goes on after
#: this time (s), and one that has found nobody after the other.
_RECORDS_FROM_PEERS_S = 0.5
_RECORDS_FROM_NOBODY_S = 3.0

#: After the signal to stop, new callers are taken for this long (s): the
#: platform asks once a second and takes a node out after two misses.
_STOP_NOTICE_S = 2.3

#: From the signal to stop until connections are closed at the latest (s), as a
#: part of the time that the platform grants.
_STOP_PART = 0.88

#: A stopping node closes once no request came for this time (s).
_QUIET_S = 0.4

_GOSSIP = GossipOptions(
    probe_period_s=1.0,
    probe_timeout_s=0.4,
    suspicion_periods=2.0,
    push_delay_s=0.05,
    rejoin_period_s=2.0,
    sync_period_s=8.0,
    sync_soon_s=0.3,
    forget_s=120.0,
)

#: A node alone looks for others within a second of the store's return.
_DISCOVERY = DiscoveryOptions(
    spread_s=_START_SPREAD_S,
    backoff_s=0.3,
    backoff_most_s=1.0,
    early_looks=0,
    calls_at_once=30,
    calls_per_hour=1200.0,
    contacts=3,
)

_STORE_BUDGET = StoreBudget(
    calls_per_s=10.0, burst=60, first_pause_s=0.1, longest_pause_s=0.8
)


class SidecarNode:
    """One node: its listeners, the data path, and the control tasks."""

    def __init__(
        self,
        settings: PlacedSettings,
        clock: Clock,
        file: SettingsFile,
        output: BoundedOutput,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._file = file
        self._output = output
        self._rng = random.Random(int.from_bytes(os.urandom(8), "big"))
        self._log = PartLogger("node", clock)
        self._records_known = False
        self._reload = asyncio.Event()

    def _build(self) -> None:
        """Wires everything; called where the event loop runs."""
        settings = self._settings
        self._stopping = anyio.Event()
        self._peer_sender = AiohttpSender(_PEER_CONNECTIONS, _PEER_KEEPALIVE_S)
        self._server_sender = AiohttpSender(
            _SERVER_CONNECTIONS, _SERVER_KEEPALIVE_S
        )
        self._store = BudgetedStore(
            PlatformStore(AiohttpSender(_STORE_CONNECTIONS), settings.store),
            self._clock,
            self._rng,
            _STORE_BUDGET,
        )
        self._client = HttpPeerClient(self._peer_sender)
        self._membership = MembershipTasks(
            settings=_membership_settings(settings),
            clock=self._clock,
            rng=self._rng,
            listing=OpenListing(),
            client=self._client,
            store=self._store,
            options=_GOSSIP,
            discovery=dataclasses.replace(
                _DISCOVERY, spread_s=_start_spread_s(settings)
            ),
        )
        self._routes = RoutesInForce(self._clock)
        self._metrics = NodeExposition()
        self._build_target()
        self._build_entry()
        self._build_control()

    def _build_target(self) -> None:
        self._target = SidecarTarget(
            settings=self._settings,
            clock=self._clock,
            sender=self._server_sender,
            dialect=PlatformDialect(),
            board=self._membership.board,
            ready_changed=self._ready_changed,
        )
        self._ready_changed(False)
        self._routes.listen(self._adopted)

    def _build_entry(self) -> None:
        settings = self._settings
        self._chooser = FreshLoadChooser(
            self._rng,
            node_name=settings.node,
            failure_domain=settings.failure_domain,
            own_load=self._target.pipeline.load,
            tells_unasked=lambda member: self._loads.tells_unasked(member),
        )
        self._budget = SharedBudget(
            settings.retry_share,
            settings.retry_slack,
            settings.retry_window_s,
            self._membership.node_count,
        )
        forward = ForwardRunner(
            node_name=settings.node,
            clock=self._clock,
            target=self._target.pipeline,
            sender=self._peer_sender,
            unreachable=self._membership.unreachable,
        )
        self._entry = EntryPipeline(
            clock=self._clock,
            classifier=RoutedClassifier(
                clock=self._clock,
                routes=self._routes,
                rules=ServiceRules(),
                read=self._read_caller,
                work_s=self._chooser.work_s,
            ),
            directory=self._membership.directory,
            chooser=self._chooser,
            retries=SharedRetries(self._budget),
            hedges=HedgeBeforeAim(self._budget, self._chooser),
            runner=CarefulRunner(forward),
            claims=NoClaims(),
            quarantine=self._target.quarantine,
            observers=(RequestLog(self._clock), self._metrics),
            retry_after=RetryAfter(
                _RETRY_S, _MOST_RETRY_S, _RETRY_SPREAD, self._rng
            ),
            respond=respond,
        )
        self._callers = RequestsInProgress(
            CallerListener(self._entry).handle, self._clock
        )
        self._peers = PeerListener(
            node_name=settings.node,
            clock=self._clock,
            rules_for=lambda service: ServiceRules(),
            target=self._target.pipeline,
            asked_by=lambda host: self._loads.asked_by(host),
        )
        self._membership.listen_on(self._peers)
        self._attempts = RequestsInProgress(
            self._peers.handle, self._clock, is_attempt
        )
        self._loads = LoadSharing(
            node_name=settings.node,
            failure_domain=settings.failure_domain,
            clock=self._clock,
            rng=self._rng,
            gossip=self._membership.gossip,
            directory=self._membership.directory,
            target=self._target.pipeline,
            chooser=self._chooser,
        )
        self._target.pulse.listen(self._loads.tell)

    def _build_control(self) -> None:
        settings = self._settings
        self._records = LeavingRecords(
            node_name=settings.node,
            clock=self._clock,
            store=self._store,
            directory=self._membership.directory,
            board=self._membership.board,
            peers=self._client,
            rng=self._rng,
            learned=self._target.server.leave,
        )
        self._feed = RouteFeed(
            node_name=settings.node,
            failure_domain=settings.failure_domain,
            key=ROUTES_KEY,
            decode=read_routes,
            store=self._store,
            in_force=self._routes,
            directory=self._membership.directory,
            board=self._membership.board,
            peers=self._client,
            clock=self._clock,
            rng=self._rng,
            first_wait_s=(
                _FIRST_START_SPREAD_S if settings.first_start else 0.0
            ),
        )
        self._peers.add_control(
            ROUTES_CONTROL, self._feed.handle, ROUTES_MAX_BYTES
        )
        self._peers.add_control(LEAVING_CONTROL, self._records.handle)
        add_metrics(
            self._metrics,
            Counted(
                self._entry.counts,
                self._target,
                self._membership,
                self._routes,
                self._store,
                self._loads.socket,
                self._output,
            ),
        )
        self._heartbeats = HeartbeatListener(
            clock=self._clock,
            register=self._target.register,
            records=self._records,
            known=lambda: self._records_known,
        )

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT; then finishes what is in progress."""
        self._build()
        async with anyio.create_task_group() as tasks:
            await self._listen()
            tasks.start_soon(self._wait_for_signal)
            tasks.start_soon(self._membership.run)
            tasks.start_soon(self._feed.run)
            tasks.start_soon(self._learn_records)
            tasks.start_soon(self._target.keeper.run)
            tasks.start_soon(self._loads.run)
            tasks.start_soon(self._entry.run_hedges)
            tasks.start_soon(self._follow_settings)
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
        settings = self._settings
        caller_limits = ServerLimits(idle_s=_CALLER_IDLE_S)
        peer_limits = ServerLimits(idle_s=_PEER_IDLE_S)
        wanted: tuple[tuple[Handler, Address, ServerLimits], ...] = (
            (self._attempts.handle, settings.peers, peer_limits),
            (self._heartbeats.handle, settings.control, caller_limits),
            (self._callers.handle, settings.callers, caller_limits),
            (Readiness(self._ready).handle, settings.ready, caller_limits),
        )
        if settings.metrics_port:
            address = Address(settings.host, settings.metrics_port)
            listener = MetricsListener(self._metrics)
            wanted += ((listener.handle, address, caller_limits),)
        self._servers: list[AiohttpServer] = []
        await self._loads.socket.start(settings.peers)
        for handler, address, limits in wanted:
            server = AiohttpServer(limits)
            await server.start(logging_failures(handler, self._log), address)
            self._servers.append(server)

    async def _learn_records(self) -> None:
        """Learns which incarnations leave, before the server gets work."""
        began = self._clock.monotonic()
        while not self._settings.first_start:
            if await self._records.load():
                break
            waited_s = self._clock.monotonic() - began
            alone = self._membership.node_count() <= 1
            if not alone and waited_s >= _RECORDS_FROM_PEERS_S:
                break
            if waited_s >= _RECORDS_FROM_NOBODY_S:
                break
            await anyio.sleep(0.2)
        self._records_known = True
        self._heartbeats.records_known()

    async def _stop(self) -> None:
        """Tells first, then refuses, then finishes what is in progress."""
        began = self._clock.monotonic()
        last = self._settings.stop_grace_s * _STOP_PART
        self._membership.announce(Announced.LEAVING)
        self._target.pipeline.leave()
        self._loads.tell()
        self._callers.ask_to_close()
        self._attempts.ask_to_close()
        await anyio.sleep(_STOP_NOTICE_S)
        with anyio.move_on_after(max(0.5, last - _STOP_NOTICE_S - 0.6)):
            await self._callers.quiet(_QUIET_S)
            await self._callers.finished()
            await self._target.pipeline.drained()
            await self._attempts.finished()
        await self._membership.say_left()
        left_s = began + last - self._clock.monotonic()
        async with anyio.create_task_group() as tasks:
            for server in self._servers:
                tasks.start_soon(server.close, max(0.1, left_s))
        self._loads.socket.close()

    async def _close_senders(self) -> None:
        """Closes what tasks send by, once none of them runs any more."""
        await self._peer_sender.close()
        await self._server_sender.close()
        await self._store.close()

    async def _wait_for_signal(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for number in signals:
                if number is signal.SIGHUP:
                    self._reload.set()
                else:
                    self._stopping.set()

    async def _follow_settings(self) -> None:
        """Takes a changed settings file, with or without a signal."""
        while True:
            with anyio.move_on_after(LOOK_PERIOD_S):
                await self._reload.wait()
            self._reload.clear()
            try:
                changed = self._file.changed()
            except RadishwindError as exc:
                self._log.error(
                    "The settings file is unusable; the old settings stay.",
                    reason=str(exc),
                )
                continue
            if changed is not None:
                self._take_settings(changed)

    def _take_settings(self, changed: PlacedSettings) -> None:
        """Takes what may change without a new start."""
        old, self._settings = self._settings, changed
        self._log.change("Reloaded the settings.", service=changed.service)
        if (old.server, old.service) != (changed.server, changed.service):
            self._target.server.move(changed.server, changed.service)
            self._membership.serve(changed.service)

    def _read_caller(self, headers: Headers) -> CallerFields:
        return read_caller(headers, self._settings.service)

    def _ready(self) -> bool:
        return self._routes.cfg is not None and not self._stopping.is_set()

    def _ready_changed(self, ready: bool) -> None:
        """Tells peers whether the server beside takes new work."""
        if self._stopping.is_set():
            return
        if ready:
            self._membership.serve(self._target.server.service)
        announced = Announced.ALIVE if ready else Announced.DRAINING
        self._membership.announce(announced)

    def _adopted(self, cfg: RouteConfig) -> None:
        self._membership.note_revision(cfg.version)
        self._target.adopt(cfg)


def _membership_settings(settings: PlacedSettings) -> NodeSettings:
    """Returns the settings that membership reads."""
    return NodeSettings(
        target=settings.node,
        service=settings.service,
        failure_domain=settings.failure_domain,
        store=settings.store,
        caller_listen=settings.callers,
        peer_listen=settings.peers,
        peer_address=settings.peer_address,
        admin_listen=settings.control,
        start_spread_s=_start_spread_s(settings),
    )


def _start_spread_s(settings: PlacedSettings) -> float:
    """Returns how long the first calls of the store wait at most (s)."""
    if settings.first_start:
        return _FIRST_START_SPREAD_S
    return _START_SPREAD_S
