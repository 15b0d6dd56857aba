"""Tells changes of membership in sentences, a bounded number in a while.

A fleet of thousands joins, or parts of it part, in seconds; a line for each
member on each node would flood the logs. The first changes of a window are
told by name, the others are counted and told in one line at its end.
"""

import collections
from collections.abc import Callable
from typing import TypeAlias

from radishwind.membership.records import AdvertisedState
from radishwind.membership.records import Liveness
from radishwind.membership.records import MemberRecord

#: Length of a window (s), and changes told by name in one.
WINDOW_S = 30.0
MAX_LINES_PER_WINDOW = 20

Report: TypeAlias = Callable[[str], None]

_WORD_BY_ANNOUNCED = {
    AdvertisedState.SERVING: "joined",
    AdvertisedState.DRAINING: "drains",
    AdvertisedState.LEAVING: "leaves",
    AdvertisedState.LEFT: "left",
}


class MembershipChangeLogger:
    """Tells each change of state of another member once."""

    def __init__(self, own: str, report: Report) -> None:
        """Makes a teller.

        Args:
          own: the name of this node, which is not told.
          report: takes a sentence.
        """
        self._own = own
        self._report = report
        self._ends = 0.0
        self._told = 0
        self._held: collections.Counter[str] = collections.Counter()

    def record_change(
        self, old: MemberRecord | None, new: MemberRecord | None, now: float
    ) -> None:
        """Takes the old and the new fact of a member, at monotonic `now`."""
        if new is None or new.name == self._own:
            return
        word = _word(old, new)
        if word is None:
            return
        self.flush(now)
        if self._told >= MAX_LINES_PER_WINDOW:
            self._held[word] += 1
            return
        self._told += 1
        self._report(f"{new.name} {word} (incarnation {new.incarnation}).")

    def flush(self, now: float) -> None:
        """Tells what was held back once the window is over."""
        if now < self._ends:
            return
        if self._held:
            counts = ", ".join(f"{n} {w}" for w, n in self._held.items())
            self._report(f"Further changes, by count: {counts}.")
            self._held.clear()
        self._ends = now + WINDOW_S
        self._told = 0


def _word(old: MemberRecord | None, new: MemberRecord) -> str | None:
    """Returns what to tell of a change, `None` where the state is the same."""
    before = None if old is None else _state(old)
    now = _state(new)
    if now == before:
        return None
    if now == "joined" and before == "is suspected":
        return "is no longer suspected"
    if now == "joined" and before == "drains":
        return "drains no longer"
    return now


def _state(fact: MemberRecord) -> str:
    if fact.advertised is AdvertisedState.LEFT:
        return "left"
    if fact.liveness is Liveness.DEAD:
        return "is dead"
    if fact.liveness is Liveness.SUSPECT:
        return "is suspected"
    return _WORD_BY_ANNOUNCED[fact.advertised]
