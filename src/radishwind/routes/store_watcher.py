"""Reads what the operator writes to the store, and watches it.

The configuration and the emptied failure domains lie below one prefix, so one
read and one watch bring both.
"""

from collections.abc import Callable
from collections.abc import Sequence
import random

import anyio
import msgspec

from radishwind.core.clock import Clock
from radishwind.recency.model import FreshnessProof
from radishwind.routes.evacuation import EvacuatedDomains
from radishwind.store.base import Store
from radishwind.store.base import StoreCompactedError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreError
from radishwind.store.base import WatchEvent
from radishwind.store.budgeted_store import Backoff
from radishwind.telemetry.logs import PartLogger

#: What the store is named as a source.
STORE_SOURCE = "store"

#: Pauses after failed calls of the store (s).
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 1.0

#: How often a node looks whether it is to watch (s).
DUTY_CHECK_INTERVAL_S = 0.5


class OperatorKeys(msgspec.Struct, frozen=True):
    """Where the operator's words lie in the store.

    Attributes:
      prefix: of all of them.
      config: the key of the configuration, below `prefix`.
      evacuated_domain: returns the failure domain that a key says is emptied;
        `None` for another key.
    """

    prefix: str
    config: str
    evacuated_domain: Callable[[str], str | None]


class StoreWatcher:
    """Follows the store while this node is to, and tells what it found."""

    def __init__(
        self,
        *,
        keys: OperatorKeys,
        store: Store,
        clock: Clock,
        rng: random.Random,
        is_watcher: Callable[[], bool],
        on_config: Callable[[bytes, str], int],
        on_evacuation: Callable[[EvacuatedDomains, str], None],
        evacuated: Callable[[], EvacuatedDomains],
        on_proof: Callable[[FreshnessProof], None] | None = None,
    ) -> None:
        """Wires the store's side of the feed.

        Args:
          keys: where the operator's words lie.
          store: the platform's store.
          clock: the clock.
          rng: the random source of pauses.
          is_watcher: returns whether this node is to watch.
          on_config: takes a configuration as written, and its source;
            returns its version, 0 where it can't be read.
          on_evacuation: takes the emptied failure domains and their source.
          evacuated: returns those in force.
          on_proof: takes what the first read proves; `None` where nobody
            wants proof, so that it may bring old state.
        """
        self._take_proof = on_proof
        self._keys = keys
        self._store = store
        self._rng = rng
        self._is_watcher = is_watcher
        self._on_config = on_config
        self._on_evacuation = on_evacuation
        self._evacuated = evacuated
        self._log = PartLogger("routes", clock)
        self._backoff = Backoff(rng, _FIRST_PAUSE_S, _LONGEST_PAUSE_S)
        self._clock = clock
        self._revision = 0
        # The newest revision at which the configuration is known for certain,
        # and its version: by a read of no old state, or by a change itself.
        self._certain = (0, 0)
        self._lost = False

    async def run(
        self, first_wait_s: float, is_known: Callable[[], bool]
    ) -> None:
        """Reads once and then watches while it is to, until cancelled.

        Args:
          first_wait_s: the store is first asked after up to this time (s).
          is_known: returns whether a peer brought it before.
        """
        await anyio.sleep(self._rng.random() * first_wait_s)
        peers_may_bring_it = first_wait_s > 0
        while not is_known() or not peers_may_bring_it:
            if await self._read_first():
                break
            await anyio.sleep(self._backoff.record_failure())
            if is_known():
                break
        while True:
            if not self._is_watcher():
                await anyio.sleep(DUTY_CHECK_INTERVAL_S)
                continue
            if not self._revision and not await self.read():
                await anyio.sleep(self._backoff.record_failure())
                continue
            await self._watch()

    async def _read_first(self) -> bool:
        """Returns whether the first read brought a configuration."""
        if self._take_proof is None:
            # What is newer than an old answer comes by the watch from its
            # revision on, and to those who don't watch as a rumor.
            return await self.read(allow_stale=True)
        proof = await self.confirm()
        if proof is not None:
            self._take_proof(proof)
        return proof is not None

    async def read(self, *, allow_stale: bool = False) -> bool:
        """Returns whether there is a configuration and it could be read."""
        return await self._read(allow_stale=allow_stale) is not None

    async def confirm(self) -> FreshnessProof | None:
        """Asks the store what its newest configuration is.

        A watch proves nothing: it may hear of a change late. Where the store's
        revision is still the one at which the configuration is known, a short
        answer does; else all is read.

        Returns:
          What that proves, counted from before the question; `None` where the
          store gave no answer or has no configuration that can be read.
        """
        asked_at = self._clock.monotonic()
        try:
            if self._certain[1]:
                revision = await self._store.revision()
                if revision == self._certain[0]:
                    self._note(lost=False)
                    return FreshnessProof(asked_at, self._certain[1])
        except StoreError as exc:
            self._note(lost=True, reason=str(exc)[:120])
            return None
        version = await self._read()
        return FreshnessProof(asked_at, version) if version else None

    async def _read(self, *, allow_stale: bool = False) -> int | None:
        """Reads all; returns the version, 0 for one that can't be read.

        Returns `None` where there is no configuration, or no answer.
        """
        try:
            entries = await self._store.list(
                self._keys.prefix, allow_stale=allow_stale
            )
        except StoreError as exc:
            self._note(lost=True, reason=str(exc)[:120])
            return None
        self._note(lost=False)
        config = [e for e in entries if e.key == self._keys.config]
        if not config:
            return None
        # From the store's revision on: the keys' own may be older than the
        # history, and a watch from there is refused at once.
        newest = max(entry.mod_revision for entry in entries)
        as_of = max(newest, min(e.store_revision for e in entries))
        self._revision = as_of
        # An old answer counts as no newer than what it shows, so that it never
        # stands against what others heard since.
        names = self._emptied_names(entries)
        told = EvacuatedDomains(newest if allow_stale else as_of, names)
        self._on_evacuation(told, STORE_SOURCE)
        version = self._on_config(config[0].value, STORE_SOURCE)
        if not allow_stale:
            self._note_certain(config[0].store_revision, version)
        return version

    def _note_certain(self, revision: int, version: int) -> None:
        """Takes that `version` is the store's configuration at `revision`."""
        if version and revision > self._certain[0]:
            self._certain = (revision, version)

    def _emptied_names(self, entries: Sequence[StoreEntry]) -> frozenset[str]:
        names = (self._keys.evacuated_domain(entry.key) for entry in entries)
        return frozenset(name for name in names if name is not None)

    async def _watch(self) -> None:
        """Watches until the watch fails, or others are to watch.

        The next one goes on from the last revision seen; all is read anew only
        where the store forgot what came since.
        """
        try:
            async for event in self._store.watch(
                self._keys.prefix, self._revision + 1
            ):
                self._note(lost=False)
                self._revision = max(self._revision, event.revision)
                self._take(event)
                if not self._is_watcher():
                    return
        except StoreCompactedError:
            self._revision = 0
        except StoreError as exc:
            self._note(lost=True, reason=str(exc)[:120])
        await anyio.sleep(self._backoff.record_failure())

    def _take(self, event: WatchEvent) -> None:
        if event.key == self._keys.config:
            if event.entry is not None:
                version = self._on_config(event.entry.value, STORE_SOURCE)
                self._note_certain(event.revision, version)
            return
        name = self._keys.evacuated_domain(event.key)
        if name is None:
            return
        told = self._evacuated().with_change(
            name, event.revision, evacuated=event.entry is not None
        )
        self._on_evacuation(told, STORE_SOURCE)

    def _note(self, *, lost: bool, reason: str = "") -> None:
        """Logs when the store is lost and regained."""
        if not lost:
            self._backoff.record_success()
        if lost == self._lost:
            return
        self._lost = lost
        sentence = "Lost the store." if lost else "Regained the store."
        self._log.change(sentence, reason=reason)
