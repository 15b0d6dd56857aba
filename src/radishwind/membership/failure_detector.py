"""Failure detection: whom to probe, whom to suspect, when to give up."""

import math
import random

from radishwind.membership.gossip_options import GossipOptions
from radishwind.membership.membership_table import MembershipTable
from radishwind.membership.records import Liveness
from radishwind.membership.records import MemberRecord


class FailureDetector:
    """Chooses the members to probe and times suspicion.

    Members are probed in a random order, each once before any twice, so that
    the time until a failure is noticed is bounded. A hint brings a member to
    the front.
    """

    def __init__(
        self,
        own_name: str,
        table: MembershipTable,
        options: GossipOptions,
        rng: random.Random,
    ) -> None:
        self._own_name = own_name
        self._table = table
        self._options = options
        self._rng = rng
        self._order: list[str] = []
        self._hinted: dict[str, None] = {}
        self._unanswered: dict[str, float] = {}
        self._suspected: dict[str, float] = {}
        self._dead: dict[str, float] = {}
        table.add_member_listener(self._changed)

    def next(self) -> MemberRecord | None:
        """Returns the member to probe now, if there is one."""
        while self._hinted:
            fact = self._table.members.get(self._pop_hint())
            if fact is not None and not fact.is_gone:
                return fact
        for _ in range(2):
            while self._order:
                fact = self._table.members.get(self._order.pop())
                if fact is not None and self._worth(fact):
                    return fact
            self._order = list(self._table.members)
            self._rng.shuffle(self._order)
        return None

    def hint(self, name: str) -> None:
        """Probes `name` before others."""
        if name != self._own_name and name in self._table.members:
            self._hinted[name] = None

    @property
    def is_waiting(self) -> bool:
        """Whether an answer or a refutation is waited for."""
        return bool(self._unanswered or self._suspected)

    def failed(self, name: str, now: float) -> bool:
        """Notes that a direct probe failed; returns whether it is new."""
        if name in self._unanswered:
            return False
        self._unanswered[name] = now + 2 * self._options.probe_timeout_s
        return True

    def answered(self, name: str) -> None:
        """Notes that a member answered, to us or to one we asked."""
        self._unanswered.pop(name, None)

    def due_suspicions(self, now: float) -> list[str]:
        """Returns the members that neither answered us nor those we asked."""
        due = [n for n, until in self._unanswered.items() if until <= now]
        for name in due:
            del self._unanswered[name]
        return due

    def note_suspected(self, name: str, now: float) -> None:
        """Starts the time that a member has to refute."""
        size = max(10, len(self._table.members))
        periods = self._options.suspicion_periods * math.log10(size)
        self._suspected[name] = now + periods * self._options.probe_period_s

    def note_dead(self, name: str, now: float) -> None:
        """Starts the time that a dead member is remembered."""
        self._dead[name] = now

    def due_deaths(self, now: float) -> list[str]:
        """Returns the suspected members whose time to refute is over."""
        return [n for n, until in self._suspected.items() if until <= now]

    def due_forgetting(self, now: float) -> list[str]:
        """Returns the dead that are to be forgotten."""
        before = now - self._options.forget_after_s
        return [n for n, since in self._dead.items() if since <= before]

    def dead_since(self, name: str) -> float | None:
        """Returns when this node learnt of a death (s), if it did."""
        return self._dead.get(name)

    def random_dead(self, now: float) -> MemberRecord | None:
        """Returns one that may be back: believed dead, or left lately."""
        names = [
            name
            for name, since in self._dead.items()
            if self._table.members[name].liveness is Liveness.DEAD
            or now - since < self._options.return_window_s
        ]
        return self._table.members[self._rng.choice(names)] if names else None

    def excuse(self, late_s: float) -> None:
        """Takes the time this node was paused off all it waits for."""
        self._unanswered.clear()
        for name in self._suspected:
            self._suspected[name] += late_s

    def _pop_hint(self) -> str:
        name = next(iter(self._hinted))
        del self._hinted[name]
        return name

    def _worth(self, fact: MemberRecord) -> bool:
        return fact.name != self._own_name and not fact.is_gone

    def _changed(
        self, old: MemberRecord | None, new: MemberRecord | None
    ) -> None:
        if new is None:
            assert old is not None
            self._suspected.pop(old.name, None)
            self._dead.pop(old.name, None)
            return
        if old is None:
            place = self._rng.randrange(len(self._order) + 1)
            self._order.insert(place, new.name)
        if new.liveness is not Liveness.SUSPECT:
            self._suspected.pop(new.name, None)
        if not new.is_gone:
            self._dead.pop(new.name, None)
