"""Assembles a node and runs it until a signal stops it."""

import asyncio
import os
import random
from typing import Any

import anyio
import anyio.abc
import msgspec

from radishwind.config.index import ConfigIndex
from radishwind.config.model import Configuration
from radishwind.config.model import ServiceRules
from radishwind.core import Clock
from radishwind.entry import EntryPipeline
from radishwind.entry.classifier import InventoryClassifier
from radishwind.hedging import QuantileHedgePolicy
from radishwind.http import make_sender
from radishwind.http import make_server
from radishwind.http.connection_memory import ConnectionMemory
from radishwind.membership import AdvertisedState
from radishwind.membership.allowlist import InventoryAllowlist
from radishwind.node.admin import AdminListener
from radishwind.node.caller_listener import CallerListener
from radishwind.node.claims import make_claims
from radishwind.node.config import make_config
from radishwind.node.config import make_stores
from radishwind.node.entry import make_node_chooser
from radishwind.node.error_logging import with_error_logging
from radishwind.node.membership_tasks import MembershipTasks
from radishwind.node.metrics import add_metrics
from radishwind.node.node_telemetry import NodeTelemetry
from radishwind.node.peer_security import make_peer_security
from radishwind.node.requests_in_progress import RequestsInProgress
from radishwind.node.target_side import TargetSide
from radishwind.peers import ForwardRunner
from radishwind.peers import HttpPeerClient
from radishwind.peers import PeerListener
from radishwind.peers.attempts import is_forwarded_attempt
from radishwind.process.runnable_node import RunnableNode
from radishwind.quarantine.isolating_runner import IsolatingRunner
from radishwind.retries import BudgetedRetryPolicy
from radishwind.routing.placement import UnrestrictedPlacement
from radishwind.settings import NodeSettings
from radishwind.supervision import Duty
from radishwind.supervision import FailureLog
from radishwind.supervision import handle_loop_errors
from radishwind.supervision import set_failure_log
from radishwind.supervision import StopSteps
from radishwind.supervision import Supervisor
from radishwind.telemetry.part_logger import PartLogger

#: Maximum number of connections to each peer or the server, and to the store.
#: Claims have connections of their own to the store, so that they never wait
#: behind a watch or a slow read.
_PEER_CONNECTIONS = 250
_PROBE_CONNECTIONS = 1
_STORE_CONNECTIONS = 4
_CLAIM_CONNECTIONS = 8

#: A stopping node closes its peer listener once no forwarded attempt arrived
#: for this time (s).
_QUIET_PERIOD_S = 0.5


