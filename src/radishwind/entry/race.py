"""Two attempts side by side: one is kept, the other cancelled.

A task group for each call would cost more than the rest of the entry side, and
nearly no call is hedged. So the first attempt runs in its caller's own task,
and one task of the node starts the hedges that fall due.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import heapq
import itertools
import math

import anyio

from radishwind.core.clock import Clock
from radishwind.http.types import abort_body
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun
from radishwind.outcomes import Outcome
from radishwind.telemetry.logs import PartLogger


class Race:
    """Takes the outcomes of a first attempt and its hedge and keeps one.

    Attributes:
      closed: whether the call needs no further attempt here.
    """

    __slots__ = ("_first", "_hedge", "_hedge_ended", "_kept", "closed")

    def __init__(self) -> None:
        self.closed = False
        self._first = anyio.CancelScope()
        self._hedge: anyio.CancelScope | None = None
        self._hedge_ended: anyio.Event | None = None
        self._kept: Outcome | None = None

    async def run_first(
        self, attempt: Callable[[], Awaitable[Outcome]]
    ) -> Outcome:
        """Runs the first attempt and returns the outcome of the race."""
        try:
            with self._first:
                self._take(await attempt())
            if self._hedge_ended is not None and not self._won():
                await self._hedge_ended.wait()
        finally:
            self.closed = True
            if self._hedge is not None:
                self._hedge.cancel()
        assert self._kept is not None
        return self._kept

    async def run_hedge(
        self, attempt: Callable[[], Awaitable[Outcome]]
    ) -> None:
        """Runs the hedge; an answer cancels the first attempt."""
        self._hedge = anyio.CancelScope()
        self._hedge_ended = anyio.Event()
        try:
            with self._hedge:
                self._take(await attempt())
                if self._won():
                    self._first.cancel()
        finally:
            self._hedge_ended.set()

    def _won(self) -> bool:
        return isinstance(self._kept, Done)

    def _take(self, outcome: Outcome) -> None:
        if self.closed or self._won():
            if isinstance(outcome, Done):
                abort_body(outcome.response.body)
            return
        self._kept = _graver(self._kept, outcome)


def _graver(kept: Outcome | None, outcome: Outcome) -> Outcome:
    """Returns what holds of both: an answer, else unknown, else not run."""
    if kept is None or isinstance(outcome, Done):
        return outcome
    return outcome if isinstance(kept, NotRun) else kept


class HedgeTimer:
    """Starts hedges when they fall due; one task for the whole node."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._log = PartLogger("entry", clock)
        self._due: list[
            tuple[float, int, Race, Callable[[], Awaitable[None]]]
        ] = []
        self._order = itertools.count()
        self._wakes_at = -math.inf
        self._wake = anyio.Event()

    def add(
        self, due: float, race: Race, hedge: Callable[[], Awaitable[None]]
    ) -> None:
        """Runs `hedge` at `due` (monotonic s) unless `race` is closed then."""
        heapq.heappush(self._due, (due, next(self._order), race, hedge))
        if due < self._wakes_at:
            self._wake.set()

    async def run(self) -> None:
        """Starts hedges until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for hedge in self._take_due():
                    tasks.start_soon(self._run_hedge, hedge)
                await self._sleep()

    def _take_due(self) -> list[Callable[[], Awaitable[None]]]:
        now = self._clock.monotonic()
        due = []
        while self._due and (self._due[0][2].closed or self._due[0][0] <= now):
            _, _, race, hedge = heapq.heappop(self._due)
            if not race.closed:
                due.append(hedge)
        return due

    async def _sleep(self) -> None:
        """Waits until the first one is due, or until one is added before."""
        self._wakes_at = self._due[0][0] if self._due else math.inf
        self._wake = anyio.Event()
        with anyio.move_on_after(self._wakes_at - self._clock.monotonic()):
            await self._wake.wait()
        self._wakes_at = -math.inf

    async def _run_hedge(self, hedge: Callable[[], Awaitable[None]]) -> None:
        try:
            await hedge()
        except Exception as exc:
            # A fault in one hedge ends neither the others nor the node; the
            # first attempt goes on.
            self._log.failure("A hedge failed.", exc)
