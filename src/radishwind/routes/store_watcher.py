"""Reads and watches the operator's keys in the store.

The route configuration and the evacuated failure domains have a common key
prefix, so that one read and one watch cover both.
"""

from collections.abc import Callable
from collections.abc import Sequence
import random

import anyio
import msgspec

from radishwind.core.backoff import Backoff
from radishwind.core.clock import Clock
from radishwind.recency.model import FreshnessProof
from radishwind.routes.evacuation import EvacuatedDomains
from radishwind.routes.evacuation import EvacuationState
from radishwind.store.base import Store
from radishwind.store.base import StoreCompactedError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreError
from radishwind.store.base import WatchEvent
from radishwind.store.position import StorePosition
from radishwind.store.position import UNKNOWN_POSITION
from radishwind.store.watch_monitor import WatchMonitor
from radishwind.supervision import Duty
from radishwind.supervision import run_together
from radishwind.telemetry.part_logger import PartLogger

#: Source given with everything that is read from the store.
STORE_SOURCE = "store"

#: Bounds of the pause after a failed call of the store (s).
_INITIAL_PAUSE_S = 0.1
_MAX_PAUSE_S = 1.0

#: Longest pause between reads of a configuration that is malformed (s).
_MAX_MALFORMED_PAUSE_S = 5.0

#: Interval at which a node checks whether it should watch the store (s).
DUTY_CHECK_INTERVAL_S = 0.5


class OperatorKeys(msgspec.Struct, frozen=True):
    """The operator's keys in the store.

    Attributes:
      prefix: common prefix of all of them.
      config: key of the route configuration, below `prefix`.
      evacuated_domain: returns the failure domain that a key marks as
        evacuated; `None` for another key.
    """

    prefix: str
    config: str
    evacuated_domain: Callable[[str], str | None]


