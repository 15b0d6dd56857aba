"""Records of the server processes that are leaving; they survive a restart.

A process that is leaving must get no new requests once that was acknowledged,
not even if all nodes are killed at that moment. Therefore the record is in the
store before it is acknowledged. A node that the store turns away asks peers to
write the record. What nodes hold in memory counts as no copy.
"""

import collections
from collections.abc import Callable
import random

import anyio
import anyio.abc
import msgspec

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.decoding import decode_text
from radishwind.decoding import MalformedInputError
from radishwind.http.types import read_body
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.membership.records import MAX_RUMOR_KEY_CHARS
from radishwind.membership.rumor_bus import RumorBus
from radishwind.outcomes.responses import problem_response
from radishwind.peers.peer_client import PeerClient
from radishwind.peers.peer_client import PeerError
from radishwind.store.base import Put
from radishwind.store.base import Store
from radishwind.store.base import StoreError
from radishwind.supervision import run_contained
from radishwind.target.leaving_records_reader import LeavingRecordsReader
from radishwind.target.leaving_records_reader import PREFIX
from radishwind.target.server_process import ServerProcess
from radishwind.telemetry.part_logger import PartLogger

TOPIC = "leaving"
CONTROL_NAME = "leaving"

#: Lifetime of a record (s). A server that is leaving continues for its drain
#: time, at times many seconds longer, and its node may restart within that.
RECORD_TTL_S = 120

#: Peers asked to write the record, and the time after which they are asked if
#: the store has neither confirmed nor refused it (s).
_PEERS_ASKED = 2
_PEER_DELAY_S = 0.25

#: Timeout of persisting an announced record, and the delay before the next try
#: (s).
_PERSIST_S = 0.8
_RETRY_DELAY_S = 0.5

#: Persisted records remembered; the oldest is dropped first.
_MAX_PERSISTED = 64

#: Announced records waiting to be persisted; the oldest is dropped first.
_MAX_UNPERSISTED = 16

#: The response of a peer that has written the record.
_STORED = b'{"stored":true}'

