"""Follows the newest revision in the store, by a watch or by rare reads."""

from collections.abc import Callable
import random

import anyio
import anyio.abc

from radishwind.config.adopter import Source
from radishwind.config.config_exchange import ConfigExchange
from radishwind.config.config_exchange import jittered
from radishwind.config.errors import RevisionRefusedError
from radishwind.config.records import ROOT_KEY
from radishwind.config.watchers import is_watcher
from radishwind.core import Clock
from radishwind.membership.directory import Member
from radishwind.node.config_periods import ConfigPeriods
from radishwind.settings import NodeSettings
from radishwind.store import Backoff
from radishwind.store import Store
from radishwind.store import StoreCompactedError
from radishwind.store import StoreError
from radishwind.store import WatchEvent


class StoreFollower:
    """Watches the store if this node ranks as a watcher, else reads it rarely.

    Attributes:
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
        """Creates the follower; `start` starts its tasks.

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
        self.is_watching = False

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Follows the store in `tasks` until they are cancelled."""
        tasks.start_soon(self._follow)
        tasks.start_soon(self._end_watch_when_outranked)

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
        is_unconfigured = self._adopter.snapshot.revision == 0
        period_s = (
            self._periods.initial_read_period_s
            if is_unconfigured
            else self._periods.read_period_s
        )
        elapsed_s = self._clock.monotonic() - self._last_read
        if elapsed_s >= jittered(self._rng, period_s):
            await self._read_store()
        await anyio.sleep(
            jittered(self._rng, self._periods.rank_check_period_s)
        )

    def _is_watcher(self) -> bool:
        return is_watcher(
            self._settings.target,
            self._settings.failure_domain,
            self._members(),
        )

    async def _read_and_watch(self) -> None:
        """Reads the store, then watches it from there for some time."""
        root_revision = await self._read_store()
        try:
            await self._watch(root_revision + 1, self._periods.watch_duration_s)
        except StoreCompactedError:
            await self._watch(0, self._periods.short_watch_duration_s)

    async def _watch(self, from_revision: int, duration_s: float) -> None:
        """Watches for about `duration_s` (s), or until outranked.

        Args:
          from_revision: store revision of the first event; 0 for events from
            now on.
          duration_s: mean duration (s).
        """
        with anyio.move_on_after(
            jittered(self._rng, duration_s)
        ) as self._watch_scope:
            async for event in self._store.watch(ROOT_KEY, from_revision):
                await self._apply_event(event)

    async def _end_watch_when_outranked(self) -> None:
        while True:
            await anyio.sleep(
                jittered(self._rng, self._periods.rank_check_period_s)
            )
            if self._watch_scope is not None and not self._is_watcher():
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