class StoreWatcher:
    """Reads the store once, and watches it while this node is a watcher.

    Attributes:
      monitor: state of the watch.
    """

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
        evacuation: EvacuationState,
        on_proof: Callable[[FreshnessProof], None] | None = None,
    ) -> None:
        """Creates the watcher.

        Args:
          keys: the operator's keys in the store.
          store: the platform's store.
          clock: the clock.
          rng: random source of pauses.
          is_watcher: returns whether this node should watch the store.
          on_config: called with an encoded configuration and its source;
            returns its version, 0 if it is malformed.
          on_evacuation: called with the evacuated failure domains and their
            source.
          evacuation: the evacuated failure domains in force.
          on_proof: called with the freshness proof of the first read; `None`
            if no proof is needed, so that the first read may be stale.
        """
        self._on_proof = on_proof
        self._keys = keys
        self._store = store
        self._rng = rng
        self._is_watcher = is_watcher
        self._on_config = on_config
        self._on_evacuation = on_evacuation
        self._evacuation = evacuation
        self._log = PartLogger("routes", clock)
        self._backoff = Backoff(rng, _INITIAL_PAUSE_S, _MAX_PAUSE_S)
        # Not reset by an answer, unlike `_backoff`.
        self._malformed_backoff = Backoff(
            rng, _INITIAL_PAUSE_S, _MAX_MALFORMED_PAUSE_S
        )
        self._is_malformed = False
        self._clock = clock
        self.monitor = WatchMonitor(clock)
        self._position = UNKNOWN_POSITION
        # The newest position at which the version of the configuration is
        # certain, and this version: from a linearizable read or from a change.
        self._confirmed = (UNKNOWN_POSITION, 0)
        # The newest version that was in the store at any time.
        self._known_version = 0
        self._is_unavailable = False
        self._unavailable_since = 0.0
        self._watch_scope: anyio.CancelScope | None = None
        self._replacement_reason = ""
        self._has_waited = False

    def note_version(self, version: int) -> None:
        """Records that `version` exists, which the watch has to report."""
        self._known_version = max(self._known_version, version)
        self.monitor.record_known(version=version)

    def on_new_era(self) -> None:
        """Reads and watches again from the new era of the store."""
        self._position = UNKNOWN_POSITION
        self._replace_watch("the era of the store rose")

    def duties(
        self, first_wait_s: float, is_known: Callable[[], bool]
    ) -> tuple[Duty, ...]:
        """Returns the duties: to read and watch, and to check the watch.

        The first reads once, then watches while this node is a watcher.

        Args:
          first_wait_s: the first read comes after a random time of up to this
            (s); 0 to read at once in any case.
          is_known: returns whether a configuration is in force; if a peer sent
            one during the wait, the read is skipped.
        """
        return (
            Duty("routes.watch", lambda: self._follow(first_wait_s, is_known)),
            Duty("routes.watch_check", self._replace_silent_watches),
        )

    async def run(
        self, first_wait_s: float, is_known: Callable[[], bool]
    ) -> None:
        """Runs the duties without supervision until cancelled."""
        await run_together(self.duties(first_wait_s, is_known))

    async def _follow(
        self, first_wait_s: float, is_known: Callable[[], bool]
    ) -> None:
        """Reads once, then watches while this node is a watcher."""
        if not self._has_waited:
            await anyio.sleep(self._rng.random() * first_wait_s)
            self._has_waited = True
        may_skip_read = first_wait_s > 0
        while not is_known() or not may_skip_read:
            if await self._read_first():
                break
            backoff = self._backoff
            if self._is_malformed:
                backoff = self._malformed_backoff
            await anyio.sleep(backoff.record_failure())
            if is_known():
                break
        while True:
            if not self._is_watcher():
                await anyio.sleep(DUTY_CHECK_INTERVAL_S)
                continue
            if not self._position.revision and not await self.read():
                await anyio.sleep(self._backoff.record_failure())
                continue
            await self._watch()

    async def _read_first(self) -> bool:
        """Returns whether the first read returned a configuration."""
        if self._on_proof is None:
            # Changes after a stale response are received by the watch, which
            # starts at its revision, and by other nodes as a rumor.
            return await self.read(allow_stale=True)
        proof = await self.confirm()
        if proof is not None:
            self._on_proof(proof)
        return proof is not None

    async def read(self, *, allow_stale: bool = False) -> bool:
        """Reads all keys; returns whether there was a configuration."""
        return await self._read(allow_stale=allow_stale) is not None

    async def confirm(self) -> FreshnessProof | None:
        """Asks the store which configuration is its newest.

        A watch proves nothing, since it may report a change late. If the
        position of the store is still the one at which its configuration is
        known, reading the position is sufficient; else all keys are read. A
        store that came back from a copy proves nothing until it has the newest
        version again that is known.

        Returns:
          The freshness proof, dated to before the call; `None` if the store
          did not answer or has no valid configuration.
        """
        called_at = self._clock.monotonic()
        try:
            if self._confirmed[1]:
                position = await self._store.position()
                if position == self._confirmed[0]:
                    self._record_result(failed=False)
                    return self._make_proof(called_at, self._confirmed[1])
        except StoreError as exc:
            self._record_result(failed=True, reason=str(exc)[:120])
            return None
        version = await self._read()
        return self._make_proof(called_at, version) if version else None

    def _make_proof(self, as_of: float, version: int) -> FreshnessProof | None:
        """Returns the proof that `version` was the newest at `as_of` (s)."""
        if version < self._known_version:
            self._log.warning(
                "The store has an older configuration than is known.",
                version=version,
                known=self._known_version,
            )
            return None
        return FreshnessProof(as_of, version)

    async def _read(self, *, allow_stale: bool = False) -> int | None:
        """Reads all keys and passes them on.

        Returns:
          The version of the configuration, 0 if it is malformed; `None` if
          there is none or the store did not answer.
        """
        try:
            entries = await self._store.list(
                self._keys.prefix, allow_stale=allow_stale
            )
        except StoreError as exc:
            self._record_result(failed=True, reason=str(exc)[:120])
            return None
        self._record_result(failed=False)
        config = [e for e in entries if e.key == self._keys.config]
        if not config:
            return None
        # Watch from the revision of the store on: the revisions of the keys may
        # be older than the history, so that the store refuses a watch from
        # there.
        newest = max(entry.position for entry in entries)
        as_of = max(newest, min(e.store_position for e in entries))
        # A stale response gets the revision of the newest key in it, so that
        # it never overrides what other nodes have learned since.
        names = self._evacuated_names(entries)
        domains_at = newest if allow_stale else as_of
        domains = EvacuatedDomains(domains_at.revision, names, domains_at.era)
        self._on_evacuation(domains, STORE_SOURCE)
        version = self._on_config(config[0].value, STORE_SOURCE)
        self._is_malformed = not version
        if not allow_stale:
            self._record_confirmed(config[0].store_position, version)
        if self.monitor.is_open:
            # The open watch has to report it too, or it is replaced.
            self.monitor.record_known(newest, version)
            if newest.era > self._position.era:
                self._position = as_of
                self._replace_watch("the era of the store rose")
        else:
            self._position = as_of
            self.monitor.record_reported(as_of, version)
        return version

    def _record_confirmed(self, position: StorePosition, version: int) -> None:
        """Records that `version` is in the store as of `position`."""
        if version and position > self._confirmed[0]:
            self._confirmed = (position, version)

    def _evacuated_names(self, entries: Sequence[StoreEntry]) -> frozenset[str]:
        names = (self._keys.evacuated_domain(entry.key) for entry in entries)
        return frozenset(name for name in names if name is not None)

    async def _watch(self) -> None:
        """Watches until the watch fails or this node is no longer a watcher.

        The next watch continues from the last revision seen. All keys are read
        again only if the store has compacted the history since then.
        """
        self.monitor.record_start(self._position)
        self._log.info(
            "Watches the store.",
            era=self._position.era,
            revision=self._position.revision,
        )
        reason = "not a watcher"
        with anyio.CancelScope() as self._watch_scope:
            try:
                await self._apply_events()
            except StoreCompactedError as exc:
                reason = str(exc)
                self._position = UNKNOWN_POSITION
            except StoreError as exc:
                reason = str(exc)[:120]
                self._record_result(failed=True, reason=reason)
            except Exception:
                # All keys are read anew, for what was not applied.
                self._position = UNKNOWN_POSITION
                self.monitor.record_end()
                raise
        is_replaced = self._watch_scope.cancelled_caught
        self._log.info(
            "The watch of the store ended.",
            reason=self._replacement_reason if is_replaced else reason,
            quiet_s=round(self.monitor.quiet_s(), 3),
        )
        self.monitor.record_end(is_replaced=is_replaced)
        if not is_replaced:
            await anyio.sleep(self._backoff.record_failure())

    async def _apply_events(self) -> None:
        async for event in self._store.watch(
            self._keys.prefix,
            self._position._replace(revision=self._position.revision + 1),
        ):
            self._record_result(failed=False)
            self._position = max(self._position, event.position)
            self._apply_event(event)
            if not self._is_watcher():
                return

    async def _replace_silent_watches(self) -> None:
        """Ends a watch that missed a change, so that a new one is opened.

        Lets evacuations of an earlier era expire, too.
        """
        while True:
            await anyio.sleep(DUTY_CHECK_INTERVAL_S)
            self._evacuation.expire_carried()
            if self.monitor.has_missed_change():
                self._replace_watch("missed a change")

    def _replace_watch(self, reason: str) -> None:
        if self._watch_scope is not None and self.monitor.is_open:
            self._replacement_reason = reason
            self._watch_scope.cancel()

    def _apply_event(self, event: WatchEvent) -> None:
        if event.key == self._keys.config:
            if event.entry is not None:
                version = self._on_config(event.entry.value, STORE_SOURCE)
                self.monitor.record_reported(event.position, version)
                self._record_confirmed(event.position, version)
            return
        self.monitor.record_reported(event.position)
        name = self._keys.evacuated_domain(event.key)
        if name is None:
            return
        domains = self._evacuation.domains.with_change(
            name, event.position, evacuated=event.entry is not None
        )
        self._on_evacuation(domains, STORE_SOURCE)

    def _record_result(self, *, failed: bool, reason: str = "") -> None:
        """Records the result of a call; logs losing and regaining the store.

        A watch from before the loss may have died with it, and is replaced.
        """
        if not failed:
            self._backoff.record_success()
        if failed == self._is_unavailable:
            return
        self._is_unavailable = failed
        if failed:
            self._unavailable_since = self._clock.monotonic()
            self._log.change("The store is unavailable.", reason=reason)
            return
        self._log.change(
            "The store is available again.",
            after_s=round(self._clock.monotonic() - self._unavailable_since, 3),
        )
        if self.monitor.is_older_than(self._unavailable_since):
            self._replace_watch("the store was unavailable")
