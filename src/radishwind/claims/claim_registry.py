"""Claims in the store: one compare-and-swap before anything runs."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
from typing import TypeVar

import anyio
import msgspec

from radishwind.claims.claim_record import ClaimRecord
from radishwind.claims.claim_record import KeyedRequest
from radishwind.claims.claim_update_queue import ClaimUpdate
from radishwind.claims.claim_update_queue import ClaimUpdateQueue
from radishwind.claims.claim_writer import ClaimWriter
from radishwind.claims.duplicates import duplicate_outcome
from radishwind.claims.store_call_budget import StoreCallBudget
from radishwind.claims.store_circuit_breaker import StoreCircuitBreaker
from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.leases.shared_lease import SharedLease
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.outcomes.model import Unknown
from radishwind.store.base import Compare
from radishwind.store.base import Put
from radishwind.store.base import Store
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreError
from radishwind.store.base import StoreUnavailableError

#: How often to try to claim a key whose claim is released meanwhile.
_TRIES = 3

#: A claim lives at least so many times the longest deadline of its service.
_TTL_DEADLINES = 10

#: The revision of a key that the store does not have.
_ABSENT = 0

#: When to come back if the key was contended at each try (s).
_CONTENDED_RETRY_S = 1.0

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedClaim:
    """A claim that this node has written and nobody else may run under.

    Attributes:
      record: as written.
      store_key: where.
      mod_revision: the store's revision of it.
      lease_id: the lease it hangs on.
      ttl_s: how long it lives at least (s).
    """

    record: ClaimRecord
    store_key: str
    mod_revision: int
    lease_id: int
    ttl_s: int


def claim_ttl_s(call: Call) -> int:
    """Returns how long the claim of `call` must live at least (s).

    A rule may shorten it, but never near the longest deadline: what was
    claimed before a pause must be too late before its claim is gone.
    """
    longest_s = call.rules.max_deadline_ms / 1000
    return max(call.rules.claim_ttl_s, int(longest_s * _TTL_DEADLINES) + 60)


class ClaimRegistry:
    """Writes, reads and settles claims.

    Args:
      store: the store.
      clock: the clock.
      rng: makes the nonces.
      node_name: the node, for whoever reads a claim.
      gate: keeps calls from a store that failed.
      budget: of the store's writes.
      reads: of the store's reads, for telling repeats when writes are spent.
      writer: writes the claims.
      settler: writes what became of claims.
      lease: the lease that claims hang on.
      wait_s: how long a caller may wait for the store (s).
    """

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        rng: random.Random,
        node_name: str,
        breaker: StoreCircuitBreaker,
        write_budget: StoreCallBudget,
        read_budget: StoreCallBudget,
        writer: ClaimWriter,
        updates: ClaimUpdateQueue,
        lease: SharedLease,
        store_timeout_s: float,
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._node_name = node_name
        self._breaker = breaker
        self._write_budget = write_budget
        self._read_budget = read_budget
        self._writer = writer
        self._updates = updates
        self._lease = lease
        self._store_timeout_s = store_timeout_s

    async def claim(
        self, call: Call, sending: KeyedRequest
    ) -> OwnedClaim | Outcome:
        """Returns the claim if it is ours now, else what the caller is told.

        Nothing has been dispatched under any claim that is not returned.
        """
        now = self._clock.monotonic()
        if not self._breaker.try_acquire(now):
            return _unchecked(self._breaker.retry_after_s(now))
        try:
            outcome = await self._claim(call, sending)
        except StoreError:
            self._lease.clear()
            self._breaker.record_failure(self._clock.monotonic())
            return _unchecked(
                self._breaker.retry_after_s(self._clock.monotonic())
            )
        except BaseException:
            self._breaker.record_failure(self._clock.monotonic())
            raise
        self._breaker.record_success()
        return outcome

    async def run(self) -> None:
        """Does what is to be done between claims, for ever."""
        await self._writer.run()

    def release(self, claim: OwnedClaim) -> None:
        """Gives a claim back under which nothing ran."""
        self._updates.mark_undispatched(claim.record.nonce)
        self._updates.enqueue(
            ClaimUpdate(claim.store_key, claim.mod_revision, None, 0)
        )

    def record_response(self, claim: OwnedClaim, record: ClaimRecord) -> None:
        """Writes what the server answered."""
        self._updates.enqueue(
            ClaimUpdate(
                claim.store_key,
                claim.mod_revision,
                msgspec.json.encode(record),
                claim.lease_id,
            )
        )

    async def _claim(
        self, call: Call, sending: KeyedRequest
    ) -> OwnedClaim | Outcome:
        store_key = sending.store_key()
        for _ in range(_TRIES):
            if not self._write_budget.try_spend(self._clock.monotonic()):
                return await self._over_budget(sending, store_key)
            claim = await self._write(call, sending, store_key, _ABSENT)
            if claim is not None:
                return claim
            entry = await self._read(store_key)
            if entry is None:
                continue
            told = self._told(entry, sending)
            if told is not None:
                return told
            claim = await self._write(
                call, sending, store_key, entry.mod_revision
            )
            if claim is not None:
                return claim
        return _unchecked(_CONTENDED_RETRY_S)

    async def _write(
        self, call: Call, sending: KeyedRequest, store_key: str, revision: int
    ) -> OwnedClaim | None:
        """Writes a claim if the key's last revision is `revision`."""
        ttl_s = claim_ttl_s(call)
        lease_id = await self._lease_id(ttl_s)
        record = self._new_record(call, sending)
        put = Put(store_key, msgspec.json.encode(record), lease_id)
        compare = Compare(store_key, mod_revision=revision)
        try:
            result = await self._bounded(
                lambda: self._writer.write(compare, put)
            )
        except StoreAnswerLostError:
            mod_revision = await self._settle(record, store_key)
            if mod_revision is None:
                # Perhaps the store refused it since it lost the lease.
                self._lease.clear()
        except StoreUnavailableError:
            raise  # It is surely not written.
        except BaseException:
            # Cancelled: it may be written and will never be dispatched.
            self._give_up(record, store_key)
            raise
        else:
            mod_revision = result.revision if result.succeeded else None
        if mod_revision is None:
            return None
        return OwnedClaim(record, store_key, mod_revision, lease_id, ttl_s)

    def _new_record(self, call: Call, sending: KeyedRequest) -> ClaimRecord:
        return ClaimRecord(
            key=sending.key,
            nonce=f"{self._node_name}-{self._rng.getrandbits(96):024x}",
            node=self._node_name,
            fingerprint=sending.fingerprint,
            expires_ms=call.expires_ms,
            caller=sending.caller,
        )

    async def _settle(self, record: ClaimRecord, store_key: str) -> int | None:
        """Returns the revision of our claim if it was written, else `None`.

        Never writes: a second write could not tell its own conflict from a
        claim of somebody else. Where the store does not say, or the claim is
        not there yet, it is given up: nothing will be dispatched under it.
        """
        try:
            entry = await self._read(store_key)
        except BaseException:
            self._give_up(record, store_key)
            raise
        if entry is not None and record.nonce.encode() in entry.value:
            return entry.mod_revision
        self._give_up(record, store_key)
        return None

    def _give_up(self, record: ClaimRecord, store_key: str) -> None:
        """Never dispatches under a claim that may be written; removes it."""
        self._updates.mark_undispatched(record.nonce)
        self._updates.remove_unconfirmed(store_key, record.nonce)

    async def _lease_id(self, ttl_s: int) -> int:
        if not self._lease.has_valid_lease(ttl_s):
            self._write_budget.charge(self._clock.monotonic())
        return await self._bounded(lambda: self._lease.get_lease_id(ttl_s))

    async def _over_budget(
        self, sending: KeyedRequest, store_key: str
    ) -> Outcome:
        """Tells a repeat what is known, by a read; a first one is not run."""
        now = self._clock.monotonic()
        wait_s = self._write_budget.next_token_s(now)
        if not self._read_budget.try_spend(now):
            return _unchecked(wait_s)
        entry = await self._read(store_key)
        told = self._told(entry, sending) if entry is not None else None
        if told is not None:
            return told
        return NotRun(
            ResultCode.CLAIM_UNAVAILABLE,
            "This node's share of the store's writes is spent.",
            wait_s,
        )

    def _told(self, entry: StoreEntry, sending: KeyedRequest) -> Outcome | None:
        """Returns what a repeat is told, `None` if nothing ran or will."""
        try:
            record = msgspec.json.decode(entry.value, type=ClaimRecord)
        except msgspec.MsgspecError as exc:
            return Unknown(
                ResultCode.CLAIM_UNKNOWN, f"The claim cannot be read: {exc}"
            )
        if self._updates.is_undispatched(record.nonce):
            return None
        wall_ms = self._clock.wall_ms()
        return duplicate_outcome(record, sending, wall_ms)

    async def _read(self, store_key: str) -> StoreEntry | None:
        return await self._bounded(lambda: self._store.get(store_key))

    async def _bounded(self, ask: Callable[[], Awaitable[_T]]) -> _T:
        try:
            with anyio.fail_after(self._store_timeout_s):
                return await ask()
        except TimeoutError as exc:
            raise StoreAnswerLostError(
                f"expected an answer within {self._store_timeout_s} s, got none"
            ) from exc


def _unchecked(retry_after_s: float) -> Outcome:
    """The answer where the store does not say whether the key has run.

    Not `NotRun`: this sending was not dispatched, but an earlier one with the
    same key may have run, and the caller asks about the request.
    """
    return Unknown(
        ResultCode.CLAIM_UNCHECKED,
        "This sending was not run; whether an earlier one with this key was "
        "cannot be told now. Send again with the same key.",
        retry_after_s,
    )
