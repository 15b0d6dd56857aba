"""Claims idempotency keys in the store, by a compare-and-swap."""

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
from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError
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
from radishwind.supervision import Duty

#: Attempts to claim a key, if its claim is changed or released meanwhile.
_MAX_ATTEMPTS = 3

#: Minimum time to live of a claim, as a multiple of its service's longest
#: deadline.
_MIN_TTL_DEADLINES = 10

#: Revision that stands for a key that does not exist.
_ABSENT_REVISION = 0

#: The largest claim that is read (bytes); etcd accepts 1.5 MB.
MAX_CLAIM_BYTES = 2 << 20

#: Retry delay if each attempt lost a race for the key.
_CONTENTION_RETRY_S = 1.0

_T = TypeVar("_T")

_decoder = JsonDecoder[ClaimRecord](ClaimRecord, "a claim", MAX_CLAIM_BYTES)


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedClaim:
    """A claim written by this node, under which only this node may run a call.

    Attributes:
      record: the record as written.
      store_key: the key in the store.
      mod_revision: the store's revision at which it was written.
      lease_id: ID of the lease the key is attached to.
      ttl_s: minimum time until the claim expires (s).
    """

    record: ClaimRecord
    store_key: str
    mod_revision: int
    lease_id: int
    ttl_s: int


def claim_ttl_s(call: Call) -> int:
    """Returns the minimum time to live of the claim of `call` (s).

    A rule may shorten it, but it stays far above the longest deadline: if this
    node is paused after it claimed a call, the deadline of the call must have
    passed before the claim expires and another node may run the call.
    """
    longest_s = call.rules.max_deadline_ms / 1000
    return max(call.rules.claim_ttl_s, int(longest_s * _MIN_TTL_DEADLINES) + 60)


