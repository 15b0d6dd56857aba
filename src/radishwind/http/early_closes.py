"""Counts and logs connections that a node closes before their callers do."""

import enum

from radishwind.core.clock import Clock
from radishwind.telemetry.part_logger import PartLogger


class EarlyCloseReason(enum.StrEnum):
    """Why a node closes a connection of a caller."""

    #: All connections together hold more memory than they may.
    MEMORY = "memory"
    #: Its receiver accepts nothing of a response.
    STALLED = "stalled"
    #: It waited for a request when the listener had no room for another one.
    REPLACED = "replaced"


class EarlyCloses:
    """The connections that were closed early.

    Attributes:
      counts: number of connections by reason.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        """Creates the counts.

        Args:
          clock: times the log lines; by default nothing is logged.
        """
        self.counts = dict.fromkeys(EarlyCloseReason, 0)
        self._log = None if clock is None else PartLogger("http", clock)

    def record(
        self, reason: EarlyCloseReason, peer: str, **fields: float
    ) -> None:
        """Counts and logs a close.

        Args:
          reason: why the connection is closed.
          peer: IP address of the peer.
          **fields: further fields of the log line.
        """
        self.counts[reason] += 1
        if self._log is not None:
            self._log.warning(
                f"Closed a connection early ({reason}).",
                peer=peer,
                count=self.counts[reason],
                **fields,
            )
