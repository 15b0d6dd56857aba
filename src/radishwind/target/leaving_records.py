"""Records of the server processes that are leaving; they survive a restart.

A process that is leaving must get no new requests once that was acknowledged,
not even from a node that was killed meanwhile and restarted. Therefore the
record is persisted by the store or by two peers before it is acknowledged.
"""

import collections
from collections.abc import Callable
import random

import anyio
import anyio.abc
import msgspec

from radishwind.core.clock import Clock
from radishwind.http.types import read_body
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.membership.rumor_bus import RumorBus
from radishwind.peers.peer_client import PeerClient
from radishwind.peers.peer_client import PeerError
from radishwind.store.base import Put
from radishwind.store.base import Store
from radishwind.store.base import StoreError
from radishwind.target.server_process import ServerProcess
from radishwind.telemetry.part_logger import PartLogger

PREFIX = "radishwind/leaving/"
TOPIC = "leaving"
CONTROL_NAME = "leaving"

#: Lifetime of a record (s). A server that is leaving continues for its drain
#: time, at times many seconds longer, and its node may restart within that.
RECORD_TTL_S = 120

#: Peers that must hold the record where the store does not.
MIN_PEER_COPIES = 2

#: Peers asked to hold it.
_PEERS_ASKED = 4

#: Timeout of persisting an announced record, and the delay before the next try
#: (s).
_PERSIST_S = 0.8
_RETRY_DELAY_S = 0.5

#: Announced records waiting to be persisted; the oldest is dropped first.
_MAX_UNPERSISTED = 16

#: The response of a peer that holds the record.
_ACKNOWLEDGED = b"{}"

#: Timeout of a call to a peer (s).
_PEER_TIMEOUT_S = 0.4


class LeavingRecords:
    """Persists and distributes which server processes are leaving."""

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
        on_leaving: Callable[[ServerProcess], object],
    ) -> None:
        """Creates the records and subscribes to those of other nodes.

        Args:
          node_name: the name of this node.
          clock: the clock.
          store: the platform's store.
          directory: the members of the fleet.
          rumor_bus: distributes the records to all nodes.
          peers: calls other nodes.
          rng: chooses the peers that are asked.
          on_leaving: called with each process that is leaving.
        """
        self._node_name = node_name
        self._clock = clock
        self._store = store
        self._directory = directory
        self._rumor_bus = rumor_bus
        self._peers = peers
        self._rng = rng
        self._on_leaving = on_leaving
        self._log = PartLogger("leaving", clock)
        self._persisted: set[str] = set()
        self._unpersisted: collections.deque[ServerProcess] = collections.deque(
            maxlen=_MAX_UNPERSISTED
        )
        self._announced = anyio.Event()
        rumor_bus.subscribe(TOPIC, self._on_rumor)

    async def load(self) -> bool:
        """Reads the records in the store; returns whether that succeeded."""
        try:
            entries = await self._store.list(PREFIX)
        except StoreError as exc:
            self._log.warning(
                "Could not read the leaving records.", reason=str(exc)[:120]
            )
            return False
        for entry in entries:
            self._on_leaving(
                ServerProcess.from_key(entry.key.removeprefix(PREFIX))
            )
        return True

    def announce(self, process: ServerProcess) -> None:
        """Publishes the record of a process; `run` persists it.

        Args:
          process: the process that is leaving.
        """
        self._publish(process.key)
        self._unpersisted.append(process)
        self._announced.set()

    async def run(self) -> None:
        """Persists the announced records until cancelled."""
        while True:
            await self._announced.wait()
            self._announced = anyio.Event()
            while self._unpersisted:
                process = self._unpersisted.popleft()
                if not await self.persist(process, _PERSIST_S):
                    self._unpersisted.appendleft(process)
                    await anyio.sleep(_RETRY_DELAY_S)

    async def persist(self, process: ServerProcess, within_s: float) -> bool:
        """Persists the record of a process; returns whether that succeeded.

        Args:
          process: the process that is leaving.
          within_s: timeout (s).
        """
        key = process.key
        if key in self._persisted:
            return True
        self._publish(key)
        persisted = anyio.Event()
        with anyio.move_on_after(within_s):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._persist_in_store, key, persisted)
                tasks.start_soon(self._persist_at_peers, key, persisted)
                await persisted.wait()
                tasks.cancel_scope.cancel()
        if not persisted.is_set():
            self._log.change(
                "Neither the store nor enough peers hold a leaving record.",
                life=key,
            )
            return False
        self._persisted.add(key)
        return True

    async def handle(self, request: Request) -> Response:
        """Accepts a record from a peer."""
        body = await read_body(request.body)
        try:
            key = body.decode()
        except UnicodeDecodeError as exc:
            self._log.warning(
                "A leaving record of a peer is malformed.", reason=str(exc)
            )
            return Response(400)
        self._publish(key)
        return Response(200, (), _ACKNOWLEDGED, len(_ACKNOWLEDGED))

    def _publish(self, key: str) -> None:
        self._rumor_bus.publish(
            TOPIC, key, 1, msgspec.json.encode(1), RECORD_TTL_S
        )

    async def _persist_in_store(self, key: str, persisted: anyio.Event) -> None:
        try:
            lease = await self._store.grant(RECORD_TTL_S)
            put = Put(PREFIX + key, b"1", lease)
            await self._store.transact((), (put,))
        except StoreError as exc:
            self._log.info(
                "The store did not persist a leaving record.",
                reason=str(exc)[:120],
            )
            return
        persisted.set()

    async def _persist_at_peers(self, key: str, persisted: anyio.Event) -> None:
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
                self._log.info(
                    "A peer did not confirm a leaving record.",
                    reason=str(exc)[:120],
                )
                return
            confirmed.append(member.name)
            if len(confirmed) >= MIN_PEER_COPIES:
                persisted.set()

        async with anyio.create_task_group() as tasks:
            for member in members[:_PEERS_ASKED]:
                tasks.start_soon(ask, member)

    def _on_rumor(self, key: str, value: bytes) -> None:
        self._on_leaving(ServerProcess.from_key(key))
