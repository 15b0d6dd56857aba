"""Brings what the operator wrote to this node and on to its peers.

A few nodes of each failure domain watch the store and push what is new to the
nodes beside them, each to its part of them. It also travels as rumors: the
number of a version of the routes, and the emptied failure domains themselves,
which are few. Who hears of what it lacks asks a peer near it, and the store if
that fails.
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
from radishwind.membership.records import MAX_RUMOR_VALUE_CHARS
from radishwind.membership.rumor_bus import RumorBus
from radishwind.outcomes import problem_response
from radishwind.peers.peer_client import PeerClient
from radishwind.peers.peer_client import PeerError
from radishwind.recency.model import FreshnessProof
from radishwind.routes.active_routes import ActiveRoutes
from radishwind.routes.evacuation import EvacuatedDomains
from radishwind.routes.evacuation import EvacuationState
from radishwind.routes.feed_peers import FeedPeers
from radishwind.routes.messages import compress
from radishwind.routes.messages import decode as decode_message
from radishwind.routes.messages import decode_rumor
from radishwind.routes.messages import decompress
from radishwind.routes.messages import encode
from radishwind.routes.messages import encode_rumor
from radishwind.routes.messages import FeedMalformedError
from radishwind.routes.messages import NoUpdate
from radishwind.routes.messages import RouteUpdate
from radishwind.routes.messages import UpdateRequest
from radishwind.routes.model import RouteConfig
from radishwind.routes.store_watcher import DUTY_CHECK_INTERVAL_S
from radishwind.routes.store_watcher import OperatorKeys
from radishwind.routes.store_watcher import StoreWatcher
from radishwind.store.base import Store
from radishwind.telemetry.logs import PartLogger

#: The control path on the peer listener.
CONTROL_NAME = "routes"

#: The largest configuration taken from a peer (bytes): the store's largest.
MAX_CONFIG_BYTES = 1 << 20

#: The topics of the rumors that tell a version, and emptied failure domains.
VERSION_TOPIC = "routes"
EVACUATION_TOPIC = "emptied"

#: How long such rumors are remembered (s).
_RUMOR_S = 600.0

#: How long a peer may take to give or take a configuration (s).
_PEER_TIMEOUT_S = 0.5

#: A version heard of is pushed to us within this time (s), else we ask.
_PUSH_WAIT_S = 0.15

#: Versions pushed at once. A packed configuration is 28 to 100 KB, the link of
#: a node 10 to 20 Mbit/s: six share it within the time that a push may take,
#: where all of a large failure domain at once would all be cut off.
#: Who waits asks those who have it already.
MAX_CONCURRENT_PUSHES = 6


_MSGPACK = (("Content-Type", "application/msgpack"),)


class RouteFeed:
    """Keeps `ActiveRoutes` and `EvacuationState` at the newest."""

    def __init__(
        self,
        *,
        node_name: str,
        failure_domain: str,
        keys: OperatorKeys,
        decode: Callable[[bytes], RouteConfig],
        store: Store,
        active_routes: ActiveRoutes,
        evacuation: EvacuationState,
        directory: Directory,
        rumor_bus: RumorBus,
        peers: PeerClient,
        clock: Clock,
        rng: random.Random,
        first_wait_s: float = 0.0,
        on_proof: Callable[[FreshnessProof], None] | None = None,
    ) -> None:
        """Wires the feed.

        Args:
          node_name: of this node.
          failure_domain: where it stands.
          keys: where the operator's words lie in the store.
          decode: reads a configuration; raises a `RadishwindError` if it is
            malformed.
          store: the platform's store.
          active_routes: takes configurations.
          evacuation: takes the emptied failure domains.
          directory: the nodes there are.
          rumor_bus: tells all nodes what is new.
          peers: calls other nodes.
          clock: the clock.
          rng: the random source of pauses.
          first_wait_s: the store is first asked after up to this time (s), at
            random; not where a peer brought the configuration before.
          on_proof: takes what the first read proves, where that is wanted.
        """
        self._node_name = node_name
        self._neighbours = FeedPeers(
            node_name=node_name,
            failure_domain=failure_domain,
            directory=directory,
            clock=clock,
            rng=rng,
        )
        self._store_side = StoreWatcher(
            keys=keys,
            store=store,
            clock=clock,
            rng=rng,
            is_watcher=lambda: self._neighbours.is_watcher(),
            on_config=self._adopt_config,
            on_evacuation=self._adopt_evacuated,
            evacuated=lambda: evacuation.domains,
            on_proof=on_proof,
        )
        self._decode = decode
        self._active_routes = active_routes
        self._evacuation = evacuation
        self._rumor_bus = rumor_bus
        self._peers = peers
        self._rng = rng
        self._first_wait_s = first_wait_s
        self._log = PartLogger("routes", clock)
        self._heard_version = 0
        self._heard_emptied = 0
        self._heard = anyio.Event()
        # The version that is packed, and packed; made for the first peer.
        self._packed = (0, b"")
        self._tasks: anyio.abc.TaskGroup | None = None
        rumor_bus.subscribe(VERSION_TOPIC, self._on_rumor)
        rumor_bus.subscribe(EVACUATION_TOPIC, self._on_emptied_rumor)
        active_routes.subscribe(self._adopted)

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(
                self._store_side.run,
                self._first_wait_s,
                lambda: self._active_routes.cfg is not None,
            )
            await self._follow_peers()

    async def confirm(self) -> FreshnessProof | None:
        """Asks the store what its newest configuration is, and takes it."""
        return await self._store_side.confirm()

    def note_version(self, version: int) -> None:
        """Takes that there is `version`, to be fetched if it is newer."""
        if version > self._heard_version:
            self._heard_version = version
            self._heard.set()

    async def handle(self, request: Request) -> Response:
        """Answers a peer that brings what is new, or asks for it."""
        body = await whole_body(request.body)
        try:
            message = decode_message(body)
            if isinstance(message, RouteUpdate):
                self._take_offer(message, f"peer {request.remote}")
        except FeedMalformedError as exc:
            self._log.warning("A message is malformed.", reason=str(exc)[:120])
            return problem_response(exc.code, str(exc), "not-run")
        answer: RouteUpdate | NoUpdate = NoUpdate()
        if isinstance(message, UpdateRequest):
            answer = self.build_reply(message)
        data = encode(answer)
        return Response(200, _MSGPACK, data, len(data))

    def build_reply(self, ask: UpdateRequest) -> RouteUpdate | NoUpdate:
        """Returns what the peer that asks lacks."""
        emptied = self._evacuation.domains
        if ask.have < self._active_routes.version:
            return RouteUpdate(self._pack(), emptied)
        if ask.have_emptied < emptied.revision:
            return RouteUpdate(b"", emptied)
        return NoUpdate()

    def _take_offer(self, offer: RouteUpdate, source: str) -> None:
        """Takes what a peer brought: where nothing may go before the routes.

        Raises:
          FeedMalformedError: it cannot be unpacked.
        """
        raw = (
            decompress(offer.packed, MAX_CONFIG_BYTES) if offer.packed else b""
        )
        self._adopt_evacuated(offer.emptied, source)
        if raw:
            self._adopt_config(raw, source)

    def _pack(self) -> bytes:
        """Returns the configuration in force, packed; empty for none."""
        version = self._active_routes.version
        if version and self._packed[0] != version:
            self._packed = (version, compress(self._active_routes.raw))
        return self._packed[1]

    def _adopt_config(self, raw: bytes, source: str) -> int:
        """Takes a configuration; returns its version, 0 if malformed."""
        if (
            self._active_routes.cfg is not None
            and raw == self._active_routes.raw
        ):
            return self._active_routes.version
        try:
            cfg = self._decode(raw)
        except RadishwindError as exc:
            self._log.error(
                "A configuration is malformed; the old one stays.",
                source=source,
                reason=str(exc)[:200],
            )
            return 0
        self._active_routes.adopt(cfg, raw, source)
        return cfg.version

    def _adopt_evacuated(self, told: EvacuatedDomains, source: str) -> None:
        """Takes emptied failure domains and tells on what is new.

        Who told what is older than the own knowledge, and otherwise, hears it:
        a failure domain that was taken back while nobody watched would stay
        empty for those who heard of it before.
        """
        mine = self._evacuation.domains
        if self._evacuation.adopt(told, source):
            self._tell_emptied()
            self._push_soon(RouteUpdate(b"", told))
        elif told.revision < mine.revision and told.names != mine.names:
            self._tell_emptied()
        self._heard_emptied = max(self._heard_emptied, told.revision)

    def _tell_emptied(self) -> None:
        told = self._evacuation.domains
        value = encode_rumor(told, MAX_RUMOR_VALUE_CHARS)
        self._rumor_bus.publish(
            EVACUATION_TOPIC, "domains", told.revision, value, _RUMOR_S
        )

    def _adopted(self, cfg: RouteConfig) -> None:
        self._heard_version = max(self._heard_version, cfg.version)
        value = msgspec.json.encode([cfg.version, self._node_name])
        self._rumor_bus.publish(
            VERSION_TOPIC, "version", cfg.version, value, _RUMOR_S
        )
        self._push_soon(RouteUpdate(self._pack(), self._evacuation.domains))

    def _push_soon(self, offer: RouteUpdate) -> None:
        if self._tasks is not None and self._neighbours.is_watcher():
            self._tasks.start_soon(self._push, encode(offer))

    async def _push(self, data: bytes) -> None:
        """Brings what is new to a part of the nodes beside this one.

        Each watcher of the failure domain has its part; where one of them is
        cut off, those of its part hear the rumor and ask.
        """
        limit = anyio.Semaphore(MAX_CONCURRENT_PUSHES)
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
        self.note_version(version)

    def _on_emptied_rumor(self, key: str, value: bytes) -> None:
        try:
            rumor = decode_rumor(value)
        except FeedMalformedError as exc:
            self._log.warning("A rumor is malformed.", reason=str(exc)[:120])
            return
        if rumor.names is not None:
            told = EvacuatedDomains(rumor.revision, frozenset(rumor.names))
            self._adopt_evacuated(told, "rumor")
            return
        if rumor.revision > self._heard_emptied:
            self._heard_emptied = rumor.revision
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
        if self._active_routes.cfg is not None:
            await self._heard.wait()
            return
        with anyio.move_on_after(DUTY_CHECK_INTERVAL_S):
            await self._heard.wait()

    def _is_behind(self) -> bool:
        if self._active_routes.cfg is None:
            return bool(self._neighbours.near() or self._neighbours.far())
        if self._evacuation.domains.revision < self._heard_emptied:
            return True
        return self._active_routes.version < self._heard_version

    async def _pull(self) -> bool:
        """Asks peers, near ones first, then the store; `False` if in vain."""
        for member in (
            *self._neighbours.near()[:3],
            *self._neighbours.far()[:2],
        ):
            if await self._pull_from(member):
                return True
        if self._active_routes.cfg is None:
            return False
        await self._store_side.read()
        return not self._is_behind()

    async def _pull_from(self, member: Member) -> bool:
        ask = encode(
            UpdateRequest(
                self._active_routes.version, self._evacuation.domains.revision
            )
        )
        try:
            data = await self._peers.call(
                member.address, CONTROL_NAME, ask, _PEER_TIMEOUT_S
            )
            message = decode_message(data)
            if isinstance(message, RouteUpdate):
                self._take_offer(message, f"peer {member.name}")
        except (PeerError, FeedMalformedError) as exc:
            self._log.info("A peer gave no routes.", reason=str(exc)[:120])
            return False
        return self._active_routes.cfg is not None and not self._is_behind()
