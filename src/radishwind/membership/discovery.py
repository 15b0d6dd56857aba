"""Finds first peers by settings and store, within a budget of store calls."""

from collections.abc import Callable
import enum
import random
from typing import TypeAlias

import anyio
import msgspec

from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.membership.contacts import addresses
from radishwind.membership.contacts import ContactRecord
from radishwind.membership.contacts import key_of
from radishwind.membership.contacts import MAX_CONTACTS
from radishwind.membership.contacts import PREFIX
from radishwind.membership.contacts import read_record
from radishwind.membership.contacts import revised
from radishwind.store import Compare
from radishwind.store import Put
from radishwind.store import Store
from radishwind.store import StoreAnswerLostError
from radishwind.store import StoreBudgetError
from radishwind.store import StoreEntry
from radishwind.store import StoreError
from radishwind.store import TokenBucket

_WRITE_TRIES = 3
_MAX_UNREACHABLE = 1_024
#: Beyond it a wait is at its bound anyway, and a float would overflow.
_MAX_DOUBLINGS = 16


class DiscoveryOptions(msgspec.Struct, frozen=True):
    """How often the store is asked.

    Attributes:
      spread_s: the first calls wait up to this long, at random (s), so that
        many nodes that start at once don't call at once.
      backoff_s: the wait after a first failed call (s); doubles.
      backoff_most_s: the longest wait (s).
      check_period_s: time between looks at the own domain's record by the
        nodes that rank first in it (s).
      early_looks: looks at short intervals after the start.
      calls_at_once: calls a node may make in a row.
      calls_per_hour: the rate at which it may make further ones (1/h).
      contacts: addresses kept for each failure domain.
      stale_first: whether contacts are read as the store remembers them,
        and anew only where that names nobody; for stores that ask less for
        such reads.
    """

    spread_s: float = 0.5
    backoff_s: float = 0.5
    backoff_most_s: float = 60.0
    check_period_s: float = 1_800.0
    early_looks: int = 4
    calls_at_once: int = 12
    calls_per_hour: float = 60.0
    contacts: int = MAX_CONTACTS
    stale_first: bool = False


#: Addresses of contacts.
Contacts: TypeAlias = tuple[Address, ...]


class Entered(enum.Enum):
    """What became of entering the own address.

    Attributes:
      FAILED: the store failed; try again.
      STANDS: the record may stay as it is.
      WRITTEN: the address was written just now.
    """

    FAILED = enum.auto()
    STANDS = enum.auto()
    WRITTEN = enum.auto()


def backoff_s(options: DiscoveryOptions, doublings: int) -> float:
    """Returns the wait after `doublings` calls in a row of a kind (s)."""
    wait_s = options.backoff_s * 2.0 ** min(doublings, _MAX_DOUBLINGS)
    return min(options.backoff_most_s, wait_s)


