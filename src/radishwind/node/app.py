"""Composes a node and runs it until it is told to stop."""

import os
import random
import signal
from typing import Any

import anyio
import anyio.abc
import msgspec

from radishwind.claims import NoClaims
from radishwind.config.index import ConfigIndex
from radishwind.config.model import Configuration
from radishwind.core import Clock
from radishwind.entry import EntryPipeline
from radishwind.hedging import HedgeAfterQuantile
from radishwind.http import make_sender
from radishwind.http import make_server
from radishwind.membership import RumorBoard
from radishwind.membership import SilentBoard
from radishwind.membership.polled import PolledDirectory
from radishwind.node.admin import AdminListener
from radishwind.node.callers import CallerListener
from radishwind.node.entry import node_chooser
from radishwind.node.target import TargetSide
from radishwind.peers import ForwardRunner
from radishwind.peers import PeerListener
from radishwind.quarantine.runner import CarefulRunner
from radishwind.retries import RetryBudget
from radishwind.settings import NodeSettings
from radishwind.store import EtcdStore
from radishwind.store import StoreError

CONFIG_KEY = "/radishwind/config"
_POLL_S = 0.5


class Node:
    """One node: three listeners, the data path, and the control tasks."""

    def __init__(self, settings: NodeSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        seed = settings.seed or int.from_bytes(os.urandom(8), "big")
        self._rng = random.Random(seed)
        self._index = ConfigIndex(Configuration())
        self._stopping = anyio.Event()
        self._build()

    def _build(self) -> None:
        library = self._settings.http_library
        self._sender = make_sender(library, connections=250)
        self._store = EtcdStore(
            make_sender(library, connections=4), self._settings.store
        )
        self._directory = PolledDirectory(lambda: self._index)
        self._board: RumorBoard = SilentBoard()
        self._target_side = TargetSide(
            self._settings, self._clock, self._sender, self._board
        )
        self._target = self._target_side.pipeline
        self._entry = EntryPipeline(
            node_name=self._settings.target,
            clock=self._clock,
            rng=self._rng,
            index=lambda: self._index,
            directory=self._directory,
            chooser=node_chooser(
                self._settings, self._rng, lambda: self._index, self._target
            ),
            retries=RetryBudget(),
            hedges=HedgeAfterQuantile(),
            runner=CarefulRunner(
                ForwardRunner(
                    node_name=self._settings.target,
                    clock=self._clock,
                    target=self._target,
                    sender=self._sender,
                )
            ),
            claims=NoClaims(),
            quarantine=self._target_side.quarantine,
        )
        self._peers = PeerListener(
            node_name=self._settings.target,
            clock=self._clock,
            index=lambda: self._index,
            target=self._target,
        )
        self._admin = AdminListener()
        self._admin.add_status(self._status)
        self._target_side.add_to(self._admin)
        self._servers = [make_server(library) for _ in range(3)]

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT; then finishes what is in progress."""
        async with anyio.create_task_group() as tasks:
            callers, peers, admin = self._servers
            await peers.start(self._peers.handle, self._settings.peer_listen)
            await admin.start(self._admin.handle, self._settings.admin_listen)
            tasks.start_soon(self._poll_store)
            tasks.start_soon(self._target_side.run)
            tasks.start_soon(self._wait_for_signal)
            await callers.start(
                CallerListener(self._entry).handle, self._settings.caller_listen
            )
            await self._stopping.wait()
            await self._stop()
            tasks.cancel_scope.cancel()

    async def _stop(self) -> None:
        self._target.leave()
        await self._servers[0].stop_listening()
        with anyio.move_on_after(self._settings.stop_grace_s):
            await self._target.drained()
        for server in self._servers:
            await server.close(1.0)
        await self._sender.close()
        await self._store.close()

    async def _wait_for_signal(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                self._stopping.set()

    def _status(self) -> dict[str, Any]:
        return {
            "target": self._settings.target,
            "config_revision": self._index.cfg.revision,
            "members": len(self._directory.members()),
            "leaving": self._target.leaving,
        }

    async def _poll_store(self) -> None:
        while True:
            try:
                await self._read_config()
                await self._directory.refresh(
                    self._store, self._settings, self._target.leaving
                )
            except StoreError:
                pass
            await anyio.sleep(_POLL_S)

    async def _read_config(self) -> None:
        entry = await self._store.get(CONFIG_KEY)
        if entry is None:
            return
        cfg = msgspec.json.decode(entry.value, type=Configuration)
        if cfg.revision <= self._index.cfg.revision:
            return
        self._index = ConfigIndex(cfg)
        self._target_side.adopt(self._index)
