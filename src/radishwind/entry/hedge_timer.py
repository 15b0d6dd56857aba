"""Starts the hedges of all calls in one task of the node.

A task group for each call would cost more than the rest of the entry side, and
nearly no call is hedged. Therefore the first attempt runs in the task of its
caller, and this task starts the hedges that fall due.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import heapq
import itertools
import math

import anyio

from radishwind.core.clock import Clock
from radishwind.entry.race import Race
from radishwind.supervision import Duty
from radishwind.supervision import run_together
from radishwind.supervision import TaskPool


class HedgeTimer:
    """Starts hedges when they fall due; one task for the whole node."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._due: list[
            tuple[float, int, Race, Callable[[], Awaitable[None]]]
        ] = []
        self._order = itertools.count()
        self._wakes_at = -math.inf
        self._wake = anyio.Event()
        self._hedges = TaskPool("entry.hedges")

    def add(
        self, due: float, race: Race, hedge: Callable[[], Awaitable[None]]
    ) -> None:
        """Schedules `hedge` for `due` (monotonic s) unless `race` is closed."""
        heapq.heappush(self._due, (due, next(self._order), race, hedge))
        if due < self._wakes_at:
            self._wake.set()

    def duties(self) -> tuple[Duty, ...]:
        """Returns the duties: to run hedges, and to start due ones."""
        return (self._hedges.duty, Duty("entry.hedge_timer", self._run_timer))

    async def run(self) -> None:
        """Runs the duties without supervision until cancelled."""
        await run_together(self.duties())

    async def _run_timer(self) -> None:
        while True:
            for hedge in self._pop_due():
                self._hedges.start_soon(hedge)
            await self._sleep()

    def _pop_due(self) -> list[Callable[[], Awaitable[None]]]:
        now = self._clock.monotonic()
        due = []
        while self._due and (self._due[0][2].closed or self._due[0][0] <= now):
            _, _, race, hedge = heapq.heappop(self._due)
            if not race.closed:
                due.append(hedge)
        return due

    async def _sleep(self) -> None:
        """Waits until the first hedge is due or an earlier one is added."""
        self._wakes_at = self._due[0][0] if self._due else math.inf
        self._wake = anyio.Event()
        with anyio.move_on_after(self._wakes_at - self._clock.monotonic()):
            await self._wake.wait()
        self._wakes_at = -math.inf
