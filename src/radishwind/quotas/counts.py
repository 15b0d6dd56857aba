"""Counts requests by account, for the metrics."""

from collections.abc import Mapping

#: Accounts told by name, the largest by use; the rest are told as one.
_TOLD = 16

#: Accounts counted apart; further ones are counted together.
_COUNTED = 4096

#: Stands for the accounts that are not told by name.
REST = "other"


class AccountCounts:
    """How many requests of each account were let in and refused."""

    def __init__(self) -> None:
        self._admitted: dict[str, int] = {}
        self._refused: dict[str, int] = {}

    def admitted(self, account: str) -> None:
        """Counts a request that was let in."""
        _count(self._admitted, account)

    def refused(self, account: str) -> None:
        """Counts a request that was refused."""
        _count(self._refused, account)

    def by_outcome(self) -> Mapping[tuple[str, str], int]:
        """Returns the counts by account and outcome, bounded in number."""
        used: dict[str, int] = {}
        for counts in (self._admitted, self._refused):
            for account, count in counts.items():
                used[account] = used.get(account, 0) + count
        largest = set(sorted(used, key=lambda a: (-used[a], a))[:_TOLD])
        told: dict[tuple[str, str], int] = {}
        for outcome, counts in (
            ("admitted", self._admitted),
            ("refused", self._refused),
        ):
            for account, count in counts.items():
                key = (account if account in largest else REST, outcome)
                told[key] = told.get(key, 0) + count
        return told


def _count(counts: dict[str, int], account: str) -> None:
    if account not in counts and len(counts) >= _COUNTED:
        account = REST
    counts[account] = counts.get(account, 0) + 1
