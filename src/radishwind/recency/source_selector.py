"""Selects the nodes that a node queries for proofs, and orders all nodes."""

import itertools
import random

import msgspec

from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.membership.ranking import hash_rank
from radishwind.routes.feed_peers import watchers_per_domain

#: The nodes that read the store first; relays query them before others.
_READER_COUNT = 2

#: Nodes queried in one round: a relay of the same failure domain, several
#: relays of others, and some at random.
_MAX_CANDIDATES = 9

_GONE_STATES = (MemberState.DEAD, MemberState.LEAVING)


class SourceSelection(msgspec.Struct, frozen=True):
    """Position of a node among those that it knows, and whom it may query.

    Attributes:
      position: position in the order in which nodes read the store, from 0.
      is_relay: whether other nodes of its failure domain query it first.
      candidates: the nodes to query, most promising first.
    """

    position: int
    is_relay: bool
    candidates: tuple[Member, ...]


class SourceSelector:
    """Orders the nodes, the same way at all nodes that know the same ones.

    The first node of each failure domain precedes the second of any, so that
    the next node in the order is in another domain than the one that failed.
    """

    def __init__(
        self,
        node_name: str,
        failure_domain: str,
        directory: Directory,
        rng: random.Random,
    ) -> None:
        """Creates the selector of a node.

        Args:
          node_name: name of this node.
          failure_domain: failure domain of this node.
          directory: the known nodes.
          rng: random source that shuffles equivalent candidates.
        """
        self._node_name = node_name
        self._failure_domain = failure_domain
        self._directory = directory
        self._rng = rng

    def select(self, preferred: str = "") -> SourceSelection:
        """Returns the present position and candidates of this node.

        Args:
          preferred: name of the node that last sent a useful proof; it becomes
            the first candidate.
        """
        members = self._directory.members()
        live = {
            member.name: member
            for member in members
            if member.state not in _GONE_STATES
            and member.name != self._node_name
        }
        locations = [(m.failure_domain, name) for name, m in live.items()]
        order = _interleave(
            [*locations, (self._failure_domain, self._node_name)]
        )
        names = [name for _, name in order]
        relays_per_domain = watchers_per_domain(members)
        is_relay = False
        remote_relays, local_relays, others = [], [], []
        for index, name in order:
            if name == self._node_name:
                is_relay = index < relays_per_domain
            elif index >= relays_per_domain:
                others.append(name)
            elif live[name].failure_domain == self._failure_domain:
                local_relays.append(name)
            else:
                remote_relays.append(name)
        readers = [n for n in names[: _READER_COUNT + 1] if n in live][
            :_READER_COUNT
        ]
        for group in (local_relays, remote_relays, others):
            self._rng.shuffle(group)
        promising = [*local_relays, *readers]
        if is_relay:
            promising = [*readers, *local_relays]
        first = [preferred] if preferred in live else []
        ordered = dict.fromkeys(
            [*first, *promising, *remote_relays[:3], *others]
        )
        return SourceSelection(
            names.index(self._node_name),
            is_relay,
            tuple(live[n] for n in itertools.islice(ordered, _MAX_CANDIDATES)),
        )


def _interleave(locations: list[tuple[str, str]]) -> list[tuple[int, str]]:
    """Returns each node's index in its failure domain and its name, in order.

    The order is by index first, so it alternates between failure domains.

    Args:
      locations: failure domains and names of the nodes.
    """
    counts: dict[str, int] = {}
    indexed: list[tuple[int, int, str]] = []
    for ranked, name, domain in sorted(
        (hash_rank(n), n, d) for d, n in locations
    ):
        index = counts.get(domain, 0)
        counts[domain] = index + 1
        indexed.append((index, ranked, name))
    return [(index, name) for index, _, name in sorted(indexed)]
