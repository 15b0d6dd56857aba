"""Distributes the operator's routes and evacuations to all nodes.

A few nodes of each failure domain watch the store and push changes to the other
nodes of the domain, which they divide among themselves. Changes are also spread
as rumors: the version number of the routes, and the evacuated failure domains
themselves, which are few. A node that learns of a change it lacks requests it
from peers, those of its own failure domain first, and from the store if that
fails.
"""

from collections.abc import Callable
import random

import anyio
import msgspec

from radishwind.core.backoff import Backoff
from radishwind.core.clock import Clock
from radishwind.core.errors import RadishwindError
from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError
from radishwind.decoding.numbers import NonNegativeInt
from radishwind.decoding.sizes import MAX_RUMOR_VALUE_BYTES
from radishwind.http.types import read_body
from radishwind.http.types import Request
from radishwind.http.types import Response
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
from radishwind.store.position import UNKNOWN_POSITION
from radishwind.store.watch_monitor import WatchMonitor
from radishwind.supervision import Duty
from radishwind.supervision import run_contained
from radishwind.supervision import run_together
from radishwind.supervision import TaskPool
from radishwind.telemetry.part_logger import PartLogger

#: Name of the control path on the peer listener.
CONTROL_NAME = "routes"

#: Maximum size of a configuration from a peer (bytes), as that of a value in
#: the store.
MAX_CONFIG_BYTES = 1 << 20

#: Rumor topics for the route version and for the evacuated failure domains.
VERSION_TOPIC = "routes"
EVACUATION_TOPIC = "emptied"

#: Time to live of these rumors (s).
_RUMOR_TTL_S = 600.0

#: Timeout for sending a configuration to a peer or receiving it from one (s).
_PEER_TIMEOUT_S = 0.5

#: A node waits about this long for the push of a version it has learned of (s),
#: and then requests the version.
_PUSH_WAIT_S = 0.15

#: Longest pause between reads of a store that doesn't have what a rumor
#: named (s).
_MAX_READ_PAUSE_S = 30.0

#: Another peer is requested from after this time without an answer (s).
_NEXT_PEER_WAIT_S = 0.1

#: Pushes in flight at the same time. A compressed configuration is 28 to 100
#: KB, the link of a node 10 to 20 Mbit/s: six pushes that share it finish
#: within the timeout, while concurrent pushes to all nodes of a large failure
#: domain would all time out. A node that waits requests the version from a peer
#: that has it.
MAX_CONCURRENT_PUSHES = 6


_MSGPACK = (("Content-Type", "application/msgpack"),)


_version_decoder = JsonDecoder[tuple[int, str]](
    tuple[NonNegativeInt, str], "a version", MAX_RUMOR_VALUE_BYTES
)


