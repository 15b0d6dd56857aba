"""Peers of a node in the route feed, and which nodes watch the store."""

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

#: Nodes of a failure domain that watch the store; two, since one may lose its
#: connection to it.
WATCHERS_PER_DOMAIN = 2

#: If two watchers per failure domain would be more than this in total, each
#: failure domain has one. Each change of the routes costs one store call for
#: each watcher. If the store refuses a third of the nodes, it refuses all of
#: six watchers only once in 700 cases, and a failure domain whose own watcher
#: is refused gets the version from the others.
MAX_PAIRED_WATCHERS = 6

#: A node that knows no other node of its failure domain watches the store only
#: after this time from its start (s). It usually discovers the others within a
#: second. Without the delay, at a simultaneous start each node assumed that it
#: was alone and watched, so all of them read each change of the routes (31
#: watches by 27 nodes in the logs of a simulation).
LONE_NODE_GRACE_S = 2.0


def watchers_per_domain(members: Iterable[Member]) -> int:
    """Returns the number of nodes per failure domain that watch the store."""
    domains = {member.failure_domain for member in members}
    return (
        WATCHERS_PER_DOMAIN
        if WATCHERS_PER_DOMAIN * len(domains) <= MAX_PAIRED_WATCHERS
        else 1
    )


class FeedPeers:
    """The other live nodes by failure domain, and whether this node watches."""

    def __init__(
        self,
        *,
        node_name: str,
        failure_domain: str,
        directory: Directory,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Creates the view of a node that starts now.

        Args:
          node_name: name of this node.
          failure_domain: failure domain of this node.
          directory: the known members.
          clock: the clock.
          rng: random source for shuffling.
        """
        self._node_name = node_name
        self._failure_domain = failure_domain
        self._directory = directory
        self._clock = clock
        self._rng = rng
        self._started_at = clock.monotonic()

    def local(self) -> Sequence[Member]:
        """Returns the other nodes of the own failure domain, shuffled."""
        return self._select(is_local=True)

    def remote(self) -> Sequence[Member]:
        """Returns the nodes of other failure domains, shuffled."""
        return self._select(is_local=False)

    def update_sources(self, own_version: int) -> list[Member]:
        """Returns the nodes to request an update from, in order.

        Nodes known to have a newer version come first. A watcher requests it
        from any failure domain, and pushes it to its own; the other nodes turn
        to their own failure domain first, so that a node that alone has a
        version is not called by all.

        Args:
          own_version: version of the routes in force here.
        """
        local, remote = self.local(), self.remote()
        ahead = [
            [m for m in members if m.config_revision > own_version]
            for members in (local, remote)
        ]
        if self.is_watcher():
            preferred = [*ahead[0][:2], *ahead[1][:2]]
        else:
            preferred = ahead[0][:3]
        others = [*local[:3], *ahead[1][:1], *remote[:2]]
        return list(dict.fromkeys([*preferred, *others]))

    def is_watcher(self) -> bool:
        """Returns whether this node should watch the store."""
        names = [m.name for m in self._others() if self._is_local(m)]
        if (
            not names
            and self._clock.monotonic() - self._started_at < LONE_NODE_GRACE_S
        ):
            return False
        return ranks_among_first(self._node_name, names, self._watcher_count())

    def push_recipients(self) -> list[Member]:
        """Returns the local nodes to which this watcher pushes new versions.

        The watchers of a failure domain divide its nodes among themselves.
        """
        local = self.local()
        watchers = self._watcher_count()
        own_rank = hash_rank(self._node_name)
        index = sum(hash_rank(m.name) < own_rank for m in local) % watchers
        return [m for m in local if hash_rank(m.name) % watchers == index]

    def _watcher_count(self) -> int:
        """Returns how many nodes of each failure domain watch the store."""
        return watchers_per_domain(self._directory.members())

    def _select(self, *, is_local: bool) -> Sequence[Member]:
        members = [m for m in self._others() if self._is_local(m) is is_local]
        self._rng.shuffle(members)
        return members

    def _others(self) -> Iterator[Member]:
        for member in self._directory.members():
            if member.state is MemberState.DEAD:
                continue
            if member.name != self._node_name:
                yield member

    def _is_local(self, member: Member) -> bool:
        return member.failure_domain == self._failure_domain
