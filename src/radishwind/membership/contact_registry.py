"""Finds first peers by settings and store, within a budget of store calls."""

from collections.abc import Callable
import enum
import random
from typing import TypeAlias

import anyio
import msgspec

from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.membership.contact_records import contact_addresses
from radishwind.membership.contact_records import contact_key
from radishwind.membership.contact_records import ContactRecord
from radishwind.membership.contact_records import CONTACTS_KEY_PREFIX
from radishwind.membership.contact_records import decode_contact_record
from radishwind.membership.contact_records import MAX_CONTACTS_PER_DOMAIN
from radishwind.membership.contact_records import updated_record
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
      max_backoff_s: the longest wait (s).
      check_period_s: time between looks at the own domain's record by the
        nodes that rank first in it (s).
      early_checks: looks at short intervals after the start.
      burst_calls: calls a node may make in a row.
      calls_per_hour: the rate at which it may make further ones (1/h).
      contacts: addresses kept for each failure domain.
      prefers_stale_reads: whether contacts are first read from a possibly stale
        replica, which costs some stores less, and linearizably only if that
        list is empty.
    """

    spread_s: float = 0.5
    backoff_s: float = 0.5
    max_backoff_s: float = 60.0
    check_period_s: float = 1_800.0
    early_checks: int = 4
    burst_calls: int = 12
    calls_per_hour: float = 60.0
    contacts: int = MAX_CONTACTS_PER_DOMAIN
    prefers_stale_reads: bool = False


#: Addresses of contacts.
Contacts: TypeAlias = tuple[Address, ...]


class RegistrationResult(enum.Enum):
    """What became of entering the own address.

    Attributes:
      FAILED: the store failed; try again.
      UNCHANGED: the record may stay as it is.
      WRITTEN: the address was written just now.
    """

    FAILED = enum.auto()
    UNCHANGED = enum.auto()
    WRITTEN = enum.auto()


def backoff_delay_s(options: DiscoveryOptions, doublings: int) -> float:
    """Returns the wait after `doublings` calls in a row of a kind (s)."""
    wait_s = options.backoff_s * 2.0 ** min(doublings, _MAX_DOUBLINGS)
    return min(options.max_backoff_s, wait_s)


class ContactRegistry:
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
        self._key = contact_key(failure_domain)
        self._own = own
        self._clock = clock
        self._rng = rng
        self._options = options
        self._budget = TokenBucket(
            options.calls_per_hour / 3600,
            options.burst_calls,
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
        return contact_addresses(self._record)

    def mark_unreachable(self, address: Address) -> None:
        """Notes that nothing answers at `address`; it may be replaced."""
        if len(self._unreachable) >= _MAX_UNREACHABLE:
            self._unreachable.clear()
        self._unreachable.add(address)

    def mark_reachable(self, address: Address) -> None:
        """Notes that a node answers at `address`."""
        self._unreachable.discard(address)

    async def read_contacts(self, *, newest: bool = False) -> Contacts | None:
        """Returns all contacts; `None` if the store failed.

        A list that is seconds old will do where it names anybody: a contact
        that is gone takes no connection, and one of those still there tells
        of all others. Where it names nobody the newest is read.

        Args:
          newest: whether an old list won't do, after a write of one's own.
        """
        found: Contacts | None = ()
        if self._options.prefers_stale_reads and not newest:
            found = await self._list(allow_stale=True)
        if found is None or found:
            return found
        return await self._list(allow_stale=False)

    async def _list(self, *, allow_stale: bool) -> Contacts | None:
        if not self._budget.take(self._clock.monotonic()):
            return None
        self.calls["read"] += 1
        try:
            entries = await self._store.list(
                CONTACTS_KEY_PREFIX, allow_stale=allow_stale
            )
        except StoreError:
            self.calls["failed"] += 1
            return None
        if self._on_listed is not None:
            for entry in entries:
                self._on_listed(entry)
        records = {e.key: decode_contact_record(e.value) for e in entries}
        self._record = records.get(self._key, ContactRecord())
        own = next((e for e in entries if e.key == self._key), None)
        self._listed = None if allow_stale else (own,)
        self._listed_stale = allow_stale
        found: list[Address] = []
        for record in records.values():
            found += contact_addresses(record)
        return tuple(a for a in dict.fromkeys(found) if a != self._own)

    async def register(self) -> RegistrationResult:
        """Puts this node into the record if that is short.

        A record just listed is written at once. Who comes too late waits a
        random time and looks, so that of many nodes that find the record empty
        only the first few write. Where the record may stay it makes no call.
        """
        if self._listed_stale and self._revised(self._record) is None:
            return RegistrationResult.UNCHANGED
        written = self.calls["write"]
        for attempt in range(_WRITE_TRIES):
            if attempt or self._listed is None:
                await anyio.sleep(self._rng.random() * self._options.spread_s)
            done = await self._register_once()
            if (
                done is RegistrationResult.UNCHANGED
                and self.calls["write"] > written
            ):
                # A write whose answer was lost, or another's: look once more.
                return RegistrationResult.WRITTEN
            if done is not None:
                return done
        return RegistrationResult.FAILED

    async def _register_once(self) -> RegistrationResult | None:
        """Returns what became of it; `None` after a lost race."""
        try:
            entry = await self._own_entry()
            self._record = (
                decode_contact_record(entry.value) if entry else ContactRecord()
            )
            new = self._revised(self._record)
            if new is None:
                return RegistrationResult.UNCHANGED
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
            return RegistrationResult.FAILED
        except StoreError:
            self.calls["failed"] += 1
            return RegistrationResult.FAILED
        if not result.succeeded:
            return None
        self._record = new
        return RegistrationResult.WRITTEN

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
        return updated_record(record, self._own, dead, now_ms, most)
