"""Simple policies: random, round robin, fewest own requests."""

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
    """Picks from what is not excluded; counts own requests in flight."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._in_flight: collections.Counter[str] = collections.Counter()

    def choose(
        self,
        members: Sequence[Member],
        now: float,
        exclude: frozenset[str] = frozenset(),
        work: str = "",
        aim: float = math.inf,
    ) -> Member | None:
        fit = [m for m in members if m.name not in exclude]
        return self._pick(fit) if fit else None

    @abc.abstractmethod
    def _pick(self, fit: list[Member]) -> Member:
        """Returns one of `fit`, which is not empty."""

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
        work: str = "",
    ) -> None:
        self._in_flight[name] -= 1
        if not self._in_flight[name]:
            del self._in_flight[name]


class RandomChooser(_CountingChooser):
    """Any candidate with the same chance."""

    def _pick(self, fit: list[Member]) -> Member:
        return self._rng.choice(fit)


class RoundRobin(_CountingChooser):
    """The candidates in turn."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._turn = rng.randrange(1 << 16)

    def _pick(self, fit: list[Member]) -> Member:
        self._turn += 1
        return fit[self._turn % len(fit)]


class FewestOwnRequests(_CountingChooser):
    """The candidate with the fewest of this node's requests in flight."""

    def _pick(self, fit: list[Member]) -> Member:
        least = min(self._in_flight[m.name] for m in fit)
        return self._rng.choice(
            [m for m in fit if self._in_flight[m.name] == least]
        )
