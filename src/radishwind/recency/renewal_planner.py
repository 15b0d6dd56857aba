"""Decides when a node renews its proof, by other nodes or by the store.

Callers send requests with keys all the time, so a proof must be renewed before
it expires, whichever nodes, links or store endpoints fail. The number of store
calls must stay low, however many nodes there are.
"""

import math
import random

import msgspec

from radishwind.membership.directory import Member
from radishwind.recency.model import FreshnessProof
from radishwind.recency.model import ProofSchedule
from radishwind.recency.proven_freshness import ProvenFreshness
from radishwind.recency.source_selector import SourceSelector

#: Another node is queried if there is no reply within this time: a datagram
#: takes some ms, a busy node some tens of ms.
REPLY_TIMEOUT_S = 0.1

#: Nodes queried at once when the proof is about to expire, or has expired.
_URGENT_QUERIES = 3

#: How often the pause between unsuccessful rounds is doubled at most.
_MAX_BACKOFF_DOUBLINGS = 2

#: The selection of nodes is renewed after this time.
_SELECTION_LIFETIME_S = 1.0

#: A new plan is made after this time at the latest.
_MAX_PLAN_INTERVAL_S = 0.5

#: The first nodes in the order retry a failed store read sooner than others.
_EAGER_POSITIONS = 4


class RenewalPlan(msgspec.Struct, frozen=True):
    """What a node has to do now.

    Attributes:
      queries: the nodes to query.
      reads_store: whether to read the store.
      next_plan_s: after how long to plan again unless something happens (s).
    """

    queries: tuple[Member, ...]
    reads_store: bool
    next_plan_s: float


class RenewalPlanner:
    """Tracks what a node has tried, and plans what it does next."""

    def __init__(
        self,
        *,
        schedule: ProofSchedule,
        freshness: ProvenFreshness,
        selector: SourceSelector,
        rng: random.Random,
        now: float,
        first_wait_s: float,
    ) -> None:
        """Creates the planner of a node that begins to need a proof.

        Args:
          schedule: ages of the proof at which the node acts.
          freshness: holds the proof.
          selector: selects the nodes to query.
          rng: random source that spreads store calls.
          now: monotonic time (s).
          first_wait_s: the first store read takes place after a random time up
            to this (s), unless this node knows others and is the first of them.
        """
        self._schedule = schedule
        self._freshness = freshness
        self._selector = selector
        self._rng = rng
        self._preferred = ""
        self._round: list[Member] = []
        self._selection = selector.select()
        self._selected_at = now
        # Whether the whole previous round of queries got no reply at all, and
        # whether the present one got any.
        self._is_isolated = False
        self._got_reply = True
        self._query_at = now
        self._failed_rounds = 0
        self._is_reading = False
        self._has_read = False
        self._read_at = now + rng.random() * first_wait_s

    def plan(self, now: float) -> RenewalPlan:
        """Returns what is to be done at time `now` (s)."""
        age_s = self._newest_age_s(now)
        if now - self._selected_at >= _SELECTION_LIFETIME_S:
            self._select(now)
        reads_store = self._may_read(age_s, now)
        if reads_store:
            self._is_reading, self._has_read = True, True
        queries = self._next_queries(age_s, now)
        return RenewalPlan(queries, reads_store, self._next_plan_s(age_s, now))

    def reply_received(
        self, name: str, proof: FreshnessProof | None, now: float
    ) -> None:
        """Records that the node `name` replied, with `proof` if it had one."""
        self._got_reply = True
        self._is_isolated = False
        if proof is not None and now - proof.as_of < self._useful_below_s():
            self._preferred = name
            self._round = []
            self._failed_rounds = 0
            return
        if name == self._preferred:
            self._preferred = ""
        if self._round:
            # The next candidates are queried at once; the pause follows only
            # after the last of them.
            self._query_at = min(self._query_at, now)

    def read_ended(self, succeeded: bool, now: float) -> None:
        """Records that a store read ended."""
        self._is_reading = False
        if succeeded:
            self._read_at = now
            return
        bound_s = self._schedule.bound_s
        is_urgent = (
            self._newest_age_s(now) >= self._schedule.isolated_read_age_s
        )
        if is_urgent and self._is_eager():
            wait_s = self._rng.uniform(0.1, 0.2) * bound_s
        else:
            wait_s = self._rng.uniform(0.4, 0.8) * bound_s
        self._read_at = now + wait_s

    def _newest_age_s(self, now: float) -> float:
        """Returns the age of the newest proof, in force or not (s)."""
        newest = self._freshness.newest()
        return math.inf if newest is None else now - newest.as_of

    def _select(self, now: float) -> None:
        self._selection = self._selector.select(self._preferred)
        self._selected_at = now

    def _is_eager(self) -> bool:
        return self._selection.position < _EAGER_POSITIONS or self._is_isolated

    def _may_read(self, age_s: float, now: float) -> bool:
        if self._is_reading or not self._is_read_due(age_s):
            return False
        selection = self._selection
        if (
            not self._has_read
            and selection.position == 0
            and selection.candidates
        ):
            # The other nodes query this one and wait for its reply.
            return True
        return now >= self._read_at

    def _is_read_due(self, age_s: float) -> bool:
        read_age_s = self._schedule.read_age_s(self._selection.position)
        if self._is_isolated:
            read_age_s = min(read_age_s, self._schedule.isolated_read_age_s)
        return age_s >= read_age_s

    def _query_age_s(self) -> float:
        """Returns the proof's age at which this node queries others (s)."""
        if self._selection.is_relay:
            return self._schedule.relay_query_age_s
        return self._schedule.query_age_s

    def _useful_below_s(self) -> float:
        """Returns the age below which a received proof ends the round (s)."""
        return self._query_age_s() - self._schedule.round_pause_s

    def _next_queries(self, age_s: float, now: float) -> tuple[Member, ...]:
        if age_s < self._query_age_s() or now < self._query_at:
            return ()
        if not self._round:
            self._select(now)
            self._round = list(self._selection.candidates)
            self._is_isolated, self._got_reply = not self._got_reply, False
        count = _URGENT_QUERIES if age_s >= self._schedule.urgent_age_s else 1
        queried, self._round = self._round[:count], self._round[count:]
        wait_s = REPLY_TIMEOUT_S
        if queried and not self._round:
            # Nodes that get a newer proof meanwhile reply again.
            wait_s += self._schedule.round_pause_s * 2**self._failed_rounds
            self._failed_rounds = min(
                self._failed_rounds + 1, _MAX_BACKOFF_DOUBLINGS
            )
        self._query_at = now + wait_s
        return tuple(queried)

    def _next_plan_s(self, age_s: float, now: float) -> float:
        """Returns after how long to plan again at the latest (s)."""
        waits_s = [_MAX_PLAN_INTERVAL_S]
        if age_s < math.inf:
            read_age_s = self._schedule.read_age_s(self._selection.position)
            waits_s += [
                at_s - age_s
                for at_s in (
                    read_age_s,
                    self._query_age_s(),
                    self._schedule.max_age_s,
                )
                if at_s > age_s
            ]
        if age_s >= self._query_age_s():
            waits_s.append(self._query_at - now)
        if self._is_read_due(age_s) and not self._is_reading:
            waits_s.append(self._read_at - now)
        return max(0.001, min(waits_s))
