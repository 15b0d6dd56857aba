"""The accounts of one version of the configuration, indexed."""

from collections.abc import Iterable
from collections.abc import Mapping
import types

from radishwind.accounts.model import Account
from radishwind.accounts.model import digest_key

#: A longer key is nobody's (characters), so that no caller has us digest more.
MAX_KEY_CHARS = 512


class AccountIndex:
    """Finds accounts by name and by key; a look-up costs one digest."""

    def __init__(self, accounts: Iterable[Account] = ()) -> None:
        self._accounts = {account.name: account for account in accounts}
        self._holders: dict[bytes, Account | None] = {}
        for account in self._accounts.values():
            for digest in account.key_digests:
                # A key of two accounts tells nobody's name.
                held = digest in self._holders
                self._holders[digest] = None if held else account

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
        """How many keys are held by more than one account."""
        return sum(holder is None for holder in self._holders.values())

    def find_by_key(self, key: str) -> Account | None:
        """Returns the account that holds `key`, if exactly one does."""
        if not 0 < len(key) <= MAX_KEY_CHARS:
            return None
        return self._holders.get(digest_key(key))
