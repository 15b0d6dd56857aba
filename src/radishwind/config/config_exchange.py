"""Fetches newer configurations from peers and from the store."""

from collections.abc import Callable
import random

import msgspec

from radishwind.config import records
from radishwind.config.adopter import Adopter
from radishwind.config.adopter import Source
from radishwind.config.adopter import Verdict
from radishwind.config.errors import RevisionRefusedError
from radishwind.config.parts import Snapshot
from radishwind.config.pull import decode_pull
from radishwind.config.pull import decode_reply
from radishwind.config.pull import Pull
from radishwind.config.pull import PullReply
from radishwind.config.pull import PullResponder
from radishwind.config.pull import SnapshotBuilder
from radishwind.config.records import Root
from radishwind.config.repository import ConfigRepository
from radishwind.http.types import Address
from radishwind.peers.peer_client import PeerClient
from radishwind.store import Store
from radishwind.store import WatchEvent

#: Name of the control path on the peer listener.
CONTROL_NAME = "config"

_CALL_TIMEOUT_S = 2.0

#: Maximum number of pulls from one peer for one configuration; in the worst
#: case, each reply has a single part.
_MAX_PULLS = 2_000

#: Maximum number of parts in one pull.
_MAX_WANTED_PARTS = 256


class ConfigExchange:
    """Pulls configurations from peers and the store, and answers peers.

    Attributes:
      adopter: holds the configuration in force.
      pulls_answered: number of pulls answered.
      pulls_sent: number of pulls sent.
      bytes_received: bytes of configuration messages received from peers.
    """

    def __init__(
        self,
        adopter: Adopter,
        peers: PeerClient,
        store: Store,
        own_address: Address,
        on_newer_revision: Callable[[int, Address], None],
        on_adopted: Callable[[Snapshot, Source], None],
    ) -> None:
        """Creates the exchange.

        Args:
          adopter: holds the configuration in force.
          peers: calls other nodes.
          store: the store.
          own_address: address of this node's peer listener.
          on_newer_revision: called when a peer reports a higher revision.
          on_adopted: called with each adopted configuration and its source.
        """
        self.adopter = adopter
        self.pulls_answered = 0
        self.pulls_sent = 0
        self.bytes_received = 0
        self._peers = peers
        self._repository = ConfigRepository(store)
        self._own_address = own_address
        self._on_newer_revision = on_newer_revision
        self._on_adopted = on_adopted
        self._responder = PullResponder(adopter)

    def handle_pull(self, content: bytes) -> bytes:
        """Returns the encoded reply to an encoded pull of a peer.

        Raises:
          RevisionRefusedError: the pull is malformed.
        """
        pull = decode_pull(content)
        self.pulls_answered += 1
        self.bytes_received += len(content)
        if pull.revision > self.adopter.snapshot.revision:
            try:
                self._on_newer_revision(
                    pull.revision, Address.parse(pull.address)
                )
            except ValueError as exc:
                raise RevisionRefusedError(f"address: {exc}") from exc
        return msgspec.json.encode(self._responder.respond(pull))

    async def pull_from(self, address: Address) -> PullReply:
        """Pulls from one peer; adopts its configuration if newer.

        Returns:
          The first reply of the peer.

        Raises:
          PeerError: the peer did not reply.
          RevisionRefusedError: its configuration can't be adopted.
        """
        held = self.adopter.snapshot
        reply = await self._pull(address, Pull(held.revision, held.change_id))
        verdict = self.adopter.classify(
            reply.revision, reply.change_id, Source.PEER, held.revision
        )
        if verdict is not Verdict.NEWER or reply.record is None:
            return reply
        snapshot = await self._catch_up(address, held, reply)
        if snapshot is not None:
            self._adopt(snapshot, Source.PEER)
        return reply

    async def read_store(self) -> int:
        """Reads the store; adopts its configuration if newer.

        Returns:
          The store revision of the root; 0 if there is none.

        Raises:
          StoreError: the store failed.
          RevisionRefusedError: its configuration can't be adopted.
        """
        held = self.adopter.snapshot
        root, stored_at = await self._repository.read_newest()
        await self._apply_root(root, held)
        return stored_at

    async def apply_event(self, event: WatchEvent) -> None:
        """Adopts the configuration of a watch event of the root, if newer.

        Raises:
          StoreError: the event was not sufficient, and a read of the store
            failed.
          RevisionRefusedError: the configuration can't be adopted.
        """
        root = None
        if event.entry is not None:
            root = records.decode_root(event.entry.value)
        await self._apply_root(root, self.adopter.snapshot)

    async def _apply_root(self, root: Root | None, held: Snapshot) -> None:
        revision = root.record.revision if root else 0
        change_id = root.record.change_id if root else ""
        verdict = self.adopter.classify(
            revision, change_id, Source.STORE, held.revision
        )
        if verdict is Verdict.NEWER and root is not None:
            snapshot = await self._repository.load(root, held)
            self._adopt(snapshot, Source.STORE)

    async def _catch_up(
        self, address: Address, held: Snapshot, reply: PullReply
    ) -> Snapshot | None:
        """Returns the peer's configuration; `None` if it changed meanwhile."""
        try:
            builder = SnapshotBuilder(held, reply)
        except RevisionRefusedError:
            # The difference does not apply to the own configuration, for
            # example after changes on two copies of the store. Pull all parts.
            reply = await self._pull(address, Pull(0, ""))
            builder = SnapshotBuilder(held, reply)
        for _ in range(_MAX_PULLS):
            missing = builder.missing_parts()[:_MAX_WANTED_PARTS]
            if not missing:
                return builder.build()
            pull = Pull(held.revision, held.change_id, want=missing)
            if not builder.add_parts(await self._pull(address, pull)):
                return None
        return None

    async def _pull(self, address: Address, pull: Pull) -> PullReply:
        self.pulls_sent += 1
        message = msgspec.structs.replace(pull, address=str(self._own_address))
        content = await self._peers.call(
            address, CONTROL_NAME, msgspec.json.encode(message), _CALL_TIMEOUT_S
        )
        self.bytes_received += len(content)
        return decode_reply(content)

    def _adopt(self, snapshot: Snapshot, source: Source) -> None:
        if self.adopter.adopt(snapshot):
            self._on_adopted(snapshot, source)


def jittered(rng: random.Random, period_s: float) -> float:
    """Returns a random time from 0.5 to 1.5 times `period_s` (s)."""
    return period_s * rng.uniform(0.5, 1.5)
