"""Decides whether an open watch of the store has missed a change.

A watch that reports nothing may mean that nothing changed, or that its
connection is dead. Evidence from elsewhere tells these apart: a read of the
store, a version that a peer has, a call of this node that failed.
"""

from radishwind.core.clock import Clock
from radishwind.store.position import StorePosition
from radishwind.store.position import UNKNOWN_POSITION

#: A watch reports a change within this time after it is known from elsewhere
#: (s), also while the store is slow.
MAX_LAG_S = 1.0


class _Lag:
    """How long what a watch reported has been behind what is known."""

    def __init__(self) -> None:
        self._reported = UNKNOWN_POSITION
        self._known = UNKNOWN_POSITION
        self._since: float | None = None

    def update(
        self, reported: StorePosition, known: StorePosition, now: float
    ) -> None:
        """Records what the watch reported, and what is known."""
        is_newer = known > self._known
        self._reported = max(self._reported, reported)
        self._known = max(self._known, known)
        if self._reported >= self._known:
            self._since = None
        elif self._since is None and is_newer:
            self._since = now

    def restart(self, now: float) -> None:
        """Gives a new watch the whole time to report what is known."""
        if self._since is not None:
            self._since = now

    def age_s(self, now: float) -> float:
        """Returns for how long the watch has been behind (s)."""
        return 0.0 if self._since is None else now - self._since


class WatchMonitor:
    """The state of one node's watch.

    Attributes:
      replaced_count: number of watches that were replaced since they had
        missed a change, or may have.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._is_open = False
        self._started_at = 0.0
        self._last_report_at = 0.0
        # Versions of the configuration, which outlive the eras of the store,
        # and positions of the operator's keys.
        self._versions = _Lag()
        self._positions = _Lag()
        self.replaced_count = 0

    @property
    def is_open(self) -> bool:
        """Whether a watch is open."""
        return self._is_open

    def quiet_s(self) -> float:
        """Returns how long the open watch has reported nothing (s)."""
        return (
            self._clock.monotonic() - self._last_report_at
            if self._is_open
            else 0
        )

    def record_start(self, position: StorePosition) -> None:
        """Records that a watch was opened after `position`."""
        self._is_open = True
        self._started_at = self._last_report_at = self._clock.monotonic()
        self._versions.restart(self._started_at)
        self._positions.restart(self._started_at)
        self.record_reported(position)

    def record_reported(
        self, position: StorePosition, version: int = 0
    ) -> None:
        """Records what the watch reported, or was opened after.

        Args:
          position: position of the store.
          version: version of the configuration; 0 if it reported none.
        """
        now = self._last_report_at = self._clock.monotonic()
        self._positions.update(position, UNKNOWN_POSITION, now)
        self._versions.update(StorePosition(0, version), UNKNOWN_POSITION, now)

    def record_known(
        self, position: StorePosition = UNKNOWN_POSITION, version: int = 0
    ) -> None:
        """Records what is known from elsewhere; see `record_reported`."""
        now = self._clock.monotonic()
        self._positions.update(UNKNOWN_POSITION, position, now)
        self._versions.update(UNKNOWN_POSITION, StorePosition(0, version), now)

    def has_missed_change(self) -> bool:
        """Returns whether the open watch should have reported a change."""
        now = self._clock.monotonic()
        lag_s = max(self._versions.age_s(now), self._positions.age_s(now))
        return self._is_open and lag_s >= MAX_LAG_S

    def is_older_than(self, moment: float) -> bool:
        """Returns whether the open watch was opened before `moment` (s)."""
        return self._is_open and self._started_at < moment

    def record_end(self, *, is_replaced: bool = False) -> None:
        """Records that the watch ended."""
        self.replaced_count += is_replaced
        self._is_open = False
