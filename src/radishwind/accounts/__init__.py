"""Client accounts: whose key a request carries, and what its account may.

An account has keys, a rank and a quota. A node knows the accounts of the
configuration in force; where that holds none, nothing here takes effect.
"""

from radishwind.accounts.account_index import AccountIndex
from radishwind.accounts.key_freshness import AlwaysFresh
from radishwind.accounts.key_freshness import KeyFreshness
from radishwind.accounts.model import Account
from radishwind.accounts.model import digest_key

__all__ = [
    "Account",
    "AccountIndex",
    "AlwaysFresh",
    "KeyFreshness",
    "digest_key",
]
