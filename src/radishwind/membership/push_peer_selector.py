"""Chooses whom a new fact is pushed to."""

import random

from radishwind.membership.gossip_options import GossipOptions
from radishwind.membership.membership_table import MembershipTable
from radishwind.membership.records import MemberRecord


class PushPeerSelector:
    """Near members, and at times a far one.

    Bytes between failure domains have their price, so that all nodes of a
    domain together push a fact to a few far members only. Probes and
    anti-entropy carry it on where that misses somebody.
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

    def choose(self, domain: str) -> list[MemberRecord]:
        """Returns whom one push goes to.

        Args:
          domain: the failure domain of this node.
        """
        wanted = self._options.fanout - 1
        peers = self._sample(domain, wanted, near=True)
        far = wanted - len(peers)
        share = self._options.cross_domain_pushes / max(
            1, self._table.live_by_domain[domain]
        )
        if self._rng.random() < share:
            far += 1
        return peers + self._sample(domain, far, near=False)

    def _sample(
        self, domain: str, count: int, *, near: bool
    ) -> list[MemberRecord]:
        return self._table.sample(
            self._rng,
            count,
            self._exclude,
            lambda fact: (fact.failure_domain == domain) is near,
        )
