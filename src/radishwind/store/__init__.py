"""Client of the platform's key-value store."""

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
from radishwind.store.budgeted_store import BudgetedStore
from radishwind.store.budgeted_store import StoreBudget
from radishwind.store.budgeted_store import TokenBucket
from radishwind.store.etcd_store import EtcdStore

__all__ = [
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
