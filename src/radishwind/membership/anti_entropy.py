"""Anti-entropy: two nodes compare digests and exchange what differs."""

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

#: Groups whose leaf digests one reply carries, so that it fits a message.
_MAX_GROUPS_PER_REPLY = 16


class AntiEntropy:
    """Creates the messages of anti-entropy and the replies to them.

    The initiator tracks which leaves remain to be exchanged.
    """

    def __init__(
        self,
        own_name: str,
        table: MembershipTable,
        page_payload_bytes: int,
        max_pages: int,
    ) -> None:
        """Initializes anti-entropy with no round in progress.

        Args:
          own_name: name of this node.
          table: table to synchronize.
          page_payload_bytes: bound on the entries in one page (bytes).
          max_pages: maximum number of pages in one round.
        """
        self._own_name = own_name
        self._table = table
        self._page_payload_bytes = page_payload_bytes
        self._max_pages = max_pages
        self._pages_left = 0
        self._differing_leaves: tuple[int, ...] = ()

    @property
    def has_differences(self) -> bool:
        """Whether differing leaves remain to be exchanged."""
        return bool(self._differing_leaves)

    def first_message(self, config_revision: int) -> SyncGroups:
        """Returns the message that starts a round."""
        group_digests = self._table.digests.group_digests()
        return SyncGroups(
            self._own_name, config_revision, (), (), group_digests
        )

    def reply_to_groups(
        self, message: SyncGroups, config_revision: int
    ) -> SyncLeaves:
        """Returns the leaf digests of some of the differing groups."""
        digests = self._table.digests
        groups = digests.differing_groups(message.group_digests)
        # Starts at a varying group, so that nodes that ask at the same time
        # are sent different groups.
        start = len(message.sender) % max(1, len(groups))
        rotated = groups[start:] + groups[:start]
        differing = [
            GroupDigests(group, digests.leaf_digests(group))
            for group in rotated[:_MAX_GROUPS_PER_REPLY]
        ]
        return SyncLeaves(
            self._own_name, config_revision, (), (), tuple(differing)
        )

    def start_pages(self, message: SyncLeaves) -> None:
        """Records the leaves in which the two tables differ."""
        digests = self._table.digests
        leaves: list[int] = []
        for item in message.differing_groups:
            leaves += digests.differing_leaves(item.group, item.leaf_digests)
        self._differing_leaves = tuple(leaves)
        self._pages_left = self._max_pages

    def finish_page(self, message: SyncNewer) -> None:
        """Drops the leaves that a page and its reply have exchanged."""
        exchanged = frozenset(message.covered_leaves)
        self._differing_leaves = tuple(
            n for n in self._differing_leaves if n not in exchanged
        )

    def abort(self) -> None:
        """Drops the remaining leaves; the next round finds them again."""
        self._differing_leaves = ()

    def next_page(self, config_revision: int, now: float) -> SyncPage | None:
        """Returns a page with this node's entries of as many leaves as fit.

        Returns:
          The page; `None` if no leaf remains or this round has sent
          `max_pages`.
        """
        if not self._differing_leaves or self._pages_left == 0:
            return None
        self._pages_left -= 1
        fitting, members, rumors = self._entries_that_fit(
            self._differing_leaves, now
        )
        return SyncPage(
            self._own_name,
            config_revision,
            tuple(members),
            tuple(rumors),
            fitting,
        )

    def reply_to_page(
        self, page: SyncPage, config_revision: int, now: float
    ) -> SyncNewer:
        """Returns the entries of the leaves of `page` that are newer here."""
        covered, members, rumors = self._entries_that_fit(page.leaves, now)
        remote_members = {m.name: m for m in page.members}
        remote_rumors = {(r.topic, r.key): r for r in page.rumors}
        newer_members = tuple(
            member
            for member in members
            if _is_member_wanted(member, remote_members.get(member.name))
        )
        newer_rumors = tuple(
            rumor
            for rumor in rumors
            if _is_rumor_wanted(
                rumor, remote_rumors.get((rumor.topic, rumor.key))
            )
        )
        return SyncNewer(
            self._own_name,
            config_revision,
            newer_members,
            newer_rumors,
            covered,
        )

    def _entries_that_fit(
        self, leaves: tuple[int, ...], now: float
    ) -> tuple[tuple[int, ...], list[MemberRecord], list[Rumor]]:
        """Returns the first leaves that fit a page, and their entries."""
        by_leaf: dict[int, list[MemberRecord | Rumor]] = {}
        wanted = frozenset(leaves)
        for leaf, entry in self._table.entries_in_leaves(wanted, now):
            by_leaf.setdefault(leaf, []).append(entry)
        fitting: list[int] = []
        entries: list[MemberRecord | Rumor] = []
        size = 0
        for leaf in dict.fromkeys(leaves):
            held = by_leaf.get(leaf, [])
            size += _estimated_bytes(held)
            if size > self._page_payload_bytes and fitting:
                break
            fitting.append(leaf)
            entries += held
        members = [e for e in entries if isinstance(e, MemberRecord)]
        rumors = [e for e in entries if isinstance(e, Rumor)]
        return tuple(fitting), members, rumors


def _estimated_bytes(entries: Iterable[MemberRecord | Rumor]) -> int:
    return sum(entry.estimated_bytes() for entry in entries)


def _is_member_wanted(
    member: MemberRecord, remote: MemberRecord | None
) -> bool:
    if remote is None:
        return not member.is_gone
    return is_newer_member(member, remote)


def _is_rumor_wanted(rumor: Rumor, remote: Rumor | None) -> bool:
    return remote is None or is_newer_rumor(rumor, remote)
