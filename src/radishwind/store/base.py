"""The interface of the store: compare-and-swap, leases and watches."""

import abc
from collections.abc import AsyncIterator
from collections.abc import Sequence
from typing import TypeAlias

import msgspec

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError


class StoreError(RadishwindError):
    """A call of the store failed."""


class StoreUnavailableError(StoreError):
    """The call certainly had no effect: no connection, or refused unread."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreAnswerLostError(StoreError):
    """The call may have had its effect; its answer never came."""

    code = ResultCode.STORE_ANSWER_LOST


class StoreAnswerMalformedError(StoreAnswerLostError):
    """The answer cannot be read, so what the call did is unknown."""

    code = ResultCode.STORE_ANSWER_MALFORMED


class StoreCompactedError(StoreError):
    """The store no longer has the revision that a watch was to start from."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreBudgetError(StoreUnavailableError):
    """The call was not sent: this node's budget of store calls is spent."""


class StoreEntry(msgspec.Struct, frozen=True):
    """A key with its value.

    Attributes:
      key: the key.
      value: the value, at most 1 MB.
      create_revision: the store's revision at which the key was created.
      mod_revision: the store's revision of the last change of the key.
      lease_id: the lease it hangs on; 0 for none.
      store_revision: of the store when it answered, from which a watch misses
        nothing (of several entries the lowest); 0 where it was not told.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int = 0
    store_revision: int = 0


class Compare(msgspec.Struct, frozen=True):
    """A condition on one key.

    Attributes:
      key: the key.
      mod_revision: what its last change must be; 0 for "does not exist".
      create_revision: what its creation must be, instead of `mod_revision`.
    """

    key: str
    mod_revision: int | None = None
    create_revision: int | None = None


class Put(msgspec.Struct, frozen=True):
    """Sets a key, on a lease where `lease_id` (ID, not 0) is given."""

    key: str
    value: bytes
    lease_id: int = 0


class Delete(msgspec.Struct, frozen=True):
    """Removes a key."""

    key: str


Operation: TypeAlias = Put | Delete


class TxnResult(msgspec.Struct, frozen=True):
    """What a transaction did.

    Attributes:
      succeeded: whether every condition held, so that the changes were made.
      revision: the store's revision after it.
    """

    succeeded: bool
    revision: int


class WatchEvent(msgspec.Struct, frozen=True):
    """A change seen by a watch.

    Attributes:
      key: the key changed.
      entry: its new value, `None` if it was removed.
      revision: the store's revision of the change.
    """

    key: str
    entry: StoreEntry | None
    revision: int


class Store(abc.ABC):
    """The part of the store that is used; every method is one call of it.

    Every method raises `StoreUnavailableError` where the call certainly had no
    effect, and `StoreAnswerLostError` where that cannot be told.
    """

    @abc.abstractmethod
    async def get(
        self, key: str, *, allow_stale: bool = False
    ) -> StoreEntry | None:
        """Returns the entry of `key`, if it exists.

        Args:
          key: the key.
          allow_stale: whether an answer that is seconds old will do; a store
            gives it more cheaply, from any of its replicas.
        """

    @abc.abstractmethod
    async def list(
        self, prefix: str, limit: int = 0, *, allow_stale: bool = False
    ) -> tuple[StoreEntry, ...]:
        """Returns the entries whose key starts with `prefix`, by key.

        It is read in pages, each a call of the store, so a key changed
        meanwhile may be seen in either state.

        Args:
          prefix: what the keys start with, not empty.
          limit: how many entries at most, the first by key; 0 for all.
          allow_stale: as with `get`.
        """

    @abc.abstractmethod
    async def revision(self) -> int:
        """Returns the store's revision, no older than this call.

        While it stays the same, nothing in the store has changed.
        """

    @abc.abstractmethod
    async def transact(
        self, compares: Sequence[Compare], operations: Sequence[Operation]
    ) -> TxnResult:
        """Makes all changes at once if every condition holds, else none."""

    @abc.abstractmethod
    async def grant(self, ttl_s: int) -> int:
        """Returns the ID of a new lease that lapses after `ttl_s` (s)."""

    @abc.abstractmethod
    async def keep_alive(self, lease_id: int) -> int:
        """Renews a lease; returns its new time to live (s), 0 if lapsed."""

    @abc.abstractmethod
    async def revoke(self, lease_id: int) -> None:
        """Ends a lease; the keys on it are removed."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[WatchEvent]:
        """Yields changes below `prefix` until the watch fails.

        It is one waiting call of the store.

        Args:
          prefix: what the keys start with, not empty.
          from_revision: the first revision told; 0 for the next change.

        Raises:
          StoreCompactedError: `from_revision` is too old: read anew.
          StoreError: the watch broke or was refused.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes the connections."""
