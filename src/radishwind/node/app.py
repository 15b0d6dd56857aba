"""Composes a node and runs it until it is told to stop."""

import contextlib
import os
import random
import signal
from typing import Any

import anyio
import anyio.abc
import msgspec

from radishwind.config.index import ConfigIndex
from radishwind.config.model import Configuration
from radishwind.core import Clock
from radishwind.entry import EntryPipeline
from radishwind.hedging import HedgeAfterQuantile
from radishwind.http import make_sender
from radishwind.http import make_server
from radishwind.membership import Announced
from radishwind.node.admin import AdminListener
from radishwind.node.callers import CallerListener
from radishwind.node.claims import make_claims
from radishwind.node.entry import node_chooser
from radishwind.node.in_progress import CallersInProgress
from radishwind.node.membership_tasks import MembershipTasks
from radishwind.node.observe import Observation
from radishwind.node.peer_security import make_peer_security
from radishwind.node.target import TargetSide
from radishwind.peers import ForwardRunner
from radishwind.peers import HttpPeerClient
from radishwind.peers import PeerListener
from radishwind.quarantine.runner import CarefulRunner
from radishwind.retries import RetryBudget
from radishwind.settings import NodeSettings
from radishwind.store import EtcdStore
from radishwind.store import StoreError

CONFIG_KEY = "/radishwind/config"
_POLL_S = 0.5

#: Connections kept to one peer or to the server, and to the store.
_PEER_CONNECTIONS = 250
_STORE_CONNECTIONS = 4


class Node:
    """One node: three listeners, the data path, and the control tasks."""

    def __init__(self, settings: NodeSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        seed = settings.seed or int.from_bytes(os.urandom(8), "big")
        self._rng = random.Random(seed)
        self._index = ConfigIndex(Configuration())
        self._stopping = anyio.Event()
        self._build_control()
        self._build_data_path()
        self._build_admin()

    def _build_control(self) -> None:
        library = self._settings.http_library
        self._sender = make_sender(library, _PEER_CONNECTIONS)
        self._store = EtcdStore(
            make_sender(library, _STORE_CONNECTIONS), self._settings.store
        )
        self._signer, self._verifier = make_peer_security(
            self._settings, self._clock
        )
        self._client = HttpPeerClient(self._sender, self._signer)
        self._membership = MembershipTasks(
            settings=self._settings,
            clock=self._clock,
            rng=self._rng,
            index=lambda: self._index,
            client=self._client,
            store=self._store,
        )
        # Connections of its own: no watch or slow reader stands before a claim.
        self._claims_store = EtcdStore(
            make_sender(library, connections=8), self._settings.store
        )
        self._claims = make_claims(
            self._settings,
            self._clock,
            self._rng,
            self._claims_store,
            lambda: len(self._membership.directory.members()),
        )
        self._observation = Observation(
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
            self._membership.board,
            self._drain_changed,
        )
        self._target = self._target_side.pipeline
        forward = ForwardRunner(
            node_name=self._settings.target,
            clock=self._clock,
            target=self._target,
            sender=self._sender,
            signer=self._signer,
            unreachable=self._membership.unreachable,
        )
        self._entry = EntryPipeline(
            node_name=self._settings.target,
            clock=self._clock,
            rng=self._rng,
            index=lambda: self._index,
            directory=self._membership.directory,
            chooser=node_chooser(
                self._settings, self._rng, lambda: self._index, self._target
            ),
            retries=RetryBudget(),
            hedges=HedgeAfterQuantile(),
            runner=CarefulRunner(forward),
            claims=self._claims.guard,
            quarantine=self._target_side.quarantine,
            observers=self._observation.observers,
        )
        self._callers = CallersInProgress(CallerListener(self._entry).handle)
        self._peers = PeerListener(
            node_name=self._settings.target,
            clock=self._clock,
            index=lambda: self._index,
            target=self._target,
            verifier=self._verifier,
        )
        self._membership.listen_on(self._peers)

    def _build_admin(self) -> None:
        self._admin = AdminListener()
        self._admin.add_status(self._status)
        self._admin.add_status(self._membership.status)
        self._admin.add_status(self._claims.status)
        self._target_side.add_to(self._admin)
        self._observation.add_to(self._admin, self._peers)
        library = self._settings.http_library
        self._servers = [make_server(library) for _ in range(3)]

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT; then finishes what is in progress."""
        async with anyio.create_task_group() as tasks:
            callers, peers, admin = self._servers
            self._claims.start(tasks)
            await peers.start(self._peers.handle, self._settings.peer_listen)
            await admin.start(self._admin.handle, self._settings.admin_listen)
            tasks.start_soon(self._poll_store)
            tasks.start_soon(self._membership.run)
            tasks.start_soon(self._target_side.run)
            tasks.start_soon(self._wait_for_signal)
            await callers.start(
                self._callers.handle, self._settings.caller_listen
            )
            await self._stopping.wait()
            await self._stop()
            tasks.cancel_scope.cancel()

    async def _stop(self) -> None:
        """Tells first, then refuses, then finishes what is in progress."""
        self._membership.announce(Announced.LEAVING)
        self._callers.ask_to_close()
        await anyio.sleep(self._settings.leave_notice_s)
        self._target.leave()
        await self._servers[0].stop_listening()
        with anyio.move_on_after(self._settings.stop_grace_s):
            await self._target.drained()
            await self._claims.finished()
            await self._callers.finished()
        await self._membership.say_left()
        for server in self._servers:
            await server.close(1.0)
        await self._sender.close()
        await self._store.close()
        await self._claims_store.close()

    async def _wait_for_signal(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                self._stopping.set()

    def _drain_changed(self, draining: bool) -> None:
        if self._target.leaving and not draining:
            return
        self._membership.announce(
            Announced.DRAINING if draining else Announced.ALIVE
        )

    def _status(self) -> dict[str, Any]:
        return {
            "target": self._settings.target,
            "config_revision": self._index.cfg.revision,
            "leaving": self._target.leaving,
            "peer_requests_refused": {
                str(int(code)): count
                for code, count in self._peers.refused.items()
            },
        }

    async def _poll_store(self) -> None:
        while True:
            with contextlib.suppress(StoreError):
                await self._read_config()
            await anyio.sleep(_POLL_S)

    async def _read_config(self) -> None:
        entry = await self._store.get(CONFIG_KEY)
        if entry is None:
            return
        cfg = msgspec.json.decode(entry.value, type=Configuration)
        if cfg.revision <= self._index.cfg.revision:
            return
        self._index = ConfigIndex(cfg)
        self._membership.note_revision(cfg.revision)
        self._target_side.adopt(self._index)
