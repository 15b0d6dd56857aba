"""Learns at the start which incarnations leave, before the server gets work."""

from collections.abc import Callable

import anyio

from radishwind.core.clock import Clock
from radishwind.target.leaving_records import LeavingRecords

#: Without the records of the store a node that has found peers goes on after
#: this time (s), and one that has found nobody after the other.
RECORDS_FROM_PEERS_S = 0.5
RECORDS_FROM_NOBODY_S = 3.0

#: The store is asked again after this time (s).
_AGAIN_S = 0.2


class LeavingRecordsLoader:
    """Reads the records of the store; peers may have them where it is away.

    Attributes:
      known: whether heartbeats may be taken.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        records: LeavingRecords,
        first_start: bool,
        node_count: Callable[[], int],
        learned: Callable[[], None],
    ) -> None:
        """Wires the task.

        Args:
          clock: the clock.
          records: reads them.
          first_start: whether nothing can have been kept before.
          node_count: returns how many nodes are known, with this one.
          learned: called once they are known.
        """
        self._clock = clock
        self._records = records
        self._first_start = first_start
        self._node_count = node_count
        self._learned = learned
        self.known = False

    async def run(self) -> None:
        """Returns once the records are known, or nobody can tell them."""
        began = self._clock.monotonic()
        while not self._first_start:
            if await self._records.load():
                break
            if self._waited_enough(self._clock.monotonic() - began):
                break
            await anyio.sleep(_AGAIN_S)
        self.known = True
        self._learned()

    def _waited_enough(self, waited_s: float) -> bool:
        alone = self._node_count() <= 1
        if not alone and waited_s >= RECORDS_FROM_PEERS_S:
            return True
        return waited_s >= RECORDS_FROM_NOBODY_S
