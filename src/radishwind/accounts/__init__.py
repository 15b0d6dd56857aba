"""Client accounts: which account a request belongs to, and its limits.

An account has keys, a priority and a quota. A node knows the accounts of the
configuration in force; if that has none, requests need no key.
"""

from radishwind.accounts.account_index import AccountIndex
from radishwind.accounts.model import Account
from radishwind.accounts.model import digest_key

__all__ = [
    "Account",
    "AccountIndex",
    "digest_key",
]
