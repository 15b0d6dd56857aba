"""Brings the newest configuration to this node and on to its peers.

A few nodes of each failure domain watch the store and push a new version to
the nodes beside them, each to its part of them; the number of the version
travels as a rumor everywhere. Who hears of a version that it lacks asks a peer
near it, and the store if that fails.
"""

from collections.abc import Callable
import random

import anyio
import anyio.abc
import msgspec

from radishwind.core.clock import Clock
from radishwind.core.errors import RadishwindError
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.http.types import whole_body
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.rumors import RumorBoard
from radishwind.outcomes import problem
from radishwind.peers.client import PeerClient
from radishwind.peers.client import PeerError
from radishwind.routes.in_force import RoutesInForce
from radishwind.routes.messages import Ask
from radishwind.routes.messages import decode as decode_message
from radishwind.routes.messages import encode
from radishwind.routes.messages import FeedMalformedError
from radishwind.routes.messages import Nothing
from radishwind.routes.messages import Offer
from radishwind.routes.messages import pack
from radishwind.routes.messages import unpack
from radishwind.routes.model import RouteConfig
from radishwind.routes.neighbours import Neighbours
from radishwind.store.base import Store
from radishwind.store.base import StoreCompactedError
from radishwind.store.base import StoreError
from radishwind.store.budget import Backoff
from radishwind.telemetry.logs import PartLogger

#: The control path on the peer listener.
CONTROL_NAME = "routes"

#: The largest configuration taken from a peer (bytes): the store's largest.
MAX_BYTES = 1 << 20

#: The topic of the rumor that tells a version.
TOPIC = "routes"

#: How long such a rumor is remembered (s).
_RUMOR_S = 600.0

#: How long a peer may take to give or take a configuration (s).
_PEER_TIMEOUT_S = 0.5

#: A version heard of is pushed to us within this time (s), else we ask.
_PUSH_WAIT_S = 0.15

#: Pauses after failed calls of the store (s).
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 1.0

#: How often a node looks whether it is to watch (s).
_DUTY_PERIOD_S = 0.5

#: Versions pushed at once. A packed configuration is 28 to 100 KB, the link of
#: a node 10 to 20 Mbit/s: six share it within the time that a push may take,
#: where all 38 of a failure domain at once would all be cut off (worked out).
#: Who waits asks those who have it already.
PUSHES_AT_ONCE = 6

_MSGPACK = (("Content-Type", "application/msgpack"),)


