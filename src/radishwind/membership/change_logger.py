"""Logs membership changes, at a bounded rate.

Thousands of members may join or be partitioned off within seconds, and a line
for each of them on each node would flood the logs. The first changes of a
window are logged one by one; the others are counted and summed up in one line
after its end.
"""

import collections
from collections.abc import Callable
from typing import TypeAlias

from radishwind.membership.records import AdvertisedState
from radishwind.membership.records import Liveness
from radishwind.membership.records import MemberRecord

#: Length of a window (s), and the number of changes logged one by one in it.
WINDOW_S = 30.0
MAX_LINES_PER_WINDOW = 20

LogFunction: TypeAlias = Callable[[str], None]

_PHRASE_BY_ADVERTISED = {
    AdvertisedState.SERVING: "joined",
    AdvertisedState.DRAINING: "is draining",
    AdvertisedState.LEAVING: "is leaving",
    AdvertisedState.LEFT: "left",
}


class MembershipChangeLogger:
    """Logs each change of the state of another member once."""

    def __init__(self, own_name: str, log: LogFunction) -> None:
        """Initializes the logger.

        Args:
          own_name: name of this node, whose changes aren't logged.
          log: called with each line.
        """
        self._own_name = own_name
        self._log = log
        self._window_end = 0.0
        self._logged = 0
        self._suppressed: collections.Counter[str] = collections.Counter()

    def record_change(
        self, old: MemberRecord | None, new: MemberRecord | None, now: float
    ) -> None:
        """Logs or counts the change of a member from `old` to `new`.

        Args:
          old: previous record; `None` if the member is new.
          new: current record; `None` if the member was forgotten.
          now: monotonic time (s).
        """
        if new is None or new.name == self._own_name:
            return
        phrase = _change_phrase(old, new)
        if phrase is None:
            return
        self.flush(now)
        if self._logged >= MAX_LINES_PER_WINDOW:
            self._suppressed[phrase] += 1
            return
        self._logged += 1
        self._log(f"{new.name} {phrase} (incarnation {new.incarnation}).")

    def flush(self, now: float) -> None:
        """Logs the counts of suppressed lines once the window is over."""
        if now < self._window_end:
            return
        if self._suppressed:
            counts = ", ".join(f"{n} {p}" for p, n in self._suppressed.items())
            self._log(f"Further changes, not logged one by one: {counts}.")
            self._suppressed.clear()
        self._window_end = now + WINDOW_S
        self._logged = 0


def _change_phrase(old: MemberRecord | None, new: MemberRecord) -> str | None:
    """Returns the phrase for a change; `None` if the state is the same."""
    before = None if old is None else _state_phrase(old)
    after = _state_phrase(new)
    if after == before:
        return None
    if after == "joined" and before == "is suspected":
        return "is no longer suspected"
    if after == "joined" and before == "is draining":
        return "is no longer draining"
    return after


def _state_phrase(record: MemberRecord) -> str:
    if record.advertised is AdvertisedState.LEFT:
        return "left"
    if record.liveness is Liveness.DEAD:
        return "is dead"
    if record.liveness is Liveness.SUSPECT:
        return "is suspected"
    return _PHRASE_BY_ADVERTISED[record.advertised]
