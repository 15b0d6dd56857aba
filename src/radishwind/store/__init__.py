"""The platform's key-value store, behind the abstract base class `Store`."""

from radishwind.store.base import Compare
from radishwind.store.base import Delete
from radishwind.store.base import Put
from radishwind.store.base import Store
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreError
from radishwind.store.base import StoreUnavailableError
from radishwind.store.base import TxnResult
from radishwind.store.base import WatchEvent
from radishwind.store.etcd import EtcdStore

__all__ = [
    "Compare",
    "Delete",
    "EtcdStore",
    "Put",
    "Store",
    "StoreAnswerLostError",
    "StoreEntry",
    "StoreError",
    "StoreUnavailableError",
    "TxnResult",
    "WatchEvent",
]
