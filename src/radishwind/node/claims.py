"""Creates a node's guard for calls with an idempotency key."""

from collections.abc import Callable
import dataclasses
import random
from typing import Any

from radishwind.claims.at_most_once_guard import AtMostOnceGuard
from radishwind.claims.claim_cache import ClaimCache
from radishwind.claims.claim_registry import ClaimRegistry
from radishwind.claims.claim_update_queue import ClaimUpdateQueue
from radishwind.claims.claim_writer import BatchClaimWriter
from radishwind.claims.claim_writer import ClaimWriter
from radishwind.claims.store_call_budget import StoreCallBudget
from radishwind.claims.store_circuit_breaker import StoreCircuitBreaker
from radishwind.core.clock import Clock
from radishwind.leases.shared_lease import SharedLease
from radishwind.settings.node_settings import NodeSettings
from radishwind.store.base import Store
from radishwind.supervision import Duty


@dataclasses.dataclass(frozen=True, slots=True)
class NodeClaims:
    """The claim guard of a node with its queue and cache.

    Attributes:
      guard: runs calls with an idempotency key at most once; used by the entry
        pipeline.
      updates: writes the results of claims to the store.
      cache: the claims known to the node.
    """

    guard: AtMostOnceGuard
    updates: ClaimUpdateQueue
    cache: ClaimCache

    def duties(self) -> tuple[Duty, ...]:
        """Returns the duties: to run guarded calls, and to write claims."""
        return (
            *self.guard.duties(),
            Duty("claims.updates", self.updates.run),
        )

    async def wait_drained(self) -> None:
        """Returns once all guarded calls ended and their results are stored."""
        await self.guard.wait_idle()
        await self.updates.wait_drained()

    def status(self) -> dict[str, Any]:
        """Returns the claim fields of the node's status document."""
        return {
            "claims_running": self.guard.running_count,
            "claims_unwritten": self.updates.pending_count,
            "claims_dropped": self.updates.dropped_count,
            "claims_memory_bytes": self.cache.used_bytes,
        }


def make_claims(
    settings: NodeSettings,
    clock: Clock,
    rng: random.Random,
    store: Store,
    node_count: Callable[[], int],
    writer: ClaimWriter | None = None,
) -> NodeClaims:
    """Returns the claim guard of a node with its queue and cache.

    Args:
      settings: settings of the node.
      clock: the clock.
      rng: the random source.
      store: the store.
      node_count: returns the number of nodes that share the store's call rates.
      writer: writes the claims; by default in batches.
    """
    breaker = StoreCircuitBreaker(rng)
    write_budget = StoreCallBudget(
        lambda: settings.claim_writes_per_s / max(1, node_count())
    )
    read_budget = StoreCallBudget(
        lambda: settings.claim_reads_per_s / max(1, node_count())
    )
    updates = ClaimUpdateQueue(
        store=store,
        clock=clock,
        breaker=breaker,
        write_budget=write_budget,
        max_bytes=settings.claim_memory_bytes,
    )
    registry = ClaimRegistry(
        store=store,
        clock=clock,
        rng=rng,
        node_name=settings.target,
        breaker=breaker,
        write_budget=write_budget,
        read_budget=read_budget,
        writer=writer or BatchClaimWriter(store),
        updates=updates,
        lease=SharedLease(store, clock, settings.claim_lease_bucket_s),
        store_timeout_s=settings.claim_store_wait_s,
    )
    cache = ClaimCache(settings.claim_memory_bytes)
    guard = AtMostOnceGuard(
        clock=clock,
        registry=registry,
        cache=cache,
        max_response_bytes=settings.claim_answer_bytes,
        max_body_bytes=settings.claim_body_bytes,
        duplicate_wait_s=settings.claim_repeat_wait_s,
    )
    return NodeClaims(guard, updates, cache)
