"""Runs an attempt and its hedge concurrently and keeps one outcome."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from radishwind.http.types import abort_body
from radishwind.outcomes import combine_outcomes
from radishwind.outcomes import Done
from radishwind.outcomes import Outcome


class Race:
    """Keeps one outcome of a first attempt and its hedge.

    Attributes:
      closed: whether the race is decided, so that no hedge must start.
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
                self._record(await attempt())
            if self._hedge_ended is not None and not self._has_response():
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
        """Runs the hedge; its response cancels the first attempt."""
        self._hedge = anyio.CancelScope()
        self._hedge_ended = anyio.Event()
        try:
            with self._hedge:
                self._record(await attempt())
                if self._has_response():
                    self._first.cancel()
        finally:
            self._hedge_ended.set()

    def _has_response(self) -> bool:
        return isinstance(self._kept, Done)

    def _record(self, outcome: Outcome) -> None:
        if self.closed or self._has_response():
            if isinstance(outcome, Done):
                abort_body(outcome.response.body)
            return
        self._kept = combine_outcomes(self._kept, outcome)
