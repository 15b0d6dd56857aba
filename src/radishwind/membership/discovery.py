"""Finds first peers by settings and store, within a budget of store calls."""

import dataclasses
import random

import anyio
import msgspec

from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.membership.contacts import addresses
from radishwind.membership.contacts import ContactRecord
from radishwind.membership.contacts import key_of
from radishwind.membership.contacts import PREFIX
from radishwind.membership.contacts import read_record
from radishwind.membership.contacts import revised
from radishwind.store import Compare
from radishwind.store import Put
from radishwind.store import Store
from radishwind.store import StoreAnswerLostError
from radishwind.store import StoreError
from radishwind.store import TokenBucket

_WRITE_TRIES = 3
_MAX_UNREACHABLE = 1_024
#: Beyond it a wait is at its bound anyway, and a float would overflow.
_MAX_DOUBLINGS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class DiscoveryOptions:
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
    """

    spread_s: float = 0.5
    backoff_s: float = 0.5
    backoff_most_s: float = 60.0
    check_period_s: float = 1_800.0
    early_looks: int = 4
    calls_at_once: int = 12
    calls_per_hour: float = 60.0


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
    ) -> None:
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
        self._read_record: ContactRecord | None = None
        self.calls: dict[str, int] = {"read": 0, "write": 0, "failed": 0}

    def note_failed(self, address: Address) -> None:
        """Notes that nothing answers at `address`; it may be replaced."""
        if len(self._unreachable) >= _MAX_UNREACHABLE:
            self._unreachable.clear()
        self._unreachable.add(address)

    def note_answered(self, address: Address) -> None:
        """Notes that a node answers at `address`."""
        self._unreachable.discard(address)

    async def read(self) -> tuple[Address, ...] | None:
        """Returns all contacts by one call; `None` if it failed."""
        if not self._budget.take(self._clock.monotonic()):
            return None
        self.calls["read"] += 1
        try:
            entries = await self._store.list(PREFIX)
        except StoreError:
            self.calls["failed"] += 1
            return None
        records = {e.key: read_record(e.value) for e in entries}
        self._read_record = records.get(self._key, ContactRecord())
        found: list[Address] = []
        for record in records.values():
            found += addresses(record)
        return tuple(a for a in dict.fromkeys(found) if a != self._own)

    async def enter(self) -> bool:
        """Puts this node into the record if that is short; `False` if failed.

        It waits a random time first and then looks, so that of many nodes
        that find the record empty only the first few write. Where the record
        just read may stay it makes no call.
        """
        if self._read_record and self._revised(self._read_record) is None:
            return True
        for _ in range(_WRITE_TRIES):
            await anyio.sleep(self._rng.random() * self._options.spread_s)
            done = await self._enter_once()
            if done is not None:
                return done
        return False

    async def _enter_once(self) -> bool | None:
        """Returns whether it is settled; `None` after a lost race."""
        if not self._budget.take(self._clock.monotonic()):
            return False
        try:
            self.calls["read"] += 1
            entry = await self._store.get(self._key)
            record = read_record(entry.value) if entry else ContactRecord()
            new = self._revised(record)
            if new is None:
                return True
            if not self._budget.take(self._clock.monotonic()):
                return False
            self.calls["write"] += 1
            result = await self._store.transact(
                (Compare(self._key, entry.mod_revision if entry else 0),),
                (Put(self._key, msgspec.json.encode(new)),),
            )
        except StoreAnswerLostError:
            # A second look settles it: the record has this node or not.
            self.calls["failed"] += 1
            return None
        except StoreError:
            self.calls["failed"] += 1
            return False
        return True if result.succeeded else None

    def _revised(self, record: ContactRecord) -> ContactRecord | None:
        now_ms = self._clock.wall_ms()
        dead = frozenset(self._unreachable)
        return revised(record, self._own, dead, now_ms)
