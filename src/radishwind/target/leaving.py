"""Records which lives of servers leave, so that a restart does not forget it.

A life that leaves must get nothing new once that was acknowledged,
also from a node that was killed meanwhile and began anew. So the word is kept
by the store or by two peers before it is acknowledged.
"""

from collections.abc import Callable
import random

import anyio
import anyio.abc
import msgspec

from radishwind.core.clock import Clock
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.http.types import whole_body
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.membership.rumor_bus import RumorBus
from radishwind.peers.client import PeerClient
from radishwind.peers.client import PeerError
from radishwind.store.base import Put
from radishwind.store.base import Store
from radishwind.store.base import StoreError
from radishwind.target.server_process import ServerProcess
from radishwind.telemetry.logs import PartLogger

PREFIX = "radishwind/leaving/"
TOPIC = "leaving"
CONTROL_NAME = "leaving"

#: How long a record is kept (s): a server that leaves goes on for its drain
#: time and at times many seconds more, and its node may restart within that.
KEPT_S = 120

#: Peers that keep the word where the store does not.
PEERS_ENOUGH = 2

#: Peers asked to keep it.
_PEERS_ASKED = 4

#: What a peer answers that keeps the word.
_KEPT = b"{}"

#: How long a peer may take (s).
_PEER_TIMEOUT_S = 0.4


class LeavingRecords:
    """Keeps and tells which lives of servers leave."""

    def __init__(
        self,
        *,
        node_name: str,
        clock: Clock,
        store: Store,
        directory: Directory,
        rumor_bus: RumorBus,
        peers: PeerClient,
        rng: random.Random,
        learned: Callable[[ServerProcess], object],
    ) -> None:
        """Wires the records.

        Args:
          node_name: of this node.
          clock: the clock.
          store: the platform's store.
          directory: the nodes there are.
          rumor_bus: tells every node.
          peers: calls other nodes.
          rng: chooses the peers that are asked.
          learned: takes each life that leaves.
        """
        self._node_name = node_name
        self._clock = clock
        self._store = store
        self._directory = directory
        self._rumor_bus = rumor_bus
        self._peers = peers
        self._rng = rng
        self._learned = learned
        self._log = PartLogger("leaving", clock)
        self._kept: set[str] = set()
        rumor_bus.subscribe(TOPIC, self._on_rumor)

    async def load(self) -> bool:
        """Reads the records of the store; returns whether that worked."""
        try:
            entries = await self._store.list(PREFIX)
        except StoreError as exc:
            self._log.warning("Records unread.", reason=str(exc)[:120])
            return False
        for entry in entries:
            self._learned(
                ServerProcess.from_key(entry.key.removeprefix(PREFIX))
            )
        return True

    async def persist(self, life: ServerProcess, within_s: float) -> bool:
        """Returns whether the word on `life` is kept now.

        Args:
          life: one that leaves.
          within_s: how long this may take (s).
        """
        key = life.key
        if key in self._kept:
            return True
        self._tell_all(key)
        kept = anyio.Event()
        with anyio.move_on_after(within_s):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._keep_in_store, key, kept)
                tasks.start_soon(self._keep_at_peers, key, kept)
                await kept.wait()
                tasks.cancel_scope.cancel()
        if not kept.is_set():
            self._log.change(
                "Nobody keeps the word on a server that leaves.",
                life=key,
            )
            return False
        self._kept.add(key)
        return True

    async def handle(self, request: Request) -> Response:
        """Keeps the word that a peer brings."""
        body = await whole_body(request.body)
        try:
            key = body.decode()
        except UnicodeDecodeError as exc:
            self._log.warning("A peer's word is malformed.", reason=str(exc))
            return Response(400)
        self._tell_all(key)
        return Response(200, (), _KEPT, len(_KEPT))

    def _tell_all(self, key: str) -> None:
        self._rumor_bus.publish(TOPIC, key, 1, msgspec.json.encode(1), KEPT_S)

    async def _keep_in_store(self, key: str, kept: anyio.Event) -> None:
        try:
            lease = await self._store.grant(KEPT_S)
            put = Put(PREFIX + key, b"1", lease)
            await self._store.transact((), (put,))
        except StoreError as exc:
            self._log.info("The store did not keep it.", reason=str(exc)[:120])
            return
        kept.set()

    async def _keep_at_peers(self, key: str, kept: anyio.Event) -> None:
        members = [
            m
            for m in self._directory.members()
            if m.name != self._node_name and m.state is MemberState.ALIVE
        ]
        self._rng.shuffle(members)
        confirmed: list[str] = []

        async def ask(member: Member) -> None:
            try:
                await self._peers.call(
                    member.address,
                    CONTROL_NAME,
                    key.encode(),
                    _PEER_TIMEOUT_S,
                )
            except PeerError as exc:
                self._log.info("A peer kept nothing.", reason=str(exc)[:120])
                return
            confirmed.append(member.name)
            if len(confirmed) >= PEERS_ENOUGH:
                kept.set()

        async with anyio.create_task_group() as tasks:
            for member in members[:_PEERS_ASKED]:
                tasks.start_soon(ask, member)

    def _on_rumor(self, key: str, value: bytes) -> None:
        self._learned(ServerProcess.from_key(key))
