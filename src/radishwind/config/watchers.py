"""Selects the nodes of a failure domain that watch the store."""

from collections.abc import Iterable

from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.membership.ranking import ranks_among_first

#: Two, so that one may be restarted without effect; more only cost store calls.
WATCHERS_PER_DOMAIN = 2

#: Nodes of a failure domain, watchers included, that read the store regularly.
CONFIRMERS_PER_DOMAIN = 4


def is_watcher(
    own_name: str,
    failure_domain: str,
    members: Iterable[Member],
    count: int = WATCHERS_PER_DOMAIN,
) -> bool:
    """Returns whether this node is one of the watchers of its failure domain.

    Nodes are ranked by a hash of their name, so that the load does not depend
    on the service. If nodes see different members, too many of them may watch,
    or for a moment none; this costs a store call, or a delay until the slow
    poll, and nothing else. A node that knows no other nodes watches.

    Args:
      own_name: name of this node.
      failure_domain: failure domain of this node.
      members: known members, with or without this node.
      count: number of watchers.
    """
    names = {
        member.name
        for member in members
        if member.failure_domain == failure_domain
        and member.state is MemberState.ALIVE
    }
    return ranks_among_first(own_name, names, count)
