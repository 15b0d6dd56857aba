"""Composes the guard of keyed calls for a node."""

from collections.abc import Callable
import dataclasses
import random
from typing import Any

import anyio.abc

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
from radishwind.settings.node import NodeSettings
from radishwind.store.base import Store


@dataclasses.dataclass(frozen=True, slots=True)
class NodeClaims:
    """The guard of a node and what it needs at start and stop.

    Attributes:
      guard: the guard, for the entry pipeline.
      updates: writes the results of claims to the store.
      cache: the claims known to the node.
    """

    guard: AtMostOnceGuard
    updates: ClaimUpdateQueue
    cache: ClaimCache

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Runs keyed calls and their settling in `tasks`."""
        self.guard.start(tasks)
        tasks.start_soon(self.updates.run)

    async def wait_drained(self) -> None:
        """Returns once every keyed call has ended and is written."""
        await self.guard.wait_idle()
        await self.updates.wait_drained()

    def status(self) -> dict[str, Any]:
        """Returns the fields of the node's status."""
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
    nodes: Callable[[], int],
    writer: ClaimWriter | None = None,
) -> NodeClaims:
    """Returns the claims of a node.

    Args:
      settings: the node's settings.
      clock: the clock.
      rng: the random source.
      store: the store.
      nodes: returns how many nodes share the store's rates.
      writer: writes the claims; in groups if none is given.
    """
    breaker = StoreCircuitBreaker(rng)
    writes = StoreCallBudget(
        lambda: settings.claim_writes_per_s / max(1, nodes())
    )
    reads = StoreCallBudget(
        lambda: settings.claim_reads_per_s / max(1, nodes())
    )
    updates = ClaimUpdateQueue(
        store=store,
        clock=clock,
        breaker=breaker,
        write_budget=writes,
        max_bytes=settings.claim_memory_bytes,
    )
    registry = ClaimRegistry(
        store=store,
        clock=clock,
        rng=rng,
        node_name=settings.target,
        breaker=breaker,
        write_budget=writes,
        read_budget=reads,
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
