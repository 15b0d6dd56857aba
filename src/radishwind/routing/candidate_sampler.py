"""Samples a few candidates, nearest first, in constant time."""

from collections.abc import Callable
from collections.abc import Sequence
import random

from radishwind.membership.directory import Member

#: Candidates sampled from the nearest failure domains, the second nearest and
#: the rest; one or two each.
SAMPLES_PER_TIER = (2, 1, 1)

#: Members scanned if none of those sampled is eligible.
_SCAN_LENGTH = 16


class CandidateSampler:
    """The members of one service, grouped by distance when they change.

    Attributes:
      members: the members that the groups were derived from.
      own: the target of this node, if it is a member.
      version: increases with each change.
      typical_s: smoothed response time of the service's targets (s).
    """

    __slots__ = ("_fixed", "_large", "members", "own", "typical_s", "version")

    def __init__(self) -> None:
        self.members: Sequence[Member] = ()
        self.own: Member | None = None
        self.version = 0
        self.typical_s = 0.0
        # Members that are part of every sample; and the larger groups to
        # sample from, each with its size and the number of samples.
        self._fixed: list[Member] = []
        self._large: list[tuple[list[Member], int, int]] = []

    def update(
        self,
        members: Sequence[Member],
        own_name: str,
        distance_s: Callable[[str], float],
    ) -> None:
        """Replaces the members.

        Args:
          members: the members.
          own_name: the name of this node's own target.
          distance_s: returns the one-way latency to a failure domain (s).
        """
        self.members = members
        self.own = next((m for m in members if m.name == own_name), None)
        self.version += 1
        self._fixed = [self.own] if self.own is not None else []
        self._large = []
        tiers = _group_by_distance(members, distance_s)
        nearest, *farther = SAMPLES_PER_TIER
        # The own target replaces one sample of its group, the nearest.
        sample_counts = (nearest - len(self._fixed), *farther)
        for tier, count in zip(tiers, sample_counts, strict=False):
            others = [m for m in tier if m is not self.own]
            if len(others) <= count:
                self._fixed += others
            else:
                self._large.append((others, len(others), count))

    def sample(
        self, rng: random.Random, exclude: frozenset[str]
    ) -> list[Member]:
        """Returns a few distinct members that aren't in `exclude`."""
        # Rotated at random, so that ties aren't always won by the first.
        start = int(rng.random() * len(self._fixed))
        sampled = self._fixed[start:] + self._fixed[:start]
        for tier, size, count in self._large:
            first = int(rng.random() * size)
            sampled.append(tier[first])
            if count == 2:
                second = int(rng.random() * (size - 1))
                sampled.append(tier[second + (second >= first)])
        if exclude:
            return [m for m in sampled if m.name not in exclude]
        return sampled

    def scan(self, rng: random.Random, exclude: frozenset[str]) -> list[Member]:
        """Returns a bounded number of members from a random one on."""
        size = len(self.members)
        if not size:
            return []
        start = int(rng.random() * size)
        length = min(size, _SCAN_LENGTH + len(exclude))
        scanned = [self.members[(start + i) % size] for i in range(length)]
        return [m for m in scanned if m.name not in exclude]


def _group_by_distance(
    members: Sequence[Member], distance_s: Callable[[str], float]
) -> list[list[Member]]:
    """Groups members by distance; all beyond the second form one group."""
    by_distance: dict[float, list[Member]] = {}
    for member in members:
        distance = distance_s(member.failure_domain)
        by_distance.setdefault(distance, []).append(member)
    groups = [by_distance[d] for d in sorted(by_distance)]
    rest = [m for group in groups[2:] for m in group]
    return [*groups[:2], rest] if rest else groups[:2]
