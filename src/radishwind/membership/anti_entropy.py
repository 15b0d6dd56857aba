"""Anti-entropy: what two tables tell each other so that they become equal."""

from collections.abc import Iterable

from radishwind.membership.membership_table import MembershipTable
from radishwind.membership.messages import GroupDigests
from radishwind.membership.messages import SyncGroups
from radishwind.membership.messages import SyncLeaves
from radishwind.membership.messages import SyncNewer
from radishwind.membership.messages import SyncPage
from radishwind.membership.records import is_newer_member
from radishwind.membership.records import is_newer_rumor
from radishwind.membership.records import MemberRecord
from radishwind.membership.records import Rumor

#: Groups told in one answer, so that it stays within a message.
_MAX_GROUPS_TOLD = 16


class AntiEntropy:
    """Makes and answers the messages of anti-entropy.

    The side that opened it keeps which leaves are still to be exchanged.
    """

    def __init__(
        self,
        own_name: str,
        table: MembershipTable,
        page_payload_bytes: int,
        max_pages: int,
    ) -> None:
        """Makes a syncer.

        Args:
          own_name: the name of this node.
          table: the facts to make equal.
          page_payload_bytes: facts carried by one page (bytes).
          max_pages: pages sent at most after one opening.
        """
        self._own_name = own_name
        self._table = table
        self._page_bytes = page_payload_bytes
        self._max_pages = max_pages
        self._pages_left = 0
        self._wanted: tuple[int, ...] = ()

    @property
    def differs(self) -> bool:
        """Whether leaves are left in which the tables differ."""
        return bool(self._wanted)

    def open(self, revision: int) -> SyncGroups:
        """Returns the message that opens anti-entropy."""
        groups = self._table.digests.group_digests()
        return SyncGroups(self._own_name, revision, (), (), groups)

    def answer_groups(self, message: SyncGroups, revision: int) -> SyncLeaves:
        """Returns the leaves of some of the groups that differ."""
        digests = self._table.digests
        groups = digests.differing_groups(message.group_digests)
        # Not always the first ones, so that many who ask at once differ.
        start = len(message.sender) % max(1, len(groups))
        turned = groups[start:] + groups[:start]
        told = [
            GroupDigests(group, digests.leaf_digests(group))
            for group in turned[:_MAX_GROUPS_TOLD]
        ]
        return SyncLeaves(self._own_name, revision, (), (), tuple(told))

    def start_pages(self, message: SyncLeaves) -> None:
        """Notes the leaves in which the tables differ, to be exchanged."""
        digests = self._table.digests
        leaves: list[int] = []
        for item in message.differing_groups:
            leaves += digests.differing_leaves(item.group, item.leaf_digests)
        self._wanted = tuple(leaves)
        self._pages_left = self._max_pages

    def note_covered(self, message: SyncNewer) -> None:
        """Notes the leaves that a page and its answer have exchanged."""
        done = frozenset(message.covered_leaves)
        self._wanted = tuple(n for n in self._wanted if n not in done)

    def give_up(self) -> None:
        """Forgets the leaves left; the next opening finds them again."""
        self._wanted = ()

    def next_page(self, revision: int, now: float) -> SyncPage | None:
        """Returns a page with the own facts of as many leaves as fit.

        `None` where no leaf is left or the bound of pages is reached.
        """
        if not self._wanted or self._pages_left == 0:
            return None
        self._pages_left -= 1
        fitting, members, rumors = self._facts_that_fit(self._wanted, now)
        return SyncPage(
            self._own_name, revision, tuple(members), tuple(rumors), fitting
        )

    def answer_page(
        self, page: SyncPage, revision: int, now: float
    ) -> SyncNewer:
        """Returns the facts of the leaves of `page` that are newer here."""
        covered, members, rumors = self._facts_that_fit(page.leaves, now)
        their_members = {fact.name: fact for fact in page.members}
        their_rumors = {(f.topic, f.key): f for f in page.rumors}
        newer_members = tuple(
            fact
            for fact in members
            if _news(fact, their_members.get(fact.name))
        )
        newer_rumors = tuple(
            fact
            for fact in rumors
            if _rumor_news(fact, their_rumors.get((fact.topic, fact.key)))
        )
        return SyncNewer(
            self._own_name, revision, newer_members, newer_rumors, covered
        )

    def _facts_that_fit(
        self, leaves: tuple[int, ...], now: float
    ) -> tuple[tuple[int, ...], list[MemberRecord], list[Rumor]]:
        """Returns the first leaves whose facts fit a page, and the facts."""
        by_leaf: dict[int, list[MemberRecord | Rumor]] = {}
        wanted = frozenset(leaves)
        for leaf, fact in self._table.entries_in_leaves(wanted, now):
            by_leaf.setdefault(leaf, []).append(fact)
        fitting: list[int] = []
        facts: list[MemberRecord | Rumor] = []
        size = 0
        for leaf in dict.fromkeys(leaves):
            held = by_leaf.get(leaf, [])
            size += _size(held)
            if size > self._page_bytes and fitting:
                break
            fitting.append(leaf)
            facts += held
        members = [f for f in facts if isinstance(f, MemberRecord)]
        rumors = [f for f in facts if isinstance(f, Rumor)]
        return tuple(fitting), members, rumors


def _size(facts: Iterable[MemberRecord | Rumor]) -> int:
    return sum(fact.estimated_bytes() for fact in facts)


def _news(fact: MemberRecord, theirs: MemberRecord | None) -> bool:
    if theirs is None:
        return not fact.is_gone
    return is_newer_member(fact, theirs)


def _rumor_news(fact: Rumor, theirs: Rumor | None) -> bool:
    return theirs is None or is_newer_rumor(fact, theirs)
