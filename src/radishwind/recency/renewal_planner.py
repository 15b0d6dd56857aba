"""Decides when a node seeks proof, from whom, and when from the store.

The load it answers: callers send keyed requests all the time, so proof has to
be renewed before it is over whichever of the nodes, links and stores fails;
at few calls of the store, whatever the number of nodes.
"""

import math
import random

import msgspec

from radishwind.membership.directory import Member
from radishwind.recency.model import FreshnessProof
from radishwind.recency.model import ProofSchedule
from radishwind.recency.proven_freshness import ProvenFreshness
from radishwind.recency.sources import Sources

#: An answer that didn't come within this time (s) is sought from another: a
#: datagram takes some ms, a busy node some tens of ms.
ANSWER_WAIT_S = 0.1

#: Asked at once where proof is about to run out, or has.
_ASKED_IN_HURRY = 3

#: How often the gap between rounds in vain is doubled.
_MOST_DOUBLINGS = 2

#: Who is there is looked at again after this time (s).
_LOOK_S = 1.0

#: A decision is made anew after this time (s) at most.
_STEP_S = 0.5

#: The first in turn try the store again sooner than others where it failed.
_EAGER_PLACES = 4


class Step(msgspec.Struct, frozen=True):
    """What is to be done now.

    Attributes:
      ask: the nodes to ask.
      read: whether to read the store.
      again_s: when to decide again, if nothing happens before (s).
    """

    ask: tuple[Member, ...]
    read: bool
    again_s: float


class Seeker:
    """Holds what was tried; each decision is a method call."""

    def __init__(
        self,
        *,
        times: ProofSchedule,
        proof: ProvenFreshness,
        sources: Sources,
        rng: random.Random,
        now: float,
        first_wait_s: float,
    ) -> None:
        """Makes the seeker of a node that begins to need proof.

        Args:
          times: what is done at which age.
          proof: the proof held.
          sources: whom to ask.
          rng: spreads calls of the store.
          now: monotonic time (s).
          first_wait_s: it reads the store after up to this time (s) first,
            unless it knows others and is the first of them.
        """
        self._times = times
        self._proof = proof
        self._sources = sources
        self._rng = rng
        self._helper = ""
        self._round: list[Member] = []
        self._around = sources.look()
        self._looked_at = now
        # Whether a whole round of questions brought no answer at all, and
        # whether the present one brought any.
        self._alone = False
        self._heard = True
        self._ask_at = now
        self._vain_rounds = 0
        self._reading = False
        self._has_read = False
        self._read_at = now + rng.random() * first_wait_s

    def step(self, now: float) -> Step:
        """Returns what is to be done at `now` (s)."""
        age_s = self._newest_age_s(now)
        if now - self._looked_at >= _LOOK_S:
            self._look(now)
        read = self._may_read(age_s, now)
        if read:
            self._reading, self._has_read = True, True
        ask = self._ask(age_s, now)
        return Step(ask, read, self._again_s(age_s, now))

    def answered(
        self, name: str, proof: FreshnessProof | None, now: float
    ) -> None:
        """Takes that the node `name` answered, with what `proof`."""
        self._heard = True
        self._alone = False
        if proof is not None and now - proof.as_of < self._good_s():
            self._helper = name
            self._round = []
            self._vain_rounds = 0
            return
        if name == self._helper:
            self._helper = ""
        if self._round:
            # Others are asked at once in its place; after them there is a gap.
            self._ask_at = min(self._ask_at, now)

    def read_ended(self, succeeded: bool, now: float) -> None:
        """Takes that a reading of the store ended."""
        self._reading = False
        if succeeded:
            self._read_at = now
            return
        bound_s = self._times.bound_s
        soon = self._newest_age_s(now) >= self._times.alone_turn_s
        if soon and self._is_eager():
            wait_s = self._rng.uniform(0.1, 0.2) * bound_s
        else:
            wait_s = self._rng.uniform(0.4, 0.8) * bound_s
        self._read_at = now + wait_s

    def _newest_age_s(self, now: float) -> float:
        """Returns the age of the newest proof known, in force or not (s)."""
        newest = self._proof.newest()
        return math.inf if newest is None else now - newest.as_of

    def _look(self, now: float) -> None:
        self._around = self._sources.look(self._helper)
        self._looked_at = now

    def _is_eager(self) -> bool:
        return self._around.place < _EAGER_PLACES or self._alone

    def _may_read(self, age_s: float, now: float) -> bool:
        if self._reading or not self._is_turn(age_s):
            return False
        around = self._around
        if not self._has_read and around.place == 0 and around.to_ask:
            # The others ask this node, and wait for it.
            return True
        return now >= self._read_at

    def _is_turn(self, age_s: float) -> bool:
        turn_s = self._times.turn_s(self._around.place)
        if self._alone:
            turn_s = min(turn_s, self._times.alone_turn_s)
        return age_s >= turn_s

    def _threshold_s(self) -> float:
        if self._around.is_relay:
            return self._times.relay_at_s
        return self._times.ask_at_s

    def _good_s(self) -> float:
        """An answer younger than this spares further questions (s)."""
        return self._threshold_s() - self._times.round_gap_s

    def _ask(self, age_s: float, now: float) -> tuple[Member, ...]:
        if age_s < self._threshold_s() or now < self._ask_at:
            return ()
        if not self._round:
            self._look(now)
            self._round = list(self._around.to_ask)
            self._alone, self._heard = not self._heard, False
        count = _ASKED_IN_HURRY if age_s >= self._times.hurry_at_s else 1
        asked, self._round = self._round[:count], self._round[count:]
        wait_s = ANSWER_WAIT_S
        if asked and not self._round:
            # Whoever gets proof meanwhile answers again.
            wait_s += self._times.round_gap_s * 2**self._vain_rounds
            self._vain_rounds = min(self._vain_rounds + 1, _MOST_DOUBLINGS)
        self._ask_at = now + wait_s
        return tuple(asked)

    def _again_s(self, age_s: float, now: float) -> float:
        """Returns when something else is due, at the latest (s)."""
        waits = [_STEP_S]
        if age_s < math.inf:
            turn_s = self._times.turn_s(self._around.place)
            waits += [
                at_s - age_s
                for at_s in (turn_s, self._threshold_s(), self._times.limit_s)
                if at_s > age_s
            ]
        if age_s >= self._threshold_s():
            waits.append(self._ask_at - now)
        if self._is_turn(age_s) and not self._reading:
            waits.append(self._read_at - now)
        return max(0.001, min(waits))
