"""Selects the peers to which new updates are pushed."""

import random

from radishwind.membership.gossip_options import GossipOptions
from radishwind.membership.membership_table import MembershipTable
from radishwind.membership.records import MemberRecord


class PushPeerSelector:
    """Selects peers of the own failure domain and occasionally of others.

    Traffic between failure domains is charged for, so all nodes of a domain
    together push an update to only a few members of other domains. Probes and
    anti-entropy carry it to the members that were missed.
    """

    def __init__(
        self,
        name: str,
        table: MembershipTable,
        options: GossipOptions,
        rng: random.Random,
    ) -> None:
        self._exclude = frozenset((name,))
        self._table = table
        self._options = options
        self._rng = rng

    def select(self, domain: str) -> list[MemberRecord]:
        """Returns the peers of one push.

        Args:
          domain: the failure domain of this node.
        """
        wanted = self._options.fanout - 1
        peers = self._sample(domain, wanted, same_domain=True)
        cross_domain = wanted - len(peers)
        probability = self._options.cross_domain_pushes / max(
            1, self._table.live_by_domain[domain]
        )
        if self._rng.random() < probability:
            cross_domain += 1
        return peers + self._sample(domain, cross_domain, same_domain=False)

    def _sample(
        self, domain: str, count: int, *, same_domain: bool
    ) -> list[MemberRecord]:
        return self._table.sample(
            self._rng,
            count,
            self._exclude,
            lambda record: (record.failure_domain == domain) is same_domain,
        )
