"""Gets newer configurations from peers and from the store."""

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

#: The control path between nodes.
CONTROL_NAME = "config"

_CALL_TIMEOUT_S = 2.0

#: Answers asked of one peer for one configuration; a part each at worst.
_MAX_ANSWERS = 2_000

#: Parts asked for at once.
_MAX_WANTED = 256


class ConfigExchange:
    """Asks peers and the store, and answers peers.

    Attributes:
      adopter: holds the configuration in force.
      pulls_answered: pulls answered.
      pulls_sent: pulls sent.
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
        """Wires the exchange.

        Args:
          adopter: holds the configuration in force.
          peers: sends to other nodes.
          store: the store.
          own_address: this node's peer listener.
          on_newer_revision: called when a peer reports a higher revision.
          on_adopted: called with each configuration put in force, and where it
            came from.
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
        self._offers = PullResponder(adopter)

    def handle_pull(self, content: bytes) -> bytes:
        """Answers the pull of a peer.

        Raises:
          RevisionRefusedError: it is malformed.
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
        return msgspec.json.encode(self._offers.respond(pull))

    async def pull_from(self, address: Address) -> PullReply:
        """Asks one peer; adopts what it has if that is newer.

        Returns:
          Its first answer.

        Raises:
          PeerError: it gave no answer.
          RevisionRefusedError: what it gave can't be adopted.
        """
        held = self.adopter.snapshot
        offer = await self._pull(address, Pull(held.revision, held.change_id))
        verdict = self.adopter.classify(
            offer.revision, offer.change_id, Source.PEER, held.revision
        )
        if verdict is not Verdict.NEWER or offer.record is None:
            return offer
        snapshot = await self._catch_up(address, held, offer)
        if snapshot is not None:
            self._adopt(snapshot, Source.PEER)
        return offer

    async def read_store(self) -> int:
        """Reads the store; adopts what it has if that is newer.

        Returns:
          The store's revision of the newest record; 0 if there is none.

        Raises:
          StoreError: the store failed.
          RevisionRefusedError: what it has can't be adopted.
        """
        held = self.adopter.snapshot
        root, stored_at = await self._repository.read_newest()
        await self._take_root(root, held)
        return stored_at

    async def apply_event(self, event: WatchEvent) -> None:
        """Adopts what a watch of the root told, if that is newer.

        Raises:
          StoreError: more had to be read, and the store failed.
          RevisionRefusedError: it can't be adopted.
        """
        root = None
        if event.entry is not None:
            root = records.decode_root(event.entry.value)
        await self._take_root(root, self.adopter.snapshot)

    async def _take_root(self, root: Root | None, held: Snapshot) -> None:
        revision = root.record.revision if root else 0
        change_id = root.record.change_id if root else ""
        verdict = self.adopter.classify(
            revision, change_id, Source.STORE, held.revision
        )
        if verdict is Verdict.NEWER and root is not None:
            snapshot = await self._repository.load(root, held)
            self._adopt(snapshot, Source.STORE)

    async def _catch_up(
        self, address: Address, held: Snapshot, offer: PullReply
    ) -> Snapshot | None:
        """Returns what the peer offers; `None` if it moved on meanwhile."""
        try:
            catch = SnapshotBuilder(held, offer)
        except RevisionRefusedError:
            # The difference doesn't fit what is held, as after changes on
            # two copies of the store; the whole does.
            offer = await self._pull(address, Pull(0, ""))
            catch = SnapshotBuilder(held, offer)
        for _ in range(_MAX_ANSWERS):
            missing = catch.missing_parts()[:_MAX_WANTED]
            if not missing:
                return catch.build()
            pull = Pull(held.revision, held.change_id, want=missing)
            if not catch.add_parts(await self._pull(address, pull)):
                return None
        return None

    async def _pull(self, address: Address, pull: Pull) -> PullReply:
        self.pulls_sent += 1
        told = msgspec.structs.replace(pull, address=str(self._own_address))
        content = await self._peers.call(
            address, CONTROL_NAME, msgspec.json.encode(told), _CALL_TIMEOUT_S
        )
        self.bytes_received += len(content)
        return decode_reply(content)

    def _adopt(self, snapshot: Snapshot, source: Source) -> None:
        if self.adopter.adopt(snapshot):
            self._on_adopted(snapshot, source)


def jittered(rng: random.Random, period_s: float) -> float:
    """Returns a time around `period_s` (s), from half to one and a half."""
    return period_s * rng.uniform(0.5, 1.5)
