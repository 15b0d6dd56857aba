"""Counts of requests by account, for the metrics."""

from collections.abc import Mapping

#: Accounts that get their own metric label, those with the most requests first;
#: the rest are reported as one.
_MAX_REPORTED_ACCOUNTS = 16

#: Accounts counted separately; further ones are counted together.
_MAX_COUNTED_ACCOUNTS = 4096

#: Metric label of the accounts that are reported as one.
OTHER_ACCOUNTS = "other"


class AccountCounts:
    """Numbers of admitted and refused requests of each account."""

    def __init__(self) -> None:
        self._admitted: dict[str, int] = {}
        self._refused: dict[str, int] = {}

    def admitted(self, account: str) -> None:
        """Counts an admitted request."""
        _increment(self._admitted, account)

    def refused(self, account: str) -> None:
        """Counts a refused request."""
        _increment(self._refused, account)

    def by_outcome(self) -> Mapping[tuple[str, str], int]:
        """Returns the counts by account and outcome, bounded in number."""
        totals: dict[str, int] = {}
        for counts in (self._admitted, self._refused):
            for account, count in counts.items():
                totals[account] = totals.get(account, 0) + count
        largest = set(
            sorted(totals, key=lambda a: (-totals[a], a))[
                :_MAX_REPORTED_ACCOUNTS
            ]
        )
        reported: dict[tuple[str, str], int] = {}
        for outcome, counts in (
            ("admitted", self._admitted),
            ("refused", self._refused),
        ):
            for account, count in counts.items():
                key = (
                    account if account in largest else OTHER_ACCOUNTS,
                    outcome,
                )
                reported[key] = reported.get(key, 0) + count
        return reported


def _increment(counts: dict[str, int], account: str) -> None:
    if account not in counts and len(counts) >= _MAX_COUNTED_ACCOUNTS:
        account = OTHER_ACCOUNTS
    counts[account] = counts.get(account, 0) + 1
