"""Follows the newest revision in the store, by a watch and by reads.

A watch that reports nothing may be dead. So the nodes that watch, and those
that would watch next, also read the store from time to time; a watch that did
not report what a read found is replaced.
"""

from collections.abc import Callable
import random

import anyio

from radishwind.config.adopter import Source
from radishwind.config.config_exchange import ConfigExchange
from radishwind.config.config_exchange import jittered
from radishwind.config.errors import RevisionRefusedError
from radishwind.config.records import ROOT_KEY
from radishwind.config.watchers import CONFIRMERS_PER_DOMAIN
from radishwind.config.watchers import is_watcher
from radishwind.config.watchers import WATCHERS_PER_DOMAIN
from radishwind.core import Clock
from radishwind.core.backoff import Backoff
from radishwind.membership.directory import Member
from radishwind.node.config_periods import ConfigPeriods
from radishwind.settings import NodeSettings
from radishwind.store import Store
from radishwind.store import StoreCompactedError
from radishwind.store import StoreError
from radishwind.store import WatchEvent
from radishwind.store.position import StorePosition
from radishwind.store.watch_monitor import WatchMonitor
from radishwind.supervision import Duty


class StoreFollower:
    """Watches the store if this node ranks as a watcher, else reads it.

    Attributes:
      monitor: state of the watch.
      is_watching: whether this node is one of those that watch the store.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        clock: Clock,
        rng: random.Random,
        store: Store,
        exchange: ConfigExchange,
        members: Callable[[], tuple[Member, ...]],
        on_refused: Callable[[Source, RevisionRefusedError], None],
        log: Callable[[str], None],
        periods: ConfigPeriods,
    ) -> None:
        """Creates the follower; its duties do the work.

        Args:
          settings: settings of the node.
          clock: the clock.
          rng: source of the jitter.
          store: the store, limited by the node's call budget.
          exchange: reads the store and adopts what is newer there.
          members: returns the known members.
          on_refused: called when a configuration in the store is refused.
          log: called with each log message.
          periods: intervals at which the tasks act.
        """
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._store = store
        self._exchange = exchange
        self._adopter = exchange.adopter
        self._members = members
        self._on_refused = on_refused
        self._log = log
        self._periods = periods
        self._watch_scope: anyio.CancelScope | None = None
        self._last_read = clock.monotonic()
        self._failing_since: float | None = None
        self.monitor = WatchMonitor(clock)
        self.is_watching = False

    def duties(self) -> tuple[Duty, ...]:
        """Returns the duties: to follow the store, and to check the watch."""
        return (
            Duty("config.watch", self._follow),
            Duty("config.watch_confirmation", self._confirm_watch),
            Duty("config.watch_check", self._check_watch),
        )

    async def _follow(self) -> None:
        await anyio.sleep(
            self._rng.uniform(0, self._periods.initial_read_spread_s)
        )
        backoff = Backoff(
            self._rng,
            self._periods.initial_backoff_s,
            self._periods.max_backoff_s,
        )
        while True:
            try:
                await self._follow_once()
                backoff.record_success()
            except StoreError:
                await anyio.sleep(backoff.record_failure())
            except RevisionRefusedError as exc:
                self._on_refused(Source.STORE, exc)
                await anyio.sleep(backoff.record_failure())

    async def _follow_once(self) -> None:
        self.is_watching = self._is_watcher()
        if self.is_watching:
            await self._read_and_watch()
            return
        period_s = self._read_period_s()
        elapsed_s = self._clock.monotonic() - self._last_read
        if elapsed_s >= jittered(self._rng, period_s):
            await self._read_store()
        await anyio.sleep(
            jittered(self._rng, self._periods.rank_check_period_s)
        )

    def _read_period_s(self) -> float:
        """Returns the mean time between reads of a node that doesn't watch."""
        if self._ranks_among(CONFIRMERS_PER_DOMAIN):
            return self._periods.standby_confirm_period_s
        if self._adopter.snapshot.revision == 0:
            return self._periods.initial_read_period_s
        return self._periods.read_period_s

    def _is_watcher(self) -> bool:
        return self._ranks_among(WATCHERS_PER_DOMAIN)

    def _ranks_among(self, count: int) -> bool:
        return is_watcher(
            self._settings.target,
            self._settings.failure_domain,
            self._members(),
            count,
        )

    async def _read_and_watch(self) -> None:
        """Reads the store, then watches it from there for some time."""
        root_revision = await self._read_store()
        try:
            await self._watch(root_revision + 1, self._periods.watch_duration_s)
        except StoreCompactedError:
            await self._watch(0, self._periods.short_watch_duration_s)

    async def _watch(self, from_revision: int, duration_s: float) -> None:
        """Watches for about `duration_s` (s), until outranked or replaced.

        Args:
          from_revision: store revision of the first event; 0 for events from
            now on.
          duration_s: mean duration (s).
        """
        start = StorePosition(0, from_revision)
        self.monitor.record_start(StorePosition(0, max(0, from_revision - 1)))
        try:
            with anyio.move_on_after(
                jittered(self._rng, duration_s)
            ) as self._watch_scope:
                async for event in self._store.watch(ROOT_KEY, start):
                    self.monitor.record_reported(event.position)
                    await self._apply_event(event)
        finally:
            self.monitor.record_end()

    async def _confirm_watch(self) -> None:
        """Reads the store from time to time while a watch is open."""
        while True:
            await anyio.sleep(
                jittered(self._rng, self._periods.confirm_period_s)
            )
            if not self.monitor.is_open:
                continue
            try:
                self.monitor.record_known(
                    StorePosition(0, await self._read_store())
                )
            except StoreError as exc:
                if self._failing_since is None:
                    self._failing_since = self._clock.monotonic()
                    self._log(f"The store is unavailable: {exc}")
                continue
            except RevisionRefusedError as exc:
                self._on_refused(Source.STORE, exc)
                continue
            self._record_available()

    def _record_available(self) -> None:
        """Replaces a watch from before a failure, which may have ended it."""
        failing_since, self._failing_since = self._failing_since, None
        if failing_since is None:
            return
        self._log("The store is available again.")
        if self.monitor.is_older_than(failing_since):
            self._replace_watch("the store was unavailable")

    async def _check_watch(self) -> None:
        """Ends the watch of a node that is outranked, or that missed a change.

        The follower then continues with a read of the store.
        """
        while True:
            await anyio.sleep(
                jittered(self._rng, self._periods.rank_check_period_s)
            )
            if self.monitor.has_missed_change():
                self._replace_watch("it missed a change")
            elif self._watch_scope is not None and not self._is_watcher():
                self._watch_scope.cancel()

    def _replace_watch(self, reason: str) -> None:
        if self._watch_scope is not None:
            self._log(
                f"Replaced the watch of the store: {reason}; it had reported "
                f"nothing for {self.monitor.quiet_s():.1f} s."
            )
            self._watch_scope.cancel()

    async def _apply_event(self, event: WatchEvent) -> None:
        refusals = self._adopter.refusals
        await self._exchange.apply_event(event)
        self._log_new_refusal(refusals)

    async def _read_store(self) -> int:
        """Reads the store; returns the store revision of the root."""
        refusals = self._adopter.refusals
        root_revision = await self._exchange.read_store()
        self._last_read = self._clock.monotonic()
        self._log_new_refusal(refusals)
        return root_revision

    def _log_new_refusal(self, refusals_before: int) -> None:
        if self._adopter.refusals > refusals_before:
            self._log(f"Refused: {self._adopter.last_refusal}")
