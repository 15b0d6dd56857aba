"""Decides which nodes are told the load of the own target.

Telling every node costs messages by the square of their number. So where there
are more than a few, only those are told that sent this target work lately:
they choose by its load, and the first answer told them what it is.
"""

from collections.abc import Iterable

from radishwind.http.types import Address
from radishwind.membership.directory import Member

#: Nodes of the own failure domain are all told while there are no more than
#: this: what each of them receives grows with their number.
ALL_NEAR = 32

#: The same of other failure domains: so many stay within the 10 KB/s that
#: control may cost a node.
ALL_FAR = 12

#: A node that sent work is told for so long (s): ten changes of pace, so that
#: a choice soon after meets a fresh report. With 84 nodes a day of 64 s sent
#: 0.037 GB between domains in all, where telling all cost 0.13 GB in 33 s.
KEPT_S = 2.0

#: Nodes told beyond those; the one that sent work longest ago goes first.
MOST_ASKERS = 256


class ReportRecipients:
    """The nodes to be told: near ones, and those that sent work lately."""

    def __init__(self, node_name: str, failure_domain: str) -> None:
        """Knows no other nodes yet.

        Args:
          node_name: of this node.
          failure_domain: where it stands.
        """
        self._node_name = node_name
        self._failure_domain = failure_domain
        self._near: dict[str, Address] = {}
        self._far: dict[str, Address] = {}
        # When work came last from a host (monotonic s), the oldest first.
        self._asked: dict[str, float] = {}

    def set_members(self, members: Iterable[Member]) -> None:
        """Takes which nodes there are that may be told."""
        self._near.clear()
        self._far.clear()
        for member in members:
            if member.name == self._node_name:
                continue
            is_near = member.failure_domain == self._failure_domain
            nodes = self._near if is_near else self._far
            nodes[member.address.host] = member.address

    def record_request_from(self, host: str, now: float) -> None:
        """Takes that the node at `host` sent work at `now` (monotonic s)."""
        self._asked.pop(host, None)
        self._asked[host] = now
        if len(self._asked) > MOST_ASKERS:
            del self._asked[next(iter(self._asked))]

    def local(self, now: float) -> tuple[Address, ...]:
        """Returns the nodes of the own failure domain to be told."""
        if self.reports_to_all_local():
            return tuple(self._near.values())
        return self._askers(self._near, now)

    def remote(self, now: float) -> tuple[Address, ...]:
        """Returns the nodes of other failure domains to be told."""
        if len(self._far) <= ALL_FAR:
            return tuple(self._far.values())
        return self._askers(self._far, now)

    def reports_to_all_local(self) -> bool:
        """Returns whether every node of the own failure domain is told."""
        return len(self._near) <= ALL_NEAR

    def reports_unsolicited(self, failure_domain: str) -> bool:
        """Returns whether nodes of a failure domain tell those of this one all.

        The nodes there know about as many others as this one does, so that
        their silence means something where this holds.
        """
        if failure_domain == self._failure_domain:
            return self.reports_to_all_local()
        return len(self._far) <= ALL_FAR

    def _askers(
        self, nodes: dict[str, Address], now: float
    ) -> tuple[Address, ...]:
        self._forget(now)
        return tuple(nodes[host] for host in self._asked if host in nodes)

    def _forget(self, now: float) -> None:
        while self._asked:
            host = next(iter(self._asked))
            if now - self._asked[host] <= KEPT_S:
                return
            del self._asked[host]
