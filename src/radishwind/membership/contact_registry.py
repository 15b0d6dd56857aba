"""Reads and writes the contact records, within a budget of store calls."""

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

_MAX_WRITE_ATTEMPTS = 3
_MAX_UNREACHABLE = 1_024
#: By then a backoff delay has reached its bound; more would overflow a float.
_MAX_DOUBLINGS = 16


class DiscoveryOptions(msgspec.Struct, frozen=True):
    """How often the store is called to find peers.

    Attributes:
      spread_s: upper bound of the random delay of the first calls (s), which
        keeps nodes that start together from calling together.
      backoff_s: delay after the first failed call (s); doubles each time.
      max_backoff_s: longest delay (s).
      check_period_s: time between checks of the own domain's record by the
        nodes that rank first in it (s).
      early_checks: number of checks at short intervals after the start.
      burst_calls: store calls that a node may make in a row.
      calls_per_hour: rate at which the store calls are replenished (1/h).
      contacts: maximum number of addresses kept per failure domain.
      prefers_stale_reads: whether contacts are first read with stale reads
        allowed, which costs some stores less, and again without only if that
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
    """Result of registering the own address as a contact.

    Attributes:
      FAILED: the store failed; try again.
      UNCHANGED: the record needs no change.
      WRITTEN: the address has just been written, or the record changed while
        this was tried; the contacts are to be read once more.
    """

    FAILED = enum.auto()
    UNCHANGED = enum.auto()
    WRITTEN = enum.auto()


def backoff_delay_s(options: DiscoveryOptions, doublings: int) -> float:
    """Returns the exponential backoff delay after `doublings` doublings (s)."""
    delay_s = options.backoff_s * 2.0 ** min(doublings, _MAX_DOUBLINGS)
    return min(options.max_backoff_s, delay_s)


class ContactRegistry:
    """Reads contact records and registers this node in its domain's record.

    Attributes:
      calls: number of store calls by kind: `read`, `write`, and those `failed`.
    """

    def __init__(
        self,
        *,
        store: Store,
        failure_domain: str,
        own: Address,
        clock: Clock,
        rng: random.Random,
        options: DiscoveryOptions,
        on_listed: Callable[[StoreEntry], None] | None = None,
    ) -> None:
        """Initializes the registry.

        Args:
          store: store that holds the records.
          failure_domain: failure domain of this node.
          own: address at which other nodes reach this one.
          clock: the clock.
          rng: random source of the delays.
          options: how often the store is called.
          on_listed: called with each entry listed, including other entries
            under the same key prefix that aren't contact records.
        """
        self._on_listed = on_listed
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
        # The own domain's record as last known.
        self._record = ContactRecord()
        # The record's entry, if it was just listed, so that it can be written
        # without a second read. The inner `None` means that there is none.
        self._listed_entry: tuple[StoreEntry | None] | None = None
        # Whether the record comes from a read that may have been stale.
        self._is_record_stale = False
        self.calls: dict[str, int] = {"read": 0, "write": 0, "failed": 0}

    @property
    def contacts(self) -> tuple[Address, ...]:
        """The addresses in the own domain's record as last known."""
        return contact_addresses(self._record)

    def mark_unreachable(self, address: Address) -> None:
        """Records that `address` doesn't answer, so it may be replaced."""
        if len(self._unreachable) >= _MAX_UNREACHABLE:
            self._unreachable.clear()
        self._unreachable.add(address)

    def mark_reachable(self, address: Address) -> None:
        """Records that `address` answers."""
        self._unreachable.discard(address)

    async def read_contacts(self, *, newest: bool = False) -> Contacts | None:
        """Returns the contacts of all failure domains, without this node.

        A list that is seconds old suffices if it isn't empty: contacts that
        are gone don't accept connections, and any remaining one knows all
        other members. An empty stale list is read again from the newest state.

        Args:
          newest: whether to skip the stale read, as is needed after a write by
            this node.

        Returns:
          The contacts; `None` if the store failed or no call is left in the
          budget.
        """
        found: Contacts | None = ()
        if self._options.prefers_stale_reads and not newest:
            found = await self._list(allow_stale=True)
        if found is None or found:
            return found
        return await self._list(allow_stale=False)

    async def _list(self, *, allow_stale: bool) -> Contacts | None:
        if not self._budget.try_spend(self._clock.monotonic()):
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
        self._listed_entry = None if allow_stale else (own,)
        self._is_record_stale = allow_stale
        found: list[Address] = []
        for record in records.values():
            found += contact_addresses(record)
        return tuple(a for a in dict.fromkeys(found) if a != self._own)

    async def register(self) -> RegistrationResult:
        """Adds this node to its domain's record if contacts are missing.

        A record that was just listed is written without another read. A node
        that loses the race for it waits a random time and reads it again, so
        that of many nodes that find the record empty only the first few write.
        If the record just read needs no change, no call is made.
        """
        if self._is_record_stale and self._updated_record(self._record) is None:
            return RegistrationResult.UNCHANGED
        writes_before = self.calls["write"]
        for attempt in range(_MAX_WRITE_ATTEMPTS):
            if attempt or self._listed_entry is None:
                await anyio.sleep(self._rng.random() * self._options.spread_s)
            result = await self._register_once()
            if (
                result is RegistrationResult.UNCHANGED
                and self.calls["write"] > writes_before
            ):
                # The reply to an earlier write was lost, or another node wrote
                # meanwhile: the caller is to read the contacts once more.
                return RegistrationResult.WRITTEN
            if result is not None:
                return result
        return RegistrationResult.FAILED

    async def _register_once(self) -> RegistrationResult | None:
        """Returns the result of one attempt; `None` if it is to be repeated."""
        try:
            entry = await self._own_entry()
            self._record = (
                decode_contact_record(entry.value) if entry else ContactRecord()
            )
            new = self._updated_record(self._record)
            if new is None:
                return RegistrationResult.UNCHANGED
            self._take_token()
            self.calls["write"] += 1
            result = await self._store.transact(
                (Compare(self._key, entry.mod_revision if entry else 0),),
                (Put(self._key, msgspec.json.encode(new)),),
            )
        except StoreAnswerLostError:
            # The next attempt reads whether the record contains this node.
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
        """Returns the own domain's entry, from the last list or the store."""
        listed, self._listed_entry = self._listed_entry, None
        if listed is not None:
            return listed[0]
        self._take_token()
        self.calls["read"] += 1
        return await self._store.get(self._key)

    def _take_token(self) -> None:
        """Takes one store call from the budget.

        Raises:
          StoreBudgetError: the budget is exhausted.
        """
        if not self._budget.try_spend(self._clock.monotonic()):
            raise StoreBudgetError(
                "contacts: not sent, store call budget spent"
            )

    def _updated_record(self, record: ContactRecord) -> ContactRecord | None:
        now_ms = self._clock.wall_ms()
        unreachable = frozenset(self._unreachable)
        max_contacts = self._options.contacts
        return updated_record(
            record, self._own, unreachable, now_ms, max_contacts
        )
