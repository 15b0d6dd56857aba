"""Index of the accounts of one configuration version."""

from collections.abc import Iterable
from collections.abc import Mapping
import types

from radishwind.accounts.model import Account
from radishwind.accounts.model import digest_key

#: Longer keys are rejected unread, so that callers cannot make a node compute
#: digests of large inputs.
MAX_KEY_CHARS = 512


class AccountIndex:
    """Finds accounts by name and by key; a look-up computes one digest."""

    def __init__(self, accounts: Iterable[Account] = ()) -> None:
        self._accounts = {account.name: account for account in accounts}
        self._by_digest: dict[bytes, Account | None] = {}
        for account in self._accounts.values():
            for digest in account.key_digests:
                # A key of several accounts identifies none of them.
                is_shared = digest in self._by_digest
                self._by_digest[digest] = None if is_shared else account

    @property
    def has_accounts(self) -> bool:
        """Whether there are accounts, so that requests need a key."""
        return bool(self._accounts)

    @property
    def accounts(self) -> Mapping[str, Account]:
        """All accounts, by name."""
        return types.MappingProxyType(self._accounts)

    @property
    def shared_key_count(self) -> int:
        """Number of keys that belong to more than one account."""
        return sum(account is None for account in self._by_digest.values())

    def find_by_key(self, key: str) -> Account | None:
        """Returns the account that `key` belongs to, if it is exactly one."""
        if not 0 < len(key) <= MAX_KEY_CHARS:
            return None
        return self._by_digest.get(digest_key(key))
