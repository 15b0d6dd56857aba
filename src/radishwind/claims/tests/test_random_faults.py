"""Keys, repeats at several nodes and faults, drawn from printed seeds.

`RADISHWIND_SEEDS=1000:3000` draws from others.
"""

import os
import random

import anyio
import pytest
from tests.support.claim_cluster import Cluster
from tests.support.claim_cluster import EntryNode

from radishwind.claims import ClaimGuard
from radishwind.claims import NoClaims
from radishwind.core import ResultCode
from radishwind.http.types import header
from radishwind.outcomes import NotRun
from radishwind.outcomes import Outcome
from radishwind.outcomes import Unknown
from radishwind.retries import CappedRetryPolicy
from radishwind.store import Compare
from radishwind.store import Put
from radishwind.store import StoreError

SEEDS = range(*map(int, os.environ.get("RADISHWIND_SEEDS", "1:201").split(":")))
KEYS = ("k1", "k2", "k3", "k4", "k5")


class Session:
    """One seeded run; `broken` names the promises it saw broken."""

    def __init__(self, seed: int, **options) -> None:
        self.cluster = Cluster(seed, **options)
        self._rng = random.Random(-seed)
        self._nodes: list[EntryNode] = []
        self.broken: list[str] = []
        self.done = 0

    async def run(self) -> None:
        cluster = self.cluster
        cluster.store.fault_share = self._rng.choice((0.0, 0.1, 0.4))
        cluster.servers.fault_share = self._rng.choice((0.0, 0.2))
        async with anyio.create_task_group() as tasks:
            for number in range(3):
                self._nodes.append(cluster.node(f"entry-{number}"))
                tasks.start_soon(self._nodes[number].main)
            await anyio.lowlevel.checkpoint()
            for _ in range(12):
                await self._round(tasks)
            tasks.cancel_scope.cancel()
        for key in KEYS:
            if cluster.servers.runs[key] > 1:
                self.broken.append(f"{key} ran more than once")

    async def _round(self, tasks) -> None:
        cluster, rng = self.cluster, self._rng
        cluster.store.down = rng.random() < 0.2
        node = rng.choice(self._nodes)
        paused = rng.random() < 0.2
        if paused:
            node.sender.paused = anyio.Event()
        async with anyio.create_task_group() as sendings:
            for _ in range(rng.randrange(1, 9)):
                sendings.start_soon(self._send, rng.choice(self._nodes))
            for _ in range(rng.randrange(20)):
                await anyio.lowlevel.checkpoint()
            if rng.random() < 0.15:
                self._replace(rng.randrange(3), tasks)
            cluster.clock.advance(rng.choice((0.0, 0.3, 10.0)))
            if paused:
                node.sender.paused.set()
                node.sender.paused = None
        if rng.random() < 0.5:
            await cluster.store.deliver_late()
        for each in self._nodes:
            await each.claims.updates.flush()
        cluster.clock.advance(rng.choice((0.0, 1.0, 10.0)))

    def _replace(self, number: int, tasks) -> None:
        self._nodes[number].crash()
        self._nodes[number] = self.cluster.node(f"entry-{number}")
        tasks.start_soon(self._nodes[number].main)

    async def _send(self, node: EntryNode) -> None:
        key = self._rng.choice(KEYS)
        body = f"{key} body".encode()
        if self._rng.random() < 0.1:
            body += b" other"
        ran_before = self.cluster.servers.runs_by_body[body]
        response = await node.send(key, body)
        told = header(response.headers, "radishwind-outcome")
        if told == "not-run" and ran_before:
            self.broken.append(f"{key} had run and was told not run")
        if told is None:
            self.done += 1
            if response.body != b"booked " + body:
                self.broken.append(f"{key} got the answer {response.body!r}")


class ClaimsAfterwards(ClaimGuard):
    """Weak: writes the claim once the call has run."""

    def __init__(self, guard, store, clock) -> None:
        self._store = store

    async def run(self, call, execute) -> Outcome:
        key = f"/claims/{call.key}"
        try:
            if await self._store.get(key) is not None:
                return Unknown(ResultCode.CLAIM_UNKNOWN, "Claimed.")
            outcome = await execute(call)
            await self._store.transact(
                (Compare(key, mod_revision=0),), (Put(key, b"{}"),)
            )
        except StoreError:
            return Unknown(ResultCode.CLAIM_UNCHECKED, "No store.")
        return outcome


class RunsWithoutStore(ClaimGuard):
    """Weak: runs a call whose claim cannot be written."""

    def __init__(self, guard, store, clock) -> None:
        self._guard = guard

    async def run(self, call, execute) -> Outcome:
        outcome = await self._guard.run(call, execute)
        if getattr(outcome, "code", None) is ResultCode.CLAIM_UNCHECKED:
            return await execute(call)
        return outcome


class TellsNotRun(RunsWithoutStore):
    """Weak: takes "this sending was not run" for "not run"."""

    async def run(self, call, execute) -> Outcome:
        outcome = await self._guard.run(call, execute)
        if getattr(outcome, "code", None) is ResultCode.CLAIM_UNCHECKED:
            return NotRun(ResultCode.CLAIM_UNAVAILABLE, "No store.", 1.0)
        return outcome


class RetryUnknown(CappedRetryPolicy):
    """Weak: tries again after an unknown outcome."""

    def should_retry(self, call, outcome, attempts, now) -> bool:
        return attempts < 3 and isinstance(outcome, Unknown)


def _broken(seeds, **options) -> tuple[list[str], int]:
    broken, done = [], 0
    for seed in seeds:
        session = Session(seed, **options)
        anyio.run(session.run)
        broken += [f"seed {seed}: {text}" for text in session.broken]
        done += session.done
    return broken, done


def test_no_seed_runs_a_key_twice_or_tells_an_untruth():
    broken, done = _broken(SEEDS)
    print(f"seeds {SEEDS.start} to {SEEDS.stop - 1}: {done} answered")

    assert not broken
    assert done > len(SEEDS)  # It would be easy never to run anything.


@pytest.mark.parametrize(
    ("options", "promise"),
    [
        ({"guard": lambda guard, store, clock: NoClaims()}, "more than once"),
        ({"guard": ClaimsAfterwards}, "more than once"),
        ({"guard": RunsWithoutStore}, "more than once"),
        ({"guard": TellsNotRun}, "told not run"),
        ({"retries": RetryUnknown()}, "more than once"),
    ],
    ids=["none", "afterwards", "without store", "tells not run", "retries"],
)
def test_weak_variant_is_caught(options, promise):
    broken, _ = _broken(range(1, 41), **options)
    print(f"{len(broken)} broken promises, first: {broken[:1]}")

    assert any(promise in text for text in broken)
