"""Which nodes of a failure domain keep a watch on the store."""

from collections.abc import Iterable

from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.membership.ranking import ranks_among_first

#: Two, so that one may be restarted unnoticed; more only cost store calls.
WATCHERS_PER_DOMAIN = 2


def is_watcher(
    own_name: str,
    failure_domain: str,
    members: Iterable[Member],
    count: int = WATCHERS_PER_DOMAIN,
) -> bool:
    """Returns whether this node is among the first of its failure domain.

    Nodes are ranked by a hash of their name, so that the work falls on no
    service more than on another. Nodes that see different members may both
    watch, or for a moment none: that costs a call, or the wait for the slow
    poll, and nothing else. A node that knows nobody watches by itself.

    Args:
      own_name: this node's name.
      failure_domain: where it stands.
      members: the members known, this node among them or not.
      count: how many watch.
    """
    names = {
        member.name
        for member in members
        if member.failure_domain == failure_domain
        and member.state is MemberState.ALIVE
    }
    return ranks_among_first(own_name, names, count)
