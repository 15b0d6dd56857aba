"""The nodes there are as the feed of routes sees them, and who is to watch."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import random

from radishwind.core.clock import Clock
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.membership.ranking import hash_rank
from radishwind.membership.ranking import ranks_among_first

#: Nodes of a failure domain that watch the store: one may be cut off from it.
WATCHERS_PER_DOMAIN = 2

#: Beyond so many watchers in all each failure domain has one. Each change of
#: the routes costs a call of each watcher; where the store turns a third of the
#: nodes away, six are all turned away once in 700 times, and a failure domain
#: whose own can't watch hears of a version from the others.
MAX_PAIRED_WATCHERS = 6

#: A node that knows no other of its failure domain watches only this long after
#: its start (s): it finds them within a second. Where each of a start of all
#: took itself for the only one, each watched, and each change of the routes was
#: asked for by all of them (31 watches of 27 nodes in the logs of a play).
LONE_NODE_GRACE_S = 2.0


def watchers_per_domain(members: Iterable[Member]) -> int:
    """Returns how many nodes of a failure domain watch the store."""
    domains = {member.failure_domain for member in members}
    return (
        WATCHERS_PER_DOMAIN
        if WATCHERS_PER_DOMAIN * len(domains) <= MAX_PAIRED_WATCHERS
        else 1
    )


class FeedPeers:
    """The other nodes that live, by nearness, and this one's duty."""

    def __init__(
        self,
        *,
        node_name: str,
        failure_domain: str,
        directory: Directory,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Makes the view of a node that starts now.

        Args:
          node_name: of this node.
          failure_domain: where it stands.
          directory: the nodes there are.
          clock: the clock.
          rng: shuffles.
        """
        self._node_name = node_name
        self._failure_domain = failure_domain
        self._directory = directory
        self._clock = clock
        self._rng = rng
        self._began = clock.monotonic()

    def near(self) -> Sequence[Member]:
        """Returns the others of the own failure domain, shuffled."""
        return self._where(near=True)

    def far(self) -> Sequence[Member]:
        """Returns those of other failure domains, shuffled."""
        return self._where(near=False)

    def is_watcher(self) -> bool:
        """Returns whether this node is to watch the store."""
        names = [m.name for m in self._others() if self._is_near(m)]
        if (
            not names
            and self._clock.monotonic() - self._began < LONE_NODE_GRACE_S
        ):
            return False
        return ranks_among_first(self._node_name, names, self._watchers())

    def part(self) -> list[Member]:
        """Returns the near nodes that this watcher is to bring a version to.

        Each watcher of the failure domain has its part of them.
        """
        near = self.near()
        parts = self._watchers()
        own = hash_rank(self._node_name)
        number = sum(hash_rank(m.name) < own for m in near) % parts
        return [m for m in near if hash_rank(m.name) % parts == number]

    def _watchers(self) -> int:
        """Returns how many nodes of a failure domain watch the store."""
        return watchers_per_domain(self._directory.members())

    def _where(self, *, near: bool) -> Sequence[Member]:
        found = [m for m in self._others() if self._is_near(m) is near]
        self._rng.shuffle(found)
        return found

    def _others(self) -> Iterator[Member]:
        for member in self._directory.members():
            if member.state is MemberState.DEAD:
                continue
            if member.name != self._node_name:
                yield member

    def _is_near(self, member: Member) -> bool:
        return member.failure_domain == self._failure_domain
