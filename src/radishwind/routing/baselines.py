"""Simple policies for comparison: random, round robin, least request."""

import abc
import collections
from collections.abc import Sequence
import math
import random

from radishwind.membership.directory import Member
from radishwind.outcomes.model import Outcome
from radishwind.routing.chooser import LoadReport
from radishwind.routing.chooser import TargetChooser


class _CountingChooser(TargetChooser):
    """Base class that counts this node's requests in flight by target."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._in_flight: collections.Counter[str] = collections.Counter()

    def choose(
        self,
        members: Sequence[Member],
        now: float,
        exclude: frozenset[str] = frozenset(),
        route: str = "",
        aim: float = math.inf,
    ) -> Member | None:
        eligible = [m for m in members if m.name not in exclude]
        return self._pick(eligible) if eligible else None

    @abc.abstractmethod
    def _pick(self, eligible: list[Member]) -> Member:
        """Returns one of `eligible`, which isn't empty."""

    def attempt_started(
        self, name: str, now: float, expected_s: float = 0.0
    ) -> None:
        self._in_flight[name] += 1

    def attempt_finished(
        self,
        name: str,
        now: float,
        elapsed_s: float,
        outcome: Outcome | None,
        load: LoadReport | None,
        route: str = "",
    ) -> None:
        self._in_flight[name] -= 1
        if not self._in_flight[name]:
            del self._in_flight[name]


class RandomChooser(_CountingChooser):
    """Chooses a target uniformly at random."""

    def _pick(self, eligible: list[Member]) -> Member:
        return self._rng.choice(eligible)


class RoundRobinChooser(_CountingChooser):
    """Chooses the targets in turn."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._next_index = rng.randrange(1 << 16)

    def _pick(self, eligible: list[Member]) -> Member:
        self._next_index += 1
        return eligible[self._next_index % len(eligible)]


class LeastRequestChooser(_CountingChooser):
    """Chooses a target with the fewest requests of this node in flight."""

    def _pick(self, eligible: list[Member]) -> Member:
        lowest = min(self._in_flight[m.name] for m in eligible)
        return self._rng.choice(
            [m for m in eligible if self._in_flight[m.name] == lowest]
        )
