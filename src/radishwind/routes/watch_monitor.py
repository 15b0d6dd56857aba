"""Tracks an open watch of the store, and whether it has missed a change.

A watch that reports nothing may mean that nothing changed, or that its
connection is dead. Only evidence from elsewhere tells these apart.
"""

from radishwind.core.clock import Clock
from radishwind.telemetry.part_logger import PartLogger


class WatchMonitor:
    """The state of one node's watch."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._log = PartLogger("routes", clock)
        self._is_open = False
        self._heard_at = 0.0

    @property
    def is_open(self) -> bool:
        """Whether a watch is open."""
        return self._is_open

    def quiet_s(self) -> float:
        """Returns how long the open watch has reported nothing (s)."""
        return self._clock.monotonic() - self._heard_at if self._is_open else 0

    def record_start(self, revision: int) -> None:
        """Records that a watch was opened after `revision`."""
        self._is_open = True
        self._heard_at = self._clock.monotonic()
        self._log.info("Watches the store.", revision=revision)

    def record_event(self) -> None:
        """Records that the watch reported a change."""
        self._heard_at = self._clock.monotonic()

    def record_end(self, reason: str) -> None:
        """Records that the watch ended."""
        self._log.info(
            "The watch of the store ended.",
            reason=reason,
            quiet_s=round(self.quiet_s(), 3),
        )
        self._is_open = False
