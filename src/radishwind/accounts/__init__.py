"""Client accounts: whose key a request carries, and what its account may.

An account has keys, a rank and a quota. A node knows the accounts of the
configuration in force; where that holds none, nothing here takes effect.
"""

from radishwind.accounts.book import AccountBook
from radishwind.accounts.model import Account
from radishwind.accounts.model import digest_key
from radishwind.accounts.proof import KeyProof
from radishwind.accounts.proof import NoProofNeeded

__all__ = [
    "Account",
    "AccountBook",
    "KeyProof",
    "NoProofNeeded",
    "digest_key",
]