#: Timeouts of a call to a peer, and of its write (s).
_PEER_TIMEOUT_S = 0.5
_PEER_WRITE_S = 0.4


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
        reader: LeavingRecordsReader,
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
          reader: reads the records that the store holds.
          on_leaving: called with each process that is leaving.
        """
        self._node_name = node_name
        self._clock = clock
        self._store = store
        self._directory = directory
        self._rumor_bus = rumor_bus
        self._peers = peers
        self._rng = rng
        self._reader = reader
        self._on_leaving = on_leaving
        self._log = PartLogger("leaving", clock)
        # The processes whose records this node has persisted, and until when
        # the store keeps them (monotonic s).
        self._persisted: dict[ServerProcess, float] = {}
        self._unpersisted: collections.deque[ServerProcess] = collections.deque(
            maxlen=_MAX_UNPERSISTED
        )
        self._announced = anyio.Event()
        rumor_bus.subscribe(TOPIC, self._on_rumor)

    async def load(self) -> bool:
        """Reads the records in the store; returns whether that succeeded."""
        keys = await self._reader.read()
        if keys is None:
            return False
        for key in keys:
            self._on_leaving(ServerProcess.from_key(key))
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
            while self._unpersisted:
                process = self._unpersisted.popleft()
                is_persisted = False
                try:
                    is_persisted = await self.persist(process, _PERSIST_S)
                except Exception:
                    # The others come first the next time.
                    self._unpersisted.append(process)
                    raise
                if not is_persisted:
                    self._unpersisted.appendleft(process)
                    await anyio.sleep(_RETRY_DELAY_S)
            await self._announced.wait()
            self._announced = anyio.Event()

    async def persist(self, process: ServerProcess, within_s: float) -> bool:
        """Persists the record of a process; returns whether that succeeded.

        A write that is cut short may still take effect, which does no harm.

        Args:
          process: the process that is leaving.
          within_s: timeout (s).
        """
        now = self._clock.monotonic()
        if self._persisted.get(process, 0.0) > now:
            return True
        key = process.key
        self._publish(key)
        stored, failed = anyio.Event(), anyio.Event()
        with anyio.move_on_after(within_s):
            async with anyio.create_task_group() as tasks:
                for write in (self._store_or_fail, self._store_by_peers):
                    tasks.start_soon(
                        run_contained,
                        "leaving.writes",
                        write,
                        key,
                        stored,
                        failed,
                    )
                await stored.wait()
                tasks.cancel_scope.cancel()
        took_s = round(self._clock.monotonic() - now, 3)
        if not stored.is_set():
            self._log.change(
                "The store does not hold a leaving record yet.",
                life=key,
                took_s=took_s,
            )
            return False
        self._log.change(
            "The store holds a leaving record.", life=key, took_s=took_s
        )
        self._remember_persisted(process, now + RECORD_TTL_S)
        return True

    def on_new_era(self) -> None:
        """Persists again what a store that came back from a copy may lack."""
        now = self._clock.monotonic()
        persisted, self._persisted = self._persisted, {}
        for process, kept_until in persisted.items():
            if kept_until > now:
                self.announce(process)

    async def handle(self, request: Request) -> Response:
        """Writes a record for a peer that the store turns away."""
        body = await read_body(request.body)
        try:
            key = _decode_key(body)
        except MalformedInputError as exc:
            self._log.warning(
                "A leaving record of a peer is malformed.", reason=str(exc)
            )
            return problem_response(
                ResultCode.PEER_MALFORMED, exc.args[0], "not-run"
            )
        self._publish(key)
        is_stored = False
        with anyio.move_on_after(_PEER_WRITE_S):
            is_stored = await self._store_record(key)
        if not is_stored:
            return Response(503, (), b"", 0)
        return Response(200, (), _STORED, len(_STORED))

    def _publish(self, key: str) -> None:
        self._rumor_bus.publish(
            TOPIC, key, 1, msgspec.json.encode(1), RECORD_TTL_S
        )

    async def _store_record(self, key: str) -> bool:
        """Writes a record to the store; returns whether it is confirmed."""
        try:
            lease = await self._store.grant(RECORD_TTL_S)
            put = Put(PREFIX + key, b"1", lease)
            await self._store.transact((), (put,))
        except StoreError as exc:
            self._log.info(
                "The store did not persist a leaving record.",
                reason=str(exc)[:120],
            )
            return False
        return True

    async def _store_or_fail(
        self, key: str, stored: anyio.Event, failed: anyio.Event
    ) -> None:
        """Sets the event that tells whether this node could write a record."""
        is_stored = await run_contained(
            "leaving.writes", self._store_record, key
        )
        (stored if is_stored else failed).set()

    async def _store_by_peers(
        self, key: str, stored: anyio.Event, failed: anyio.Event
    ) -> None:
        """Asks peers to write a record that this node could not write yet."""
        with anyio.move_on_after(_PEER_DELAY_S):
            await failed.wait()
        members = [
            m
            for m in self._directory.members()
            if m.name != self._node_name and m.state is MemberState.ALIVE
        ]
        self._rng.shuffle(members)
        async with anyio.create_task_group() as tasks:
            for member in members[:_PEERS_ASKED]:
                tasks.start_soon(
                    run_contained,
                    "leaving.peer_writes",
                    self._ask_peer,
                    member,
                    key,
                    stored,
                )

    async def _ask_peer(
        self, member: Member, key: str, stored: anyio.Event
    ) -> None:
        try:
            answer = await self._peers.call(
                member.address, CONTROL_NAME, key.encode(), _PEER_TIMEOUT_S
            )
        except PeerError as exc:
            self._log.info(
                "A peer did not write a leaving record.",
                peer=member.name,
                reason=str(exc)[:120],
            )
            return
        # A peer of an earlier version only remembers it.
        if answer == _STORED:
            stored.set()

    def _remember_persisted(
        self, process: ServerProcess, kept_until: float
    ) -> None:
        self._persisted[process] = kept_until
        while len(self._persisted) > _MAX_PERSISTED:
            del self._persisted[next(iter(self._persisted))]

    def _on_rumor(self, key: str, value: bytes) -> None:
        self._on_leaving(ServerProcess.from_key(key))


def _decode_key(body: bytes) -> str:
    """Returns the key in a message of a peer.

    Raises:
      MalformedInputError: it can't be the key of a rumor and of the store.
    """
    key = decode_text(body, "a leaving record", MAX_RUMOR_KEY_CHARS)
    if not key or not key.isascii() or not key.isprintable():
        raise MalformedInputError("expected a leaving record of plain text")
    return key
