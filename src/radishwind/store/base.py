"""Interface of the key-value store: compare-and-swap, leases and watches."""

import abc
from collections.abc import AsyncIterator
from collections.abc import Sequence
from typing import TypeAlias

import msgspec

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.store.position import StorePosition


class StoreError(RadishwindError):
    """A call to the store failed."""


class StoreUnavailableError(StoreError):
    """The call certainly had no effect.

    The connection failed, or the store rejected the call without applying it.
    """

    code = ResultCode.STORE_UNAVAILABLE


class StoreAnswerLostError(StoreError):
    """No response arrived; the call may have taken effect."""

    code = ResultCode.STORE_ANSWER_LOST


class StoreAnswerMalformedError(StoreAnswerLostError):
    """The response is malformed; the call may have taken effect."""

    code = ResultCode.STORE_ANSWER_MALFORMED


class StoreAnswerTooLongError(StoreAnswerLostError):
    """The response exceeds the size limit; the call may have taken effect."""

    code = ResultCode.STORE_ANSWER_MALFORMED


class StoreCompactedError(StoreError):
    """The start of a watch is not in the store's history any more."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreBudgetError(StoreUnavailableError):
    """The call was not sent, as this node's budget of store calls is spent.

    Also raised while calls are paused after failures.
    """


class StoreEntry(msgspec.Struct, frozen=True):
    """A key with its value.

    Attributes:
      key: the key.
      value: the value, at most 1 MB.
      create_revision: the store's revision at which the key was created.
      mod_revision: the store's revision of the last change of the key.
      lease_id: ID of the lease the key is attached to; 0 for none.
      store_revision: the store's revision at the time of the read, the lowest
        one if a list was read in several pages. A watch that starts from it
        misses no change. 0 if the store did not state it.
      era: era of the store at the time of the read; 0 if it states none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int = 0
    store_revision: int = 0
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """The position of the last change of the key."""
        return StorePosition(self.era, self.mod_revision)

    @property
    def store_position(self) -> StorePosition:
        """The position of the store at the time of the read."""
        return StorePosition(self.era, self.store_revision)


class Compare(msgspec.Struct, frozen=True):
    """A condition on one key.

    Attributes:
      key: the key.
      mod_revision: required revision of the key's last change; 0 if the key
        must not exist.
      create_revision: required revision of the key's creation; if given, it
        is compared instead of `mod_revision`.
    """

    key: str
    mod_revision: int | None = None
    create_revision: int | None = None


class Put(msgspec.Struct, frozen=True):
    """Sets a key; attaches it to the lease `lease_id` unless that is 0."""

    key: str
    value: bytes
    lease_id: int = 0


class Delete(msgspec.Struct, frozen=True):
    """Deletes a key."""

    key: str


Operation: TypeAlias = Put | Delete


class TxnResult(msgspec.Struct, frozen=True):
    """Result of a transaction.

    Attributes:
      succeeded: whether all conditions held and the changes were applied.
      revision: the store's revision after the transaction.
      era: era of the store; 0 if it states none.
    """

    succeeded: bool
    revision: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """The position of the store after the transaction."""
        return StorePosition(self.era, self.revision)


class WatchEvent(msgspec.Struct, frozen=True):
    """A change reported by a watch.

    Attributes:
      key: the changed key.
      entry: the new entry, `None` if the key was deleted.
      revision: the store's revision of the change.
      era: era of the store; 0 if it states none.
    """

    key: str
    entry: StoreEntry | None
    revision: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """The position of the change."""
        return StorePosition(self.era, self.revision)


class Store(abc.ABC):
    """Client of the key-value store.

    Each method makes one call to the store, except that `list` makes one per
    page. Each raises `StoreUnavailableError` if the call certainly had no
    effect and `StoreAnswerLostError` if it may have taken effect.
    """

    @abc.abstractmethod
    async def get(
        self, key: str, *, allow_stale: bool = False
    ) -> StoreEntry | None:
        """Returns the entry of `key`, `None` if it does not exist.

        Args:
          key: the key.
          allow_stale: accepts a value that is seconds old. Such a read is
            cheaper for the store, since any of its replicas can serve it.
        """

    @abc.abstractmethod
    async def list(
        self, prefix: str, limit: int = 0, *, allow_stale: bool = False
    ) -> tuple[StoreEntry, ...]:
        """Returns the entries whose key starts with `prefix`, sorted by key.

        The entries are read in pages, each of them one call to the store. A
        key that changes during the read may be returned in either state.

        Args:
          prefix: prefix of the keys, not empty.
          limit: maximum number of entries, the first by key; 0 for all.
          allow_stale: as for `get`.
        """

    @abc.abstractmethod
    async def position(self) -> StorePosition:
        """Returns the store's current position by a linearizable read.

        Nothing in the store has changed as long as the position is the same.
        """

    @abc.abstractmethod
    async def transact(
        self, compares: Sequence[Compare], operations: Sequence[Operation]
    ) -> TxnResult:
        """Applies all changes atomically if all conditions hold, else none."""

    @abc.abstractmethod
    async def grant(self, ttl_s: int) -> int:
        """Creates a lease that expires after `ttl_s` (s); returns its ID."""

    @abc.abstractmethod
    async def keep_alive(self, lease_id: int) -> int:
        """Renews a lease; returns its new time to live (s), 0 if expired."""

    @abc.abstractmethod
    async def revoke(self, lease_id: int) -> None:
        """Revokes a lease; the store deletes the keys attached to it."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, start: StorePosition
    ) -> AsyncIterator[WatchEvent]:
        """Yields changes of keys that start with `prefix` until it fails.

        A watch is one long-lived call to the store.

        Args:
          prefix: prefix of the keys, not empty.
          start: first position reported; revision 0 for changes from now on.

        Raises:
          StoreCompactedError: `start` has been compacted away, or the era of
            the store has changed since; the caller has to read the keys again.
          StoreError: the watch was rejected or interrupted.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes the connections."""
