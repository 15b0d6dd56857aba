"""SWIM failure detection: probe order, suspicion and its deadlines."""

import math
import random

from radishwind.membership.gossip_options import GossipOptions
from radishwind.membership.membership_table import MembershipTable
from radishwind.membership.records import Liveness
from radishwind.membership.records import MemberRecord


class FailureDetector:
    """Selects the members to probe and times suspicion.

    Members are probed in random order, each once per cycle, which bounds the
    time until a failure is detected. A prioritized member is probed first.
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
        self._probe_order: list[str] = []
        self._prioritized: dict[str, None] = {}
        # Deadlines of indirect probes and of suspicions, and since when each
        # member that is gone has been so (monotonic s), by name.
        self._indirect_deadlines: dict[str, float] = {}
        self._suspicion_deadlines: dict[str, float] = {}
        self._gone_since: dict[str, float] = {}
        table.add_member_listener(self._on_member_change)

    def next_member(self) -> MemberRecord | None:
        """Returns the next member to probe; `None` if there is none."""
        while self._prioritized:
            record = self._table.members.get(self._pop_prioritized())
            if record is not None and not record.is_gone:
                return record
        for _ in range(2):
            while self._probe_order:
                record = self._table.members.get(self._probe_order.pop())
                if record is not None and self._is_probed(record):
                    return record
            self._probe_order = list(self._table.members)
            self._rng.shuffle(self._probe_order)
        return None

    def prioritize(self, name: str) -> None:
        """Probes the member `name` before the others."""
        if name != self._own_name and name in self._table.members:
            self._prioritized[name] = None

    @property
    def has_deadlines(self) -> bool:
        """Whether any indirect probe or suspicion is pending."""
        return bool(self._indirect_deadlines or self._suspicion_deadlines)

    def record_probe_failure(self, name: str, now: float) -> bool:
        """Starts the time for indirect probes after a direct one failed.

        Returns:
          Whether no indirect probe of `name` was pending.
        """
        if name in self._indirect_deadlines:
            return False
        self._indirect_deadlines[name] = now + 2 * self._options.probe_timeout_s
        return True

    def record_reply(self, name: str) -> None:
        """Records that a member replied to a direct or an indirect probe."""
        self._indirect_deadlines.pop(name, None)

    def members_to_suspect(self, now: float) -> list[str]:
        """Returns and removes members whose indirect probes timed out."""
        overdue = [
            name
            for name, deadline in self._indirect_deadlines.items()
            if deadline <= now
        ]
        for name in overdue:
            del self._indirect_deadlines[name]
        return overdue

    def start_suspicion(self, name: str, now: float) -> None:
        """Starts the time in which a suspect member may refute."""
        size = max(10, len(self._table.members))
        periods = self._options.suspicion_periods * math.log10(size)
        self._suspicion_deadlines[name] = (
            now + periods * self._options.probe_period_s
        )

    def record_gone(self, name: str, now: float) -> None:
        """Records that a member left or was declared dead."""
        self._gone_since[name] = now

    def members_to_declare_dead(self, now: float) -> list[str]:
        """Returns the suspect members that didn't refute in time."""
        return [
            name
            for name, deadline in self._suspicion_deadlines.items()
            if deadline <= now
        ]

    def members_to_forget(self, now: float) -> list[str]:
        """Returns the members that have been gone long enough to forget."""
        before = now - self._options.forget_after_s
        return [
            name for name, since in self._gone_since.items() if since <= before
        ]

    def gone_since(self, name: str) -> float | None:
        """Returns when this node learned that a member is gone.

        Returns:
          Monotonic time (s); `None` if this node didn't see the member go.
        """
        return self._gone_since.get(name)

    def random_rejoin_candidate(self, now: float) -> MemberRecord | None:
        """Returns a random member that may be back.

        These are the dead members, and those that left recently.
        """
        names = [
            name
            for name, since in self._gone_since.items()
            if self._table.members[name].liveness is Liveness.DEAD
            or now - since < self._options.return_window_s
        ]
        return self._table.members[self._rng.choice(names)] if names else None

    def compensate_pause(self, paused_s: float) -> None:
        """Discounts the time that this node itself was paused.

        Pending indirect probes are dropped, since their replies may have been
        missed, and suspicions last longer.

        Args:
          paused_s: how long this node was paused (s).
        """
        self._indirect_deadlines.clear()
        for name in self._suspicion_deadlines:
            self._suspicion_deadlines[name] += paused_s

    def _pop_prioritized(self) -> str:
        name = next(iter(self._prioritized))
        del self._prioritized[name]
        return name

    def _is_probed(self, record: MemberRecord) -> bool:
        return record.name != self._own_name and not record.is_gone

    def _on_member_change(
        self, old: MemberRecord | None, new: MemberRecord | None
    ) -> None:
        if new is None:
            assert old is not None
            self._suspicion_deadlines.pop(old.name, None)
            self._gone_since.pop(old.name, None)
            return
        if old is None:
            place = self._rng.randrange(len(self._probe_order) + 1)
            self._probe_order.insert(place, new.name)
        if new.liveness is not Liveness.SUSPECT:
            self._suspicion_deadlines.pop(new.name, None)
        if not new.is_gone:
            self._gone_since.pop(new.name, None)
