"""Loads at the start which incarnations are leaving.

Until that is known, no heartbeat is accepted: it may have been sent before its
server announced that it leaves. While nobody can read the records, a health
check that succeeds shows that the server stays. A heartbeat that arrives late
enough after the start was sent after it, and shows that as well.
"""

from collections.abc import Callable

import anyio

from radishwind.core.clock import Clock
from radishwind.supervision import run_contained
from radishwind.target.leaving_records import LeavingRecords

#: How late a heartbeat may arrive (s). A server that has announced that it
#: leaves sends no others, so that what arrives later shows that it stays.
MAX_HEARTBEAT_DELAY_S = 10.0

_RETRY_DELAY_S = 0.2

#: Delay between attempts while heartbeats are accepted already (s).
_LATE_RETRY_DELAY_S = 0.5


class LeavingRecordsLoader:
    """Loads the leaving records, from peers if the store is unavailable.

    Attributes:
      is_done: whether heartbeats that arrive now may be accepted.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        records: LeavingRecords,
        first_start: bool,
        on_loaded: Callable[[], None],
    ) -> None:
        """Wires the task.

        Args:
          clock: the clock.
          records: loads the records.
          first_start: whether the whole system starts for the first time, so
            that no record can have been stored.
          on_loaded: called once the records are loaded; those that arrived
            before may be accepted as well then.
        """
        self._clock = clock
        self._records = records
        self._first_start = first_start
        self._on_loaded = on_loaded
        self.is_done = False

    async def run(self) -> None:
        """Returns once the records are loaded."""
        began = self._clock.monotonic()
        is_loaded = self._first_start
        while not is_loaded:
            is_loaded = await self._load()
            if is_loaded or self._is_too_late(began):
                break
            await anyio.sleep(_RETRY_DELAY_S)
        self.is_done = True
        while not is_loaded:
            await anyio.sleep(_LATE_RETRY_DELAY_S)
            is_loaded = await self._load()
        self._on_loaded()

    async def _load(self) -> bool:
        """Loads the records; an error in it counts as a failed try."""
        return bool(await run_contained("leaving.load", self._records.load))

    def _is_too_late(self, began: float) -> bool:
        """Returns whether what arrives now was sent after the start."""
        return self._clock.monotonic() - began >= MAX_HEARTBEAT_DELAY_S