class ContactFinder:
    """Reads and writes the contact records; counts its calls."""

    def __init__(
        self,
        *,
        store: Store,
        failure_domain: str,
        own: Address,
        clock: Clock,
        rng: random.Random,
        options: DiscoveryOptions,
        listed: Callable[[StoreEntry], None] | None = None,
    ) -> None:
        """Makes a finder.

        Args:
          store: holds the records.
          failure_domain: where this node stands.
          own: where other nodes reach this one.
          clock: the clock.
          rng: the random source of pauses.
          options: how often the store is asked.
          listed: takes each entry that was listed, also those that lie beside
            the records and are none.
        """
        self._on_listed = listed
        self._store = store
        self._key = key_of(failure_domain)
        self._own = own
        self._clock = clock
        self._rng = rng
        self._options = options
        self._budget = TokenBucket(
            options.calls_per_hour / 3600,
            options.calls_at_once,
            clock.monotonic(),
        )
        self._unreachable: set[Address] = set()
        # The own domain's record as last known, and its entry where that was
        # just listed, so that no second call is needed to write it.
        self._record = ContactRecord()
        self._listed: tuple[StoreEntry | None] | None = None
        # Whether the record is from a list that may have been old.
        self._listed_stale = False
        self.calls: dict[str, int] = {"read": 0, "write": 0, "failed": 0}

    @property
    def contacts(self) -> tuple[Address, ...]:
        """The addresses of the own domain's record as last known."""
        return addresses(self._record)

    def note_failed(self, address: Address) -> None:
        """Notes that nothing answers at `address`; it may be replaced."""
        if len(self._unreachable) >= _MAX_UNREACHABLE:
            self._unreachable.clear()
        self._unreachable.add(address)

    def note_answered(self, address: Address) -> None:
        """Notes that a node answers at `address`."""
        self._unreachable.discard(address)

    async def read(self, *, newest: bool = False) -> Contacts | None:
        """Returns all contacts; `None` if the store failed.

        A list that is seconds old will do where it names anybody: a contact
        that is gone takes no connection, and one of those still there tells
        of all others. Where it names nobody the newest is read.

        Args:
          newest: whether an old list won't do, after a write of one's own.
        """
        found: Contacts | None = ()
        if self._options.stale_first and not newest:
            found = await self._list(allow_stale=True)
        if found is None or found:
            return found
        return await self._list(allow_stale=False)

    async def _list(self, *, allow_stale: bool) -> Contacts | None:
        if not self._budget.take(self._clock.monotonic()):
            return None
        self.calls["read"] += 1
        try:
            entries = await self._store.list(PREFIX, allow_stale=allow_stale)
        except StoreError:
            self.calls["failed"] += 1
            return None
        if self._on_listed is not None:
            for entry in entries:
                self._on_listed(entry)
        records = {e.key: read_record(e.value) for e in entries}
        self._record = records.get(self._key, ContactRecord())
        own = next((e for e in entries if e.key == self._key), None)
        self._listed = None if allow_stale else (own,)
        self._listed_stale = allow_stale
        found: list[Address] = []
        for record in records.values():
            found += addresses(record)
        return tuple(a for a in dict.fromkeys(found) if a != self._own)

    async def enter(self) -> Entered:
        """Puts this node into the record if that is short.

        A record just listed is written at once. Who comes too late waits a
        random time and looks, so that of many nodes that find the record empty
        only the first few write. Where the record may stay it makes no call.
        """
        if self._listed_stale and self._revised(self._record) is None:
            return Entered.STANDS
        written = self.calls["write"]
        for attempt in range(_WRITE_TRIES):
            if attempt or self._listed is None:
                await anyio.sleep(self._rng.random() * self._options.spread_s)
            done = await self._enter_once()
            if done is Entered.STANDS and self.calls["write"] > written:
                # A write whose answer was lost, or another's: look once more.
                return Entered.WRITTEN
            if done is not None:
                return done
        return Entered.FAILED

    async def _enter_once(self) -> Entered | None:
        """Returns what became of it; `None` after a lost race."""
        try:
            entry = await self._own_entry()
            self._record = (
                read_record(entry.value) if entry else ContactRecord()
            )
            new = self._revised(self._record)
            if new is None:
                return Entered.STANDS
            self._take_token()
            self.calls["write"] += 1
            result = await self._store.transact(
                (Compare(self._key, entry.mod_revision if entry else 0),),
                (Put(self._key, msgspec.json.encode(new)),),
            )
        except StoreAnswerLostError:
            # A second look settles it: the record has this node or not.
            self.calls["failed"] += 1
            return None
        except StoreBudgetError:
            return Entered.FAILED
        except StoreError:
            self.calls["failed"] += 1
            return Entered.FAILED
        if not result.succeeded:
            return None
        self._record = new
        return Entered.WRITTEN

    async def _own_entry(self) -> StoreEntry | None:
        """Returns the own domain's record, as listed just before or anew."""
        listed, self._listed = self._listed, None
        if listed is not None:
            return listed[0]
        self._take_token()
        self.calls["read"] += 1
        return await self._store.get(self._key)

    def _take_token(self) -> None:
        """Raises `StoreBudgetError` where no call is left."""
        if not self._budget.take(self._clock.monotonic()):
            raise StoreBudgetError("contacts: not sent, budget spent")

    def _revised(self, record: ContactRecord) -> ContactRecord | None:
        now_ms = self._clock.wall_ms()
        dead = frozenset(self._unreachable)
        most = self._options.contacts
        return revised(record, self._own, dead, now_ms, most)
