"""Loads at the start which incarnations are leaving.

Until that is known, no heartbeat is accepted, so the server gets no requests.
If the store stays away, heartbeats are accepted after a while, and the records
are loaded once it is back.
"""

from collections.abc import Callable

import anyio

from radishwind.core.clock import Clock
from radishwind.supervision import run_contained
from radishwind.target.leaving_records import LeavingRecords

#: Longest wait for the store's records: of a node that found peers, which may
#: have sent the records, and of one that found none.
TIMEOUT_WITH_PEERS_S = 0.5
TIMEOUT_ALONE_S = 3.0

_RETRY_DELAY_S = 0.2

#: Delay between attempts while heartbeats are accepted already (s).
_LATE_RETRY_DELAY_S = 0.5


class LeavingRecordsLoader:
    """Loads the leaving records, from peers if the store is unavailable.

    Attributes:
      is_done: whether heartbeats may be accepted.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        records: LeavingRecords,
        first_start: bool,
        node_count: Callable[[], int],
        on_loaded: Callable[[], None],
    ) -> None:
        """Wires the task.

        Args:
          clock: the clock.
          records: loads the records.
          first_start: whether the whole system starts for the first time, so
            that no record can have been stored.
          node_count: returns how many nodes are known, including this one.
          on_loaded: called once the records are loaded or given up.
        """
        self._clock = clock
        self._records = records
        self._first_start = first_start
        self._node_count = node_count
        self._on_loaded = on_loaded
        self.is_done = False

    async def run(self) -> None:
        """Returns once the records are loaded."""
        began = self._clock.monotonic()
        is_loaded = self._first_start
        while not is_loaded:
            is_loaded = await self._load()
            if is_loaded or self._has_timed_out(
                self._clock.monotonic() - began
            ):
                break
            await anyio.sleep(_RETRY_DELAY_S)
        self.is_done = True
        self._on_loaded()
        while not is_loaded:
            await anyio.sleep(_LATE_RETRY_DELAY_S)
            is_loaded = await self._load()

    async def _load(self) -> bool:
        """Loads the records; an error in it counts as a failed try."""
        return bool(await run_contained("leaving.load", self._records.load))

    def _has_timed_out(self, elapsed_s: float) -> bool:
        is_alone = self._node_count() <= 1
        if not is_alone and elapsed_s >= TIMEOUT_WITH_PEERS_S:
            return True
        return elapsed_s >= TIMEOUT_ALONE_S
