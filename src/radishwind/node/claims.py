"""Composes the guard of keyed calls for a node."""

from collections.abc import Callable
import dataclasses
import random
from typing import Any

import anyio.abc

from radishwind.claims.budget import StoreCallBudget
from radishwind.claims.gate import StoreGate
from radishwind.claims.keyed import KeyedClaims
from radishwind.claims.memory import ClaimMemory
from radishwind.claims.registry import ClaimRegistry
from radishwind.claims.settler import ClaimSettler
from radishwind.claims.writer import ClaimWriter
from radishwind.claims.writer import GroupWriter
from radishwind.core.clock import Clock
from radishwind.leases.shared import SharedLease
from radishwind.settings.node import NodeSettings
from radishwind.store.base import Store


@dataclasses.dataclass(frozen=True, slots=True)
class NodeClaims:
    """The guard of a node and what it needs at start and stop.

    Attributes:
      guard: the guard, for the entry pipeline.
      settler: writes what became of claims.
      memory: what the node remembers.
    """

    guard: KeyedClaims
    settler: ClaimSettler
    memory: ClaimMemory

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Runs keyed calls and their settling in `tasks`."""
        self.guard.start(tasks)
        tasks.start_soon(self.settler.run)

    async def finished(self) -> None:
        """Returns once every keyed call has ended and is written."""
        await self.guard.finished()
        await self.settler.settled()

    def status(self) -> dict[str, Any]:
        """Returns the fields of the node's status."""
        return {
            "claims_running": self.guard.running,
            "claims_unwritten": self.settler.waiting,
            "claims_dropped": self.settler.dropped,
            "claims_memory_bytes": self.memory.held_bytes,
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
    gate = StoreGate(rng)
    writes = StoreCallBudget(
        lambda: settings.claim_writes_per_s / max(1, nodes())
    )
    reads = StoreCallBudget(
        lambda: settings.claim_reads_per_s / max(1, nodes())
    )
    settler = ClaimSettler(
        store=store,
        clock=clock,
        gate=gate,
        budget=writes,
        limit_bytes=settings.claim_memory_bytes,
    )
    registry = ClaimRegistry(
        store=store,
        clock=clock,
        rng=rng,
        node_name=settings.target,
        gate=gate,
        budget=writes,
        reads=reads,
        writer=writer or GroupWriter(store),
        settler=settler,
        lease=SharedLease(store, clock, settings.claim_lease_bucket_s),
        wait_s=settings.claim_store_wait_s,
    )
    memory = ClaimMemory(settings.claim_memory_bytes)
    guard = KeyedClaims(
        clock=clock,
        registry=registry,
        memory=memory,
        answer_bytes=settings.claim_answer_bytes,
        body_bytes=settings.claim_body_bytes,
        repeat_wait_s=settings.claim_repeat_wait_s,
    )
    return NodeClaims(guard, settler, memory)