class RouteFeed:
    """Keeps `ActiveRoutes` and `EvacuationState` up to date."""

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
        """Creates the feed.

        Args:
          node_name: name of this node.
          failure_domain: failure domain of this node.
          keys: the operator's keys in the store.
          decode: decodes a configuration; raises a `RadishwindError` if it is
            malformed.
          store: the platform's store.
          active_routes: holds the configuration in force.
          evacuation: holds the evacuated failure domains.
          directory: the known members.
          rumor_bus: spreads changes to all nodes.
          peers: calls other nodes.
          clock: the clock.
          rng: random source of pauses and of the order of peers.
          first_wait_s: the store is first read after a random time of up to
            this (s), unless a peer sends the configuration before.
          on_proof: called with the freshness proof of the first read; `None`
            if no proof is needed.
        """
        self._node_name = node_name
        self._feed_peers = FeedPeers(
            node_name=node_name,
            failure_domain=failure_domain,
            directory=directory,
            clock=clock,
            rng=rng,
        )
        self._store_watcher = StoreWatcher(
            keys=keys,
            store=store,
            clock=clock,
            rng=rng,
            is_watcher=lambda: self._feed_peers.is_watcher(),
            on_config=self._adopt_config,
            on_evacuation=self._adopt_evacuated,
            evacuation=evacuation,
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
        self._clock = clock
        # While the store doesn't have what a rumor named, it is read less and
        # less often (monotonic, s).
        self._read_backoff = Backoff(rng, 2 * _PUSH_WAIT_S, _MAX_READ_PAUSE_S)
        self._next_read_at = 0.0
        self._known_version = 0
        self._known_evacuation = UNKNOWN_POSITION
        self._behind_event = anyio.Event()
        # A version and its compressed configuration, made on the first use.
        self._compressed = (0, b"")
        self._pushes = TaskPool("routes.pushes")
        rumor_bus.subscribe(VERSION_TOPIC, self._on_version_rumor)
        rumor_bus.subscribe(EVACUATION_TOPIC, self._on_evacuation_rumor)
        active_routes.subscribe(self._on_adopted)

    @property
    def watch_monitor(self) -> WatchMonitor:
        """State of this node's watch of the store."""
        return self._store_watcher.monitor

    def duties(self) -> tuple[Duty, ...]:
        """Returns the duties of the feed."""
        return (
            self._pushes.duty,
            *self._store_watcher.duties(
                self._first_wait_s,
                lambda: self._active_routes.cfg is not None,
            ),
            Duty("routes.pulls", self._pull_when_behind),
        )

    async def run(self) -> None:
        """Runs the duties without supervision until cancelled."""
        await run_together(self.duties())

    async def confirm(self) -> FreshnessProof | None:
        """Asks the store for its newest configuration, and adopts it if newer.

        Returns:
          The freshness proof; `None` if the store did not answer or has no
          valid configuration.
        """
        return await self._store_watcher.confirm()

    def on_new_era(self) -> None:
        """Handles that the store came back from a copy."""
        self._store_watcher.on_new_era()

    def note_version(self, version: int) -> None:
        """Records that `version` exists, so that it is fetched if newer."""
        self._store_watcher.note_version(version)
        if version > self._known_version:
            self._known_version = version
            self._next_read_at = 0.0
            self._behind_event.set()

    async def handle(self, request: Request) -> Response:
        """Handles a `RouteUpdate` or an `UpdateRequest` of a peer."""
        body = await read_body(request.body)
        try:
            message = decode_message(body)
            if isinstance(message, RouteUpdate):
                self._apply_update(message, f"peer {request.remote}")
        except FeedMalformedError as exc:
            self._log.warning(
                "A message of a peer is malformed.", reason=str(exc)[:120]
            )
            return problem_response(exc.code, str(exc), "not-run")
        reply: RouteUpdate | NoUpdate = NoUpdate()
        if isinstance(message, UpdateRequest):
            reply = self.build_reply(message)
        data = encode(reply)
        return Response(200, _MSGPACK, data, len(data))

    def build_reply(self, request: UpdateRequest) -> RouteUpdate | NoUpdate:
        """Returns what the requesting peer lacks."""
        evacuated = self._evacuation.domains
        if request.have < self._active_routes.version:
            return RouteUpdate(self._compressed_config(), evacuated)
        if request.evacuation_position < evacuated.position:
            return RouteUpdate(b"", evacuated)
        return NoUpdate()

    def _apply_update(self, update: RouteUpdate, source: str) -> None:
        """Adopts the content of an update, the evacuations before the routes.

        Raises:
          FeedMalformedError: the configuration cannot be decompressed.
        """
        raw = (
            decompress(update.packed, MAX_CONFIG_BYTES)
            if update.packed
            else b""
        )
        self._adopt_evacuated(update.emptied, source)
        if raw:
            self._adopt_config(raw, source)

    def _compressed_config(self) -> bytes:
        """Returns the configuration in force, compressed; empty for none."""
        version = self._active_routes.version
        if version and self._compressed[0] != version:
            self._compressed = (version, compress(self._active_routes.raw))
        return self._compressed[1]

    def _adopt_config(self, raw: bytes, source: str) -> int:
        """Adopts a configuration if it is newer.

        Returns:
          Its version; 0 if it is malformed.
        """
        if (
            self._active_routes.cfg is not None
            and raw == self._active_routes.raw
        ):
            return self._active_routes.version
        try:
            cfg = self._decode(raw)
        except RadishwindError as exc:
            self._log.error(
                "A configuration is malformed; the one in force is kept.",
                source=source,
                reason=str(exc)[:200],
            )
            return 0
        self._active_routes.adopt(cfg, raw, source)
        return cfg.version

    def _adopt_evacuated(self, domains: EvacuatedDomains, source: str) -> None:
        """Adopts evacuated domains if they are newer, and spreads the change.

        If `domains` are older than the own ones and differ from them, the own
        ones are published again: otherwise, a failure domain that was restored
        while no node watched would stay evacuated for the nodes that learned
        of the evacuation before.
        """
        own = self._evacuation.domains
        if self._evacuation.adopt(domains, source):
            self._publish_evacuation()
            self._push_soon(RouteUpdate(b"", domains))
        elif domains.position < own.position and domains.names != own.names:
            self._publish_evacuation()
        self._known_evacuation = max(self._known_evacuation, domains.position)

    def _publish_evacuation(self) -> None:
        domains = self._evacuation.domains
        value = encode_rumor(domains, MAX_RUMOR_VALUE_CHARS)
        self._rumor_bus.publish(
            EVACUATION_TOPIC,
            "domains",
            domains.position.number,
            value,
            _RUMOR_TTL_S,
        )

    def _on_adopted(self, cfg: RouteConfig) -> None:
        self._known_version = max(self._known_version, cfg.version)
        self._store_watcher.note_version(cfg.version)
        value = msgspec.json.encode([cfg.version, self._node_name])
        self._rumor_bus.publish(
            VERSION_TOPIC, "version", cfg.version, value, _RUMOR_TTL_S
        )
        self._push_soon(
            RouteUpdate(self._compressed_config(), self._evacuation.domains)
        )

    def _push_soon(self, update: RouteUpdate) -> None:
        if self._pushes.is_running and self._feed_peers.is_watcher():
            self._pushes.start_soon(self._push, encode(update))

    async def _push(self, data: bytes) -> None:
        """Pushes an encoded update to this watcher's share of the local nodes.

        If another watcher of the failure domain is disconnected, the nodes of
        its share receive the rumor and request the update.
        """
        limit = anyio.Semaphore(MAX_CONCURRENT_PUSHES)
        async with anyio.create_task_group() as tasks:
            for member in self._feed_peers.push_recipients():
                await limit.acquire()
                tasks.start_soon(
                    run_contained,
                    "routes.pushes",
                    self._push_to,
                    member,
                    data,
                    limit,
                )

    async def _push_to(
        self, member: Member, data: bytes, limit: anyio.Semaphore
    ) -> None:
        try:
            await self._peers.call(
                member.address, CONTROL_NAME, data, _PEER_TIMEOUT_S
            )
        except PeerError as exc:
            # The peer receives the rumor and then requests the update.
            self._log.info(
                "Failed to push an update to a peer.", reason=str(exc)[:120]
            )
        finally:
            limit.release()

    def _on_version_rumor(self, key: str, value: bytes) -> None:
        try:
            version = _version_decoder.decode(value)[0]
        except MalformedInputError as exc:
            self._log.warning("A rumor is malformed.", reason=str(exc)[:120])
            return
        self.note_version(version)

    def _on_evacuation_rumor(self, key: str, value: bytes) -> None:
        try:
            rumor = decode_rumor(value)
        except FeedMalformedError as exc:
            self._log.warning("A rumor is malformed.", reason=str(exc)[:120])
            return
        if rumor.names is not None:
            domains = EvacuatedDomains(
                rumor.revision, frozenset(rumor.names), rumor.era
            )
            self._adopt_evacuated(domains, "rumor")
            return
        if rumor.position > self._known_evacuation:
            self._known_evacuation = rumor.position
            self._next_read_at = 0.0
            self._behind_event.set()

    async def _pull_when_behind(self) -> None:
        while True:
            if not self._is_behind():
                self._read_backoff.record_success()
                self._next_read_at = 0.0
                await self._wait_until_notified()
                if not self._is_behind():
                    continue
                await anyio.sleep(_PUSH_WAIT_S * (0.5 + self._rng.random()))
            if self._is_behind() and not await self._pull():
                await anyio.sleep(_PUSH_WAIT_S)

    async def _wait_until_notified(self) -> None:
        """Waits until a newer version or revision is known to exist.

        A node without any routes waits only for a short time, after which it
        checks for peers again.
        """
        self._behind_event = anyio.Event()
        if self._active_routes.cfg is not None:
            await self._behind_event.wait()
            return
        with anyio.move_on_after(DUTY_CHECK_INTERVAL_S):
            await self._behind_event.wait()

    def _is_behind(self) -> bool:
        if self._active_routes.cfg is None:
            return bool(self._feed_peers.local() or self._feed_peers.remote())
        if self._evacuation.domains.position < self._known_evacuation:
            return True
        return self._active_routes.version < self._known_version

    async def _pull(self) -> bool:
        """Requests updates from peers, and from the store if that fails.

        The next peer is asked if one has not answered within
        `_NEXT_PEER_WAIT_S`: it may have stopped or be cut off.

        Returns:
          Whether the node is up to date afterwards.
        """
        async with anyio.create_task_group() as tasks:
            for member in self._feed_peers.update_sources(
                self._active_routes.version
            ):
                done = anyio.Event()
                tasks.start_soon(
                    run_contained,
                    "routes.pulls",
                    self._pull_from,
                    member,
                    done,
                )
                with anyio.move_on_after(_NEXT_PEER_WAIT_S):
                    await done.wait()
                if self._is_up_to_date():
                    tasks.cancel_scope.cancel()
                    break
        if self._is_up_to_date():
            return True
        if self._active_routes.cfg is None:
            return False
        if self._clock.monotonic() < self._next_read_at:
            return False
        has_answered = await self._store_watcher.read()
        if not self._is_behind():
            return True
        if has_answered:
            # Nobody has what a rumor named, or this node can't adopt it.
            pause_s = self._read_backoff.record_failure()
            self._next_read_at = self._clock.monotonic() + pause_s
        return False

    def _is_up_to_date(self) -> bool:
        return self._active_routes.cfg is not None and not self._is_behind()

    async def _pull_from(self, member: Member, done: anyio.Event) -> None:
        """Requests an update from a peer; sets `done` at the end."""
        try:
            request = encode(
                UpdateRequest(
                    self._active_routes.version,
                    self._evacuation.domains.revision,
                    self._node_name,
                    self._evacuation.domains.era,
                )
            )
            data = await self._peers.call(
                member.address, CONTROL_NAME, request, _PEER_TIMEOUT_S
            )
            message = decode_message(data)
            if isinstance(message, RouteUpdate):
                self._apply_update(message, f"peer {member.name}")
        except (PeerError, FeedMalformedError) as exc:
            self._log.info("A peer sent no routes.", reason=str(exc)[:120])
        finally:
            done.set()
