"""Which node lends what: the nodes there are, ranked by hash an account."""

from collections.abc import Callable
from collections.abc import Iterable

import xxhash

#: Lenders remembered; all are found anew when the nodes change.
_REMEMBERED = 4096


class LenderMap:
    """The nodes that a node knows, and who of them lends.

    Attributes:
      own_name: the name of this node.
      live: those that may be in touch; this one among them unless it leaves.
      known_count: how many there may be at all, those out of touch among them.
      changed_at: when one came or went last (monotonic s).
      lost_at: when one was lost that did not say that it leaves (monotonic s).
    """

    def __init__(
        self, own: str, now: float, is_alone: Callable[[], bool]
    ) -> None:
        """Makes a lender_map of one node that knows nobody yet.

        Args:
          own: the name of this node.
          now: monotonic time (s).
          is_alone: returns whether there is proof that no other node is there;
            that none was heard of is no proof.
        """
        self.own_name = own
        self._is_alone = is_alone
        self._discovered_at: float | None = None
        self.live: frozenset[str] = frozenset((own,))
        self.known_count = 1
        self.changed_at = now
        self.lost_at = -float("inf")
        self._lenders: dict[str, str] = {}

    @property
    def reachable_fraction(self) -> float:
        """The part of all nodes that is in touch with this one."""
        return len(self.live) / self.known_count

    def discovered_at(self, now: float) -> float | None:
        """Returns since when it is known who else there is (monotonic s).

        Args:
          now: monotonic time (s).

        Returns:
          When another node was heard of first, or it was proved that there is
          none; `None` before.
        """
        if self._discovered_at is None and (
            self.known_count > 1 or self._is_alone()
        ):
            self._discovered_at = now
        return self._discovered_at

    def update_members(
        self, live: Iterable[str], known: int, now: float
    ) -> None:
        """Takes the nodes there are.

        Args:
          live: the names of those that may be in touch and do not leave.
          known: how many there may be, those believed dead among them.
          now: monotonic time (s).
        """
        names = frozenset(live) or frozenset((self.own_name,))
        lost = max(0, known - len(names)) > self.known_count - len(self.live)
        self.known_count = max(known, len(names))
        self.discovered_at(now)
        if names == self.live:
            return
        came, went = names - self.live, self.live - names
        self.live = names
        self.changed_at = now
        if lost:
            self.lost_at = now
        self._move(came, went)

    def lender_of(self, account: str) -> str:
        """Returns the node that lends requests of `account`.

        Each node has its own rank for each account (rendezvous hashing), so
        that a node that comes or goes moves its own accounts only.
        """
        found = self._lenders.get(account)
        if found is None:
            if len(self._lenders) >= _REMEMBERED:
                self._lenders.clear()
            found = max(
                self.live, key=lambda name: (_rank(name, account), name)
            )
            self._lenders[account] = found
        return found

    def _move(self, came: frozenset[str], went: frozenset[str]) -> None:
        """Follows a change for the accounts that were asked for."""
        for account, lender in list(self._lenders.items()):
            if lender in went:
                del self._lenders[account]
                continue
            self._lenders[account] = max(
                (lender, *came), key=lambda name: (_rank(name, account), name)
            )


def _rank(node: str, account: str) -> int:
    return xxhash.xxh64_intdigest(f"{node}\0{account}".encode())
