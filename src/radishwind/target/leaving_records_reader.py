"""Reads the leaving records of the store, through peers where it must.

After a start a server process counts as staying only if the records, read after
the start, don't have it. That a read fails proves nothing. The store may turn
this node away while it serves others, so that a peer can read for it.
"""

import random

import anyio
import msgspec

from radishwind.core.clock import Clock
from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.peers.peer_client import PeerClient
from radishwind.peers.peer_client import PeerError
from radishwind.store.base import Store
from radishwind.store.base import StoreError
from radishwind.supervision import run_contained
from radishwind.telemetry.part_logger import PartLogger

PREFIX = "radishwind/leaving/"
CONTROL_NAME = "leaving-list"

#: Peers asked at a time, and the time after which they are asked if the store
#: has not answered this node (s).
_PEERS_ASKED = 2
_PEER_DELAY_S = 0.25

#: Timeouts of a call to a peer, of its read, and of a read as a whole (s).
_PEER_TIMEOUT_S = 0.8
_PEER_READ_S = 0.6
_READ_TIMEOUT_S = 2.0

#: After a failed read a peer answers others without another try for this time
#: (s), so that a store that is away isn't asked once for each of them.
_FAILURE_MEMORY_S = 0.5

#: Size of the longest list that a peer returns (bytes).
_MAX_LIST_BYTES = 256 * 1024

_decoder = JsonDecoder[list[str]](
    list[str], "a list of leaving records", _MAX_LIST_BYTES
)


class _Reading:
    """A read in progress; the first list that comes counts."""

    def __init__(self) -> None:
        self.keys: list[str] | None = None
        self.is_complete = anyio.Event()
        self.has_failed = anyio.Event()

    def complete(self, keys: list[str]) -> None:
        """Ends the read with the keys of the records."""
        self.keys = keys
        self.is_complete.set()


class LeavingRecordsReader:
    """Reads the records for this node, and for peers."""

    def __init__(
        self,
        *,
        node_name: str,
        clock: Clock,
        store: Store,
        directory: Directory,
        peers: PeerClient,
        rng: random.Random,
    ) -> None:
        """Creates the reader.

        Args:
          node_name: the name of this node.
          clock: the clock.
          store: the platform's store.
          directory: the members of the fleet.
          peers: calls other nodes.
          rng: chooses the peers that are asked.
        """
        self._node_name = node_name
        self._clock = clock
        self._store = store
        self._directory = directory
        self._peers = peers
        self._rng = rng
        self._log = PartLogger("leaving", clock)
        self._failed_at = -float("inf")

    async def read(self) -> list[str] | None:
        """Returns the keys of the records, without their prefix.

        Returns:
          The keys; `None` if neither this node nor a peer could read them.
        """
        reading = _Reading()
        with anyio.move_on_after(_READ_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read_store, reading)
                tasks.start_soon(self._ask_peers, reading)
                await reading.is_complete.wait()
                tasks.cancel_scope.cancel()
        return reading.keys

    async def handle(self, request: Request) -> Response:
        """Reads the records for a peer that the store turns away."""
        keys = None
        if self._clock.monotonic() - self._failed_at >= _FAILURE_MEMORY_S:
            with anyio.move_on_after(_PEER_READ_S):
                keys = await self._list()
        body = b"" if keys is None else msgspec.json.encode(keys)
        if keys is None or len(body) > _MAX_LIST_BYTES:
            # A part of the list would prove nothing.
            return Response(503, (), b"", 0)
        return Response(200, (), body, len(body))

    async def _list(self) -> list[str] | None:
        try:
            entries = await self._store.list(PREFIX)
        except StoreError as exc:
            self._failed_at = self._clock.monotonic()
            self._log.warning(
                "Could not read the leaving records.", reason=str(exc)[:120]
            )
            return None
        return [entry.key.removeprefix(PREFIX) for entry in entries]

    async def _read_store(self, reading: _Reading) -> None:
        keys = await run_contained("leaving.read", self._list)
        if keys is None:
            reading.has_failed.set()
        else:
            reading.complete(keys)

    async def _ask_peers(self, reading: _Reading) -> None:
        """Asks peers for the records once this node could not read them."""
        with anyio.move_on_after(_PEER_DELAY_S):
            await reading.has_failed.wait()
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
                    "leaving.peer_reads",
                    self._ask_peer,
                    member,
                    reading,
                )

    async def _ask_peer(self, member: Member, reading: _Reading) -> None:
        try:
            answer = await self._peers.call(
                member.address, CONTROL_NAME, b"", _PEER_TIMEOUT_S
            )
            keys = _decoder.decode(answer)
        except (PeerError, MalformedInputError) as exc:
            self._log.info(
                "A peer did not read the leaving records.",
                peer=member.name,
                reason=str(exc)[:120],
            )
            return
        self._log.change(
            "A peer read the leaving records.",
            peer=member.name,
            records=len(keys),
        )
        reading.complete(keys)