class ClaimRegistry:
    """Claims keys, releases claims and records responses.

    Args:
      store: the store.
      clock: the clock.
      rng: source of the nonces.
      node_name: name of this node, written with each claim.
      breaker: circuit breaker for the store.
      write_budget: rate limit of writes to the store.
      read_budget: rate limit of the reads by which duplicates are detected
        while `write_budget` is spent.
      writer: writes the claims.
      updates: releases claims and writes responses in the background.
      lease: the lease that the claims are attached to.
      store_timeout_s: how long a call to the store may take (s).
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
        self, call: Call, request: KeyedRequest
    ) -> OwnedClaim | Outcome:
        """Claims the key of a request.

        Args:
          call: the call to be run.
          request: the keyed request of `call`.

        Returns:
          The claim if this node owns it now, else the outcome of the call. No
          call is ever dispatched under a claim that is not returned.
        """
        now = self._clock.monotonic()
        if not self._breaker.try_acquire(now):
            return _unchecked_outcome(self._breaker.retry_after_s(now))
        try:
            outcome = await self._claim(call, request)
        except StoreError:
            self._lease.clear()
            self._breaker.record_failure(self._clock.monotonic())
            return _unchecked_outcome(
                self._breaker.retry_after_s(self._clock.monotonic())
            )
        except BaseException:
            self._breaker.record_failure(self._clock.monotonic())
            raise
        self._breaker.record_success()
        return outcome

    def duties(self) -> tuple[Duty, ...]:
        """Returns the duties of the writer."""
        return self._writer.duties()

    def release(self, claim: OwnedClaim) -> None:
        """Releases a claim under which nothing ran."""
        self._updates.mark_undispatched(claim.record.nonce)
        self._updates.enqueue(
            ClaimUpdate(claim.store_key, claim.mod_revision, None, 0)
        )

    def record_response(self, claim: OwnedClaim, record: ClaimRecord) -> None:
        """Replaces a claim in the store by `record`, with the response."""
        self._updates.enqueue(
            ClaimUpdate(
                claim.store_key,
                claim.mod_revision,
                msgspec.json.encode(record),
                claim.lease_id,
            )
        )

    async def _claim(
        self, call: Call, request: KeyedRequest
    ) -> OwnedClaim | Outcome:
        store_key = request.store_key()
        for _ in range(_MAX_ATTEMPTS):
            if not self._write_budget.try_spend(self._clock.monotonic()):
                return await self._outcome_over_budget(request, store_key)
            claim = await self._write(
                call, request, store_key, _ABSENT_REVISION
            )
            if claim is not None:
                return claim
            entry = await self._read(store_key)
            if entry is None:
                continue
            outcome = self._duplicate_outcome(entry, request)
            if outcome is not None:
                return outcome
            claim = await self._write(
                call, request, store_key, entry.mod_revision
            )
            if claim is not None:
                return claim
        return _unchecked_outcome(_CONTENTION_RETRY_S)

    async def _write(
        self, call: Call, request: KeyedRequest, store_key: str, revision: int
    ) -> OwnedClaim | None:
        """Writes a claim if the last revision of the key is `revision`.

        Returns:
          The claim, `None` if it was not written or that is unknown. In the
          latter case its removal is queued.
        """
        ttl_s = claim_ttl_s(call)
        lease_id = await self._lease_id(ttl_s)
        record = self._new_record(call, request)
        put = Put(store_key, msgspec.json.encode(record), lease_id)
        compare = Compare(store_key, mod_revision=revision)
        try:
            result = await self._with_timeout(
                lambda: self._writer.write(compare, put)
            )
        except StoreAnswerLostError:
            mod_revision = await self._confirm(record, store_key)
            if mod_revision is None:
                # The store may have rejected the write since it has lost the
                # lease.
                self._lease.clear()
        except StoreUnavailableError:
            raise  # The claim is certainly not written.
        except BaseException:
            # Cancelled: the claim may be written, but its call will never be
            # dispatched.
            self._abandon(record, store_key)
            raise
        else:
            mod_revision = result.revision if result.succeeded else None
        if mod_revision is None:
            return None
        return OwnedClaim(record, store_key, mod_revision, lease_id, ttl_s)

    def _new_record(self, call: Call, request: KeyedRequest) -> ClaimRecord:
        return ClaimRecord(
            key=request.key,
            nonce=f"{self._node_name}-{self._rng.getrandbits(96):024x}",
            node=self._node_name,
            fingerprint=request.fingerprint,
            expires_ms=call.expires_ms,
            caller=request.caller,
        )

    async def _confirm(self, record: ClaimRecord, store_key: str) -> int | None:
        """Reads whether a claim was written.

        The claim is not written again, since a conflict with the first write
        could not be distinguished from a claim by another node. If the read
        fails, or the claim is not in the store (yet), it is abandoned: nothing
        will be dispatched under it.

        Returns:
          The claim's revision, `None` if it was not found.
        """
        try:
            entry = await self._read(store_key)
        except BaseException:
            self._abandon(record, store_key)
            raise
        if entry is not None and record.nonce.encode() in entry.value:
            return entry.mod_revision
        self._abandon(record, store_key)
        return None

    def _abandon(self, record: ClaimRecord, store_key: str) -> None:
        """Queues the removal of a claim that may have been written.

        Nothing may be dispatched under it.
        """
        self._updates.mark_undispatched(record.nonce)
        self._updates.enqueue_removal(store_key, record.nonce)

    async def _lease_id(self, ttl_s: int) -> int:
        """Returns the ID of a lease of at least `ttl_s`, granted if needed."""
        if not self._lease.has_valid_lease(ttl_s):
            self._write_budget.charge(self._clock.monotonic())
        return await self._with_timeout(lambda: self._lease.get_lease_id(ttl_s))

    async def _outcome_over_budget(
        self, request: KeyedRequest, store_key: str
    ) -> Outcome:
        """Returns the outcome while the write budget is spent.

        A duplicate is detected by a read of the store. Any other request is
        not run.
        """
        now = self._clock.monotonic()
        retry_after_s = self._write_budget.next_token_s(now)
        if not self._read_budget.try_spend(now):
            return _unchecked_outcome(retry_after_s)
        entry = await self._read(store_key)
        outcome = (
            self._duplicate_outcome(entry, request)
            if entry is not None
            else None
        )
        if outcome is not None:
            return outcome
        return NotRun(
            ResultCode.CLAIM_UNAVAILABLE,
            "This node's share of the store's write rate is spent.",
            retry_after_s,
        )

    def _duplicate_outcome(
        self, entry: StoreEntry, request: KeyedRequest
    ) -> Outcome | None:
        """Returns the outcome of a request whose key is claimed by `entry`.

        Returns:
          The outcome, `None` if nothing ran, or will run, under that claim, so
          that this node may take it over.
        """
        try:
            record = _decoder.decode(entry.value)
        except MalformedInputError as exc:
            return Unknown(
                ResultCode.CLAIM_UNKNOWN,
                f"The stored claim is malformed: {exc}",
            )
        if self._updates.is_undispatched(record.nonce):
            return None
        wall_ms = self._clock.wall_ms()
        return duplicate_outcome(record, request, wall_ms)

    async def _read(self, store_key: str) -> StoreEntry | None:
        return await self._with_timeout(lambda: self._store.get(store_key))

    async def _with_timeout(self, make_call: Callable[[], Awaitable[_T]]) -> _T:
        """Makes a call to the store, bounded by `store_timeout_s`."""
        try:
            with anyio.fail_after(self._store_timeout_s):
                return await make_call()
        except TimeoutError as exc:
            raise StoreAnswerLostError(
                f"expected a response within {self._store_timeout_s} s, got "
                "none"
            ) from exc


def _unchecked_outcome(retry_after_s: float) -> Outcome:
    """Returns the outcome if the store could not be asked about a key.

    It is not `NotRun`. This request was not dispatched, but an earlier one with
    the same key may have run, and for the caller they are the same request.
    """
    return Unknown(
        ResultCode.CLAIM_UNCHECKED,
        "This request was not run; whether an earlier one with this key was is "
        "unknown at present. Send it again with the same key.",
        retry_after_s,
    )