class Node(RunnableNode):
    """A node: three listeners, the data path and the control tasks."""

    def __init__(self, settings: NodeSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        seed = settings.seed or int.from_bytes(os.urandom(8), "big")
        self._rng = random.Random(seed)
        self._index = ConfigIndex(Configuration())
        self._stopping = anyio.Event()
        self._log = PartLogger("node", clock)
        self._failures = FailureLog(clock)
        self._supervisor = Supervisor(clock, self._rng, self._failures)
        self._stop_steps = StopSteps()
        self._build_control()
        self._build_data_path()
        self._build_admin()

    def _build_control(self) -> None:
        library = self._settings.http_library
        self._memory = memory = ConnectionMemory(
            self._settings.connection_memory_bytes, self._clock
        )
        self._sender = make_sender(library, _PEER_CONNECTIONS, memory)
        self._probe_sender = make_sender(library, _PROBE_CONNECTIONS, memory)
        self._stores = make_stores(
            self._settings,
            make_sender(library, _STORE_CONNECTIONS, memory),
            make_sender(library, _CLAIM_CONNECTIONS, memory),
            self._clock,
            self._rng,
        )
        self._signer, self._verifier = make_peer_security(
            self._settings, self._clock
        )
        self._client = HttpPeerClient(self._sender, self._signer)
        self._membership = MembershipTasks(
            settings=self._settings,
            clock=self._clock,
            rng=self._rng,
            allowlist=InventoryAllowlist(lambda: self._index),
            client=self._client,
            store=self._stores.control,
        )
        self._claims = make_claims(
            self._settings,
            self._clock,
            self._rng,
            self._stores.claims,
            self._membership.node_count,
        )
        self._telemetry = NodeTelemetry(
            self._settings,
            self._clock,
            self._membership.directory,
            self._client,
        )

    def _build_data_path(self) -> None:
        self._target_side = TargetSide(
            self._settings,
            self._clock,
            self._sender,
            self._probe_sender,
            self._membership.rumor_bus,
            self._handle_ready_changed,
        )
        self._target = self._target_side.pipeline
        if not self._target_side.is_ready:
            # Until the server has announced itself, this node would refuse the
            # work that peers forward.
            self._handle_ready_changed(False)
        forward = ForwardRunner(
            node_name=self._settings.target,
            clock=self._clock,
            target=self._target,
            sender=self._sender,
            signer=self._signer,
            on_unreachable=self._membership.report_unreachable,
        )
        self._entry = EntryPipeline(
            clock=self._clock,
            classifier=InventoryClassifier(
                node_name=self._settings.target,
                clock=self._clock,
                rng=self._rng,
                index=lambda: self._index,
            ),
            placement=UnrestrictedPlacement(self._membership.directory),
            chooser=make_node_chooser(
                self._settings, self._rng, lambda: self._index, self._target
            ),
            retries=BudgetedRetryPolicy(),
            hedges=QuantileHedgePolicy(),
            runner=IsolatingRunner(forward),
            claims=self._claims.guard,
            quarantine=self._target_side.quarantine,
            observers=self._telemetry.observers,
        )
        self._callers = RequestsInProgress(
            CallerListener(self._entry).handle, self._clock
        )
        self._peers = PeerListener(
            node_name=self._settings.target,
            clock=self._clock,
            rules_for=self._rules_for,
            target=self._target,
            verifier=self._verifier,
        )
        self._membership.listen_on(self._peers)
        self._attempts = RequestsInProgress(
            self._peers.handle, self._clock, is_forwarded_attempt
        )

    def _build_admin(self) -> None:
        self._admin = AdminListener()
        self._admin.add_status(self._status)
        self._admin.add_status(self._membership.status)
        self._admin.add_status(self._claims.status)
        self._target_side.add_to(self._admin)
        self._target_side.add_metrics(self._telemetry)
        add_metrics(
            self._telemetry,
            self._entry,
            self._membership,
            self._supervisor,
            self._memory,
        )
        self._telemetry.add_to(self._admin, self._peers)
        self._config = make_config(
            settings=self._settings,
            clock=self._clock,
            rng=self._rng,
            stores=self._stores,
            directory=self._membership.directory,
            peers=self._client,
            rumor_bus=self._membership.rumor_bus,
            listener=self._peers,
            admin=self._admin,
            telemetry=self._telemetry,
            on_adopted=self._handle_adopted,
        )
        library = self._settings.http_library
        self._servers = [
            make_server(library, memory=self._memory) for _ in range(3)
        ]

    async def run(self) -> None:
        """Runs until `request_stop`, then drains and stops.

        An error that is no duty's stops the node in the same way; it is raised
        at the end.
        """
        set_failure_log(self._failures)
        handle_loop_errors(asyncio.get_running_loop())
        async with anyio.create_task_group() as tasks:
            try:
                await self._start(tasks)
                await self._stopping.wait()
            except Exception as exc:
                self._stop_after_error("run", exc)
            self._log.info("Stops as planned; finishes what is in progress.")
            await self._stop_steps.run("shutdown", self._stop)
            tasks.cancel_scope.cancel()
        # Only now, because the tasks use these connections until they end.
        await self._stop_steps.run("senders", self._sender.close)
        await self._stop_steps.run("senders", self._probe_sender.close)
        await self._stop_steps.run("store", self._stores.close)
        error = self._stop_steps.first_error
        if error is not None:
            self._log.failure(
                "Stopped after an error.", error, may_suppress=False
            )
            raise error
        self._log.info("Stopped.")

    async def _start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Opens the listeners and starts the duties in `tasks`."""
        callers, peers, admin = self._servers
        self._supervisor.start(tasks, self._claims.duties())
        await peers.start(
            with_error_logging(self._attempts.handle, self._log),
            self._settings.peer_listen,
        )
        await admin.start(
            with_error_logging(self._admin.handle, self._log),
            self._settings.admin_listen,
        )
        self._supervisor.start(tasks, self._duties())
        await callers.start(
            with_error_logging(self._callers.handle, self._log),
            self._settings.caller_listen,
        )
        self._log.info(
            "Receives callers.", address=str(self._settings.caller_listen)
        )

    def _duties(self) -> tuple[Duty, ...]:
        """Returns the duties, without those of claims, which start first."""
        return (
            *self._config.duties(),
            *self._entry.duties(),
            *self._membership.duties(),
            *self._target_side.duties(),
        )

    def _stop_after_error(self, name: str, exc: Exception) -> None:
        """Stops the node because of an error that is no duty's."""
        self._stop_steps.record(name, exc)
        self._stopping.set()

    async def _stop(self) -> None:
        """Advertises that the node leaves, refuses new work, then drains."""
        steps = self._stop_steps
        callers, attempts = self._callers, self._attempts
        steps.call(
            "leaving", self._membership.advertise, AdvertisedState.LEAVING
        )
        steps.call("callers", callers.request_connection_close)
        steps.call("attempts", attempts.request_connection_close)
        drained_by = self._settings.leave_notice_s + self._settings.stop_grace_s
        steps.call(
            "deadlines",
            self._entry.limit_deadlines,
            self._clock.monotonic() + drained_by,
        )
        await anyio.sleep(self._settings.leave_notice_s)
        steps.call("target", self._target.refuse_new_work)
        await steps.run("listeners", self._servers[0].stop_listening)
        with anyio.move_on_after(self._settings.stop_grace_s):
            await steps.run("target", self._target.wait_drained)
            await steps.run("claims", self._claims.wait_drained)
            await steps.run("callers", callers.wait_idle)
            await steps.run("attempts", attempts.wait_idle)
            await steps.run("attempts", attempts.wait_quiet, _QUIET_PERIOD_S)
        steps.call("queue", self._target.refuse_queued)
        await steps.run("left", self._membership.advertise_left)
        await steps.run("callers", callers.read_arrivals)
        for server in self._servers:
            await steps.run("listeners", server.close, 1.0)

    def request_stop(self) -> None:
        self._stopping.set()

    def reload(self) -> bool:
        # The configuration comes from the store.
        return False

    def _handle_ready_changed(self, ready: bool) -> None:
        """Advertises whether the local backend server takes new work."""
        if self._stopping.is_set():
            return
        self._membership.advertise(
            AdvertisedState.SERVING if ready else AdvertisedState.DRAINING
        )

    def _rules_for(self, service: str) -> ServiceRules:
        return self._index.cfg.rules.for_service(service)

    def _status(self) -> dict[str, Any]:
        return {
            "target": self._settings.target,
            "leaving": self._target.is_leaving,
            "peer_requests_refused": {
                str(int(code)): count
                for code, count in self._peers.refused_by_code.items()
            },
            "duties": msgspec.to_builtins(self._supervisor.statuses()),
            "errors_contained": self._supervisor.error_counts(),
        }

    def _handle_adopted(self, index: ConfigIndex) -> None:
        self._index = index
        self._membership.set_config_revision(index.cfg.revision)
        self._target_side.apply_config(index)
