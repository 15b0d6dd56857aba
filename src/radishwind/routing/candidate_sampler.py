"""Draws a few candidates, near ones first, at a cost free of their number."""

from collections.abc import Callable
from collections.abc import Sequence
import random

from radishwind.membership.directory import Member

#: Candidates drawn from the nearest, the second nearest, and the rest: one or
#: two each.
DRAWS = (2, 1, 1)

#: Members looked at in turn when none of those drawn is fit.
_FALLBACK_STEPS = 16


class CandidateSampler:
    """The members of one service by distance, derived once per change.

    Attributes:
      members: what it was derived from.
      own: the member of this node, if it is one of them.
      version: grows with each change.
      typical_s: smoothed answer time of the service's targets (s).
    """

    __slots__ = ("_fixed", "_large", "members", "own", "typical_s", "version")

    def __init__(self) -> None:
        self.members: Sequence[Member] = ()
        self.own: Member | None = None
        self.version = 0
        self.typical_s = 0.0
        # Members always drawn; and the larger groups to draw from, each with
        # its size and the number of draws.
        self._fixed: list[Member] = []
        self._large: list[tuple[list[Member], int, int]] = []

    def update(
        self,
        members: Sequence[Member],
        own_name: str,
        distance_s: Callable[[str], float],
    ) -> None:
        """Takes new members.

        Args:
          members: the members.
          own_name: the name of this node's own target.
          distance_s: returns the latency to a failure domain (s).
        """
        self.members = members
        self.own = next((m for m in members if m.name == own_name), None)
        self.version += 1
        self._fixed = [self.own] if self.own is not None else []
        self._large = []
        tiers = _tiers(members, distance_s)
        nearest, *farther = DRAWS
        # The own member stands for one draw of its group, the nearest.
        draws = (nearest - len(self._fixed), *farther)
        for tier, count in zip(tiers, draws, strict=False):
            others = [m for m in tier if m is not self.own]
            if len(others) <= count:
                self._fixed += others
            else:
                self._large.append((others, len(others), count))

    def draw(self, rng: random.Random, exclude: frozenset[str]) -> list[Member]:
        """Returns a few different members that are not in `exclude`."""
        # In turn from a random one on, so that ties do not fall to the first.
        start = int(rng.random() * len(self._fixed))
        drawn = self._fixed[start:] + self._fixed[:start]
        for tier, size, count in self._large:
            first = int(rng.random() * size)
            drawn.append(tier[first])
            if count == 2:
                second = int(rng.random() * (size - 1))
                drawn.append(tier[second + (second >= first)])
        if exclude:
            return [m for m in drawn if m.name not in exclude]
        return drawn

    def scan(self, rng: random.Random, exclude: frozenset[str]) -> list[Member]:
        """Returns members in turn from a random one on, a bounded number."""
        size = len(self.members)
        if not size:
            return []
        start = int(rng.random() * size)
        steps = min(size, _FALLBACK_STEPS + len(exclude))
        turn = [self.members[(start + i) % size] for i in range(steps)]
        return [m for m in turn if m.name not in exclude]


def _tiers(
    members: Sequence[Member], distance_s: Callable[[str], float]
) -> list[list[Member]]:
    """Groups by distance; what is beyond the second group is one group."""
    by_distance: dict[float, list[Member]] = {}
    for member in members:
        distance = distance_s(member.failure_domain)
        by_distance.setdefault(distance, []).append(member)
    groups = [by_distance[d] for d in sorted(by_distance)]
    rest = [m for group in groups[2:] for m in group]
    return [*groups[:2], rest] if rest else groups[:2]
