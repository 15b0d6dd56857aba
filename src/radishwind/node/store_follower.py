"""Follows the newest revision in the store: by a watch, or by rare reads."""

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
    """Watches the store where it is this node's turn, else reads it rarely.

    Attributes:
      is_watching: whether it is this node's turn to watch the store.
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
        refused: Callable[[Source, RevisionRefusedError], None],
        log: Callable[[str], None],
        periods: ConfigPeriods,
    ) -> None:
        """Wires the follower.

        Args:
          settings: of the node.
          clock: the clock.
          rng: the random source of pauses.
          store: the store, within the node's budget.
          exchange: reads the store and adopts what is newer there.
          members: returns the members known.
          refused: called with a configuration that can't be adopted.
          log: called with a sentence for the log.
          periods: how often the tasks act.
        """
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._store = store
        self._exchange = exchange
        self._adopter = exchange.adopter
        self._members = members
        self._refused = refused
        self._log = log
        self._periods = periods
        self._turn: anyio.CancelScope | None = None
        self._read_at = clock.monotonic()
        self.is_watching = False

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Follows the store in `tasks` until they are cancelled."""
        tasks.start_soon(self._follow)
        tasks.start_soon(self._end_turn_when_outranked)

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
                self._refused(Source.STORE, exc)
                await anyio.sleep(backoff.record_failure())

    async def _follow_once(self) -> None:
        self.is_watching = self._is_watcher()
        if self.is_watching:
            await self._watch_turn()
            return
        fresh = self._adopter.snapshot.revision == 0
        period_s = (
            self._periods.initial_read_period_s
            if fresh
            else self._periods.read_period_s
        )
        since_s = self._clock.monotonic() - self._read_at
        if since_s >= jittered(self._rng, period_s):
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

    async def _watch_turn(self) -> None:
        """Reads the store, then watches it for one turn."""
        stored_at = await self._read_store()
        try:
            await self._watch(stored_at + 1, self._periods.watch_duration_s)
        except StoreCompactedError:
            await self._watch(0, self._periods.short_watch_duration_s)

    async def _watch(self, from_revision: int, turn_s: float) -> None:
        """Watches for about `turn_s` (s), or until others rank before."""
        with anyio.move_on_after(jittered(self._rng, turn_s)) as self._turn:
            async for event in self._store.watch(ROOT_KEY, from_revision):
                await self._take_event(event)

    async def _end_turn_when_outranked(self) -> None:
        while True:
            await anyio.sleep(
                jittered(self._rng, self._periods.rank_check_period_s)
            )
            if self._turn is not None and not self._is_watcher():
                self._turn.cancel()

    async def _take_event(self, event: WatchEvent) -> None:
        refusals = self._adopter.refusals
        await self._exchange.apply_event(event)
        self._report_refusal(refusals)

    async def _read_store(self) -> int:
        refusals = self._adopter.refusals
        stored_at = await self._exchange.read_store()
        self._read_at = self._clock.monotonic()
        self._report_refusal(refusals)
        return stored_at

    def _report_refusal(self, before: int) -> None:
        if self._adopter.refusals > before:
            self._log(f"Refused: {self._adopter.last_refusal}")
