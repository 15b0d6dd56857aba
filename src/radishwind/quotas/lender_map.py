"""Assigns each account to the node that lends its quota."""

from collections.abc import Callable
from collections.abc import Iterable

import xxhash

#: Cached assignments of accounts; the cache is emptied when full.
_MAX_CACHED_LENDERS = 4096


class LenderMap:
    """Known nodes, and the lender of each account among them.

    Attributes:
      own_name: name of this node.
      live: names of nodes that are presumed reachable; includes this node
        unless it is leaving.
      known_count: number of nodes that may exist, unreachable ones included.
      changed_at: when a node last appeared or disappeared (monotonic, s).
      lost_at: when a node last disappeared without announcing that it leaves
        (monotonic, s).
    """

    def __init__(
        self, own_name: str, now: float, is_alone: Callable[[], bool]
    ) -> None:
        """Creates a map that contains this node only.

        Args:
          own_name: name of this node.
          now: monotonic time (s).
          is_alone: returns whether it is proven that no other node exists.
            Having heard of none is no proof.
        """
        self.own_name = own_name
        self._is_alone = is_alone
        self._discovered_at: float | None = None
        self.live: frozenset[str] = frozenset((own_name,))
        self.known_count = 1
        self.changed_at = now
        self.lost_at = -float("inf")
        self._lenders: dict[str, str] = {}

    @property
    def reachable_fraction(self) -> float:
        """Fraction of all known nodes that is presumed reachable."""
        return len(self.live) / self.known_count

    def discovered_at(self, now: float) -> float | None:
        """Returns since when the other nodes are known (monotonic, s).

        Args:
          now: monotonic time (s).

        Returns:
          When this node first heard of another one, or found it proven that
          there is none; `None` if neither has happened yet.
        """
        if self._discovered_at is None and (
            self.known_count > 1 or self._is_alone()
        ):
            self._discovered_at = now
        return self._discovered_at

    def update_members(
        self, live: Iterable[str], known: int, now: float
    ) -> None:
        """Replaces the set of nodes.

        Args:
          live: names of the nodes that are presumed reachable and not leaving.
          known: number of nodes that may exist, including those believed dead.
          now: monotonic time (s).
        """
        names = frozenset(live) or frozenset((self.own_name,))
        lost = max(0, known - len(names)) > self.known_count - len(self.live)
        self.known_count = max(known, len(names))
        self.discovered_at(now)
        if names == self.live:
            return
        added, removed = names - self.live, self.live - names
        self.live = names
        self.changed_at = now
        if lost:
            self.lost_at = now
        self._reassign(added, removed)

    def lender_of(self, account: str) -> str:
        """Returns the name of the node that lends the quota of `account`.

        Rendezvous hashing: each node has its own rank for each account, so a
        node that joins or leaves moves only the accounts assigned to it.
        """
        found = self._lenders.get(account)
        if found is None:
            if len(self._lenders) >= _MAX_CACHED_LENDERS:
                self._lenders.clear()
            found = max(
                self.live, key=lambda name: (_rank(name, account), name)
            )
            self._lenders[account] = found
        return found

    def _reassign(self, added: frozenset[str], removed: frozenset[str]) -> None:
        """Updates the cached assignments after a change of the nodes."""
        for account, lender in list(self._lenders.items()):
            if lender in removed:
                del self._lenders[account]
                continue
            self._lenders[account] = max(
                (lender, *added), key=lambda name: (_rank(name, account), name)
            )


def _rank(node: str, account: str) -> int:
    return xxhash.xxh64_intdigest(f"{node}\0{account}".encode())
