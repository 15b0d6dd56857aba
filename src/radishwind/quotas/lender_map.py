"""Assigns each account to the node that lends its quota."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

import xxhash

#: Cached assignments of accounts; the cache is emptied when full.
_MAX_CACHED_LENDERS = 4096

#: Changes of the nodes that are remembered.
_MAX_CHANGES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """A time during which one node lent an account.

    Attributes:
      lender: name of the node; empty if it is unknown.
      since: when it began (monotonic, s).
      was_lost: whether it began as another node was lost, which may have lent
        for a while longer.
    """

    lender: str
    since: float
    was_lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """A change of the live nodes.

    Attributes:
      at: when it happened (monotonic, s).
      before: names of the nodes before.
      has_loss: whether a node was lost without announcing that it leaves.
    """

    at: float
    before: frozenset[str]
    has_loss: bool


class LenderMap:
    """Known nodes, and the lender of each account among them.

    Attributes:
      own_name: name of this node.
      live: names of nodes that are presumed reachable; includes this node
        unless it is leaving.
      known_count: number of nodes that may lend, unreachable ones included.
      changed_at: when a node last appeared or disappeared (monotonic, s).
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
        self._lenders: dict[str, str] = {}
        self._changes: collections.deque[_Change] = collections.deque()
        # Changes before this time are not remembered.
        self._remembered_since = now
        self._remembers_start = True

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
          known: number of nodes that may lend, including those believed dead
            and without those that leave.
          now: monotonic time (s).
        """
        names = frozenset(live) or frozenset((self.own_name,))
        lost = max(0, known - len(names)) > self.known_count - len(self.live)
        self.known_count = max(known, len(names))
        self.discovered_at(now)
        if names == self.live:
            return
        added, removed = names - self.live, self.live - names
        self._remember(_Change(now, self.live, lost))
        self.live = names
        self.changed_at = now
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
            found = self._lenders[account] = _first_of(self.live, account)
        return found

    def tenures(self, account: str) -> Iterator[Tenure]:
        """Yields who lent `account`, the present lender first.

        The last one is the lender before this process started, or has no name
        if that can't be known.
        """
        lender = self.lender_of(account)
        for change in reversed(self._changes):
            before = _first_of(change.before, account)
            if before != lender:
                yield Tenure(lender, change.at, change.has_loss)
                lender = before
        yield Tenure(lender, self._remembered_since)
        others = self.live - {self.own_name}
        if lender == self.own_name and self._remembers_start and others:
            yield Tenure(_first_of(others, account), -float("inf"))
        else:
            yield Tenure("", -float("inf"))

    def _remember(self, change: _Change) -> None:
        self._changes.append(change)
        if len(self._changes) > _MAX_CHANGES:
            self._remembered_since = self._changes.popleft().at
            self._remembers_start = False

    def _reassign(self, added: frozenset[str], removed: frozenset[str]) -> None:
        """Updates the cached assignments after a change of the nodes."""
        for account, lender in list(self._lenders.items()):
            if lender in removed:
                del self._lenders[account]
                continue
            self._lenders[account] = _first_of((lender, *added), account)


def _first_of(nodes: Iterable[str], account: str) -> str:
    """Returns the node that ranks first for `account`."""
    return max(nodes, key=lambda name: (_rank(name, account), name))


def _rank(node: str, account: str) -> int:
    return xxhash.xxh64_intdigest(f"{node}\0{account}".encode())