class RouteFeed:
    """Keeps `RoutesInForce` at the newest version."""

    def __init__(
        self,
        *,
        node_name: str,
        failure_domain: str,
        key: str,
        decode: Callable[[bytes], RouteConfig],
        store: Store,
        in_force: RoutesInForce,
        directory: Directory,
        board: RumorBoard,
        peers: PeerClient,
        clock: Clock,
        rng: random.Random,
        first_wait_s: float = 0.0,
    ) -> None:
        """Wires the feed.

        Args:
          node_name: of this node.
          failure_domain: where it stands.
          key: the key of the configuration in the store.
          decode: reads it; raises a `RadishwindError` if it is malformed.
          store: the platform's store.
          in_force: takes what was read.
          directory: the nodes there are.
          board: tells versions to all nodes.
          peers: calls other nodes.
          clock: the clock.
          rng: the random source of pauses.
          first_wait_s: the store is first asked after up to this time (s), at
            random; not where a peer brought the configuration before.
        """
        self._node_name = node_name
        self._neighbours = Neighbours(
            node_name=node_name,
            failure_domain=failure_domain,
            directory=directory,
            clock=clock,
            rng=rng,
        )
        self._key = key
        self._decode = decode
        self._store = store
        self._in_force = in_force
        self._board = board
        self._peers = peers
        self._rng = rng
        self._first_wait_s = first_wait_s
        self._log = PartLogger("routes", clock)
        self._backoff = Backoff(rng, _FIRST_PAUSE_S, _LONGEST_PAUSE_S)
        self._heard_version = 0
        self._heard = anyio.Event()
        self._revision = 0
        self._store_lost = False
        # The version that is packed, and packed; made for the first peer.
        self._packed = (0, b"")
        self._tasks: anyio.abc.TaskGroup | None = None
        board.subscribe(TOPIC, self._on_rumor)
        in_force.listen(self._adopted)

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._follow_store)
            await self._follow_peers()

    async def handle(self, request: Request) -> Response:
        """Answers a peer that brings a version, or asks for one."""
        body = await whole_body(request.body)
        try:
            message = decode_message(body)
            if isinstance(message, Offer):
                raw = unpack(message.packed, MAX_BYTES)
                self._take(raw, f"peer {request.remote}")
        except FeedMalformedError as exc:
            self._log.warning("A message is malformed.", reason=str(exc)[:120])
            return problem(exc.code, str(exc), "not-run")
        answer: Offer | Nothing = Nothing()
        if isinstance(message, Ask) and message.have < self._in_force.version:
            answer = Offer(self._pack())
        data = encode(answer)
        return Response(200, _MSGPACK, data, len(data))

    def _pack(self) -> bytes:
        """Returns the configuration in force, packed."""
        version = self._in_force.version
        if self._packed[0] != version:
            self._packed = (version, pack(self._in_force.raw))
        return self._packed[1]

    async def _follow_store(self) -> None:
        await anyio.sleep(self._rng.random() * self._first_wait_s)
        peers_may_bring_it = self._first_wait_s > 0
        while self._in_force.cfg is None or not peers_may_bring_it:
            # What is newer than an old answer comes by the watch from its
            # revision on, and to those who don't watch as a rumor.
            if await self._read_store(allow_stale=True):
                break
            await anyio.sleep(self._backoff.failed())
            if self._in_force.cfg is not None:
                break
        while True:
            if not self._neighbours.is_watcher():
                await anyio.sleep(_DUTY_PERIOD_S)
                continue
            if not self._revision and not await self._read_store():
                await anyio.sleep(self._backoff.failed())
                continue
            await self._watch()

    async def _watch(self) -> None:
        """Watches until the watch fails, or others are to watch.

        The next one goes on from the last revision seen; the key is read anew
        only where the store forgot what came since.
        """
        try:
            async for event in self._store.watch(self._key, self._revision + 1):
                self._note_store(lost=False)
                self._revision = max(self._revision, event.revision)
                if event.key == self._key and event.entry is not None:
                    self._take(event.entry.value, "store")
                if not self._neighbours.is_watcher():
                    return
        except StoreCompactedError:
            self._revision = 0
        except StoreError as exc:
            self._note_store(lost=True, reason=str(exc)[:120])
        await anyio.sleep(self._backoff.failed())

    async def _read_store(self, *, allow_stale: bool = False) -> bool:
        """Returns whether the configuration could be read, if there is one."""
        try:
            entry = await self._store.get(self._key, allow_stale=allow_stale)
        except StoreError as exc:
            self._note_store(lost=True, reason=str(exc)[:120])
            return False
        self._note_store(lost=False)
        if entry is None:
            return False
        # From the store's revision on: the key's own may be older than the
        # history, and each watch from there is refused at once (742 reads and
        # 432 watches in a day of 45 s, in the logs of a play).
        self._revision = max(entry.mod_revision, entry.store_revision)
        self._take(entry.value, "store")
        return True

    def _note_store(self, *, lost: bool, reason: str = "") -> None:
        """Logs when the store is lost and regained."""
        if not lost:
            self._backoff.succeeded()
        if lost == self._store_lost:
            return
        self._store_lost = lost
        sentence = "Lost the store." if lost else "Regained the store."
        self._log.change(sentence, reason=reason)

    def _take(self, raw: bytes, source: str) -> None:
        try:
            cfg = self._decode(raw)
        except RadishwindError as exc:
            self._log.error(
                "A configuration is malformed; the old one stays.",
                source=source,
                reason=str(exc)[:200],
            )
            return
        self._in_force.adopt(cfg, raw, source)

    def _adopted(self, cfg: RouteConfig) -> None:
        self._heard_version = max(self._heard_version, cfg.version)
        value = msgspec.json.encode([cfg.version, self._node_name])
        self._board.publish(TOPIC, "version", cfg.version, value, _RUMOR_S)
        if self._tasks is not None and self._neighbours.is_watcher():
            data = encode(Offer(self._pack()))
            self._tasks.start_soon(self._push, data)

    async def _push(self, data: bytes) -> None:
        """Brings the version to a part of the nodes beside this one.

        Each watcher of the failure domain has its part; where one of them is
        cut off, those of its part hear the rumor and ask.
        """
        limit = anyio.Semaphore(PUSHES_AT_ONCE)
        async with anyio.create_task_group() as tasks:
            for member in self._neighbours.part():
                await limit.acquire()
                tasks.start_soon(self._push_to, member, data, limit)

    async def _push_to(
        self, member: Member, data: bytes, limit: anyio.Semaphore
    ) -> None:
        try:
            await self._peers.call(
                member.address, CONTROL_NAME, data, _PEER_TIMEOUT_S
            )
        except PeerError as exc:
            # The rumor reaches it, and then it asks.
            self._log.info("A push failed.", reason=str(exc)[:120])
        finally:
            limit.release()

    def _on_rumor(self, key: str, value: bytes) -> None:
        try:
            version = msgspec.json.decode(value, type=tuple[int, str])[0]
        except msgspec.MsgspecError as exc:
            self._log.warning("A rumor is malformed.", reason=str(exc)[:120])
            return
        if version > self._heard_version:
            self._heard_version = version
            self._heard.set()

    async def _follow_peers(self) -> None:
        while True:
            if not self._is_behind():
                await self._hear()
                if not self._is_behind():
                    continue
                await anyio.sleep(_PUSH_WAIT_S * (0.5 + self._rng.random()))
            if self._is_behind() and not await self._pull():
                await anyio.sleep(_PUSH_WAIT_S)

    async def _hear(self) -> None:
        """Waits for news; without any routes also for the first peers."""
        self._heard = anyio.Event()
        if self._in_force.cfg is not None:
            await self._heard.wait()
            return
        with anyio.move_on_after(_DUTY_PERIOD_S):
            await self._heard.wait()

    def _is_behind(self) -> bool:
        if self._in_force.cfg is None:
            return bool(self._neighbours.near() or self._neighbours.far())
        return self._in_force.version < self._heard_version

    async def _pull(self) -> bool:
        """Asks peers, near ones first, then the store; `False` if in vain."""
        for member in (
            *self._neighbours.near()[:3],
            *self._neighbours.far()[:2],
        ):
            if await self._pull_from(member):
                return True
        if self._in_force.cfg is None:
            return False
        await self._read_store()
        return not self._is_behind()

    async def _pull_from(self, member: Member) -> bool:
        ask = encode(Ask(self._in_force.version))
        try:
            data = await self._peers.call(
                member.address, CONTROL_NAME, ask, _PEER_TIMEOUT_S
            )
            message = decode_message(data)
            if not isinstance(message, Offer):
                return False
            raw = unpack(message.packed, MAX_BYTES)
        except (PeerError, FeedMalformedError) as exc:
            self._log.info("A peer gave no routes.", reason=str(exc)[:120])
            return False
        self._take(raw, f"peer {member.name}")
        return self._in_force.cfg is not None and not self._is_behind()
