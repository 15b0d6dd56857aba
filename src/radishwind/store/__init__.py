"""The platform's key-value store, behind the abstract base class `Store`."""

from radishwind.store.base import Compare
from radishwind.store.base import Delete
from radishwind.store.base import Put
from radishwind.store.base import Store
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.base import StoreAnswerMalformedError
from radishwind.store.base import StoreBudgetError
from radishwind.store.base import StoreCompactedError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreError
from radishwind.store.base import StoreUnavailableError
from radishwind.store.base import TxnResult
from radishwind.store.base import WatchEvent
from radishwind.store.budget import Backoff
from radishwind.store.budget import BudgetedStore
from radishwind.store.budget import StoreBudget
from radishwind.store.budget import TokenBucket
from radishwind.store.etcd import EtcdStore

__all__ = [
    "Backoff",
    "BudgetedStore",
    "Compare",
    "Delete",
    "EtcdStore",
    "Put",
    "Store",
    "StoreAnswerLostError",
    "StoreAnswerMalformedError",
    "StoreBudget",
    "StoreBudgetError",
    "StoreCompactedError",
    "StoreEntry",
    "StoreError",
    "StoreUnavailableError",
    "TokenBucket",
    "TxnResult",
    "WatchEvent",
]
