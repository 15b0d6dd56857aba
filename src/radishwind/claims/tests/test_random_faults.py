"""Randomized tests of at-most-once execution.

Requests with the same keys are sent through several nodes while the store, the
servers and the nodes fail. All random choices come from the printed seeds;
`RADISHWIND_SEEDS=1000:3000` selects others. Each weakened variant of the code
must be detected, which shows that the checks are effective.
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
from radishwind.http.types import get_header
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
    """One seeded run.

    Attributes:
      cluster: the cluster under test.
      violations: descriptions of the guarantees that were violated.
      answered_count: number of requests that got a server's response.
    """

    def __init__(self, seed: int, **options) -> None:
        self.cluster = Cluster(seed, **options)
        self._rng = random.Random(-seed)
        self._nodes: list[EntryNode] = []
        self.violations: list[str] = []
        self.answered_count = 0

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
                self.violations.append(f"{key} ran more than once")

    async def _round(self, tasks) -> None:
        cluster, rng = self.cluster, self._rng
        cluster.store.is_down = rng.random() < 0.2
        node = rng.choice(self._nodes)
        is_paused = rng.random() < 0.2
        if is_paused:
            node.sender.resumed = anyio.Event()
        async with anyio.create_task_group() as requests:
            for _ in range(rng.randrange(1, 9)):
                requests.start_soon(self._send, rng.choice(self._nodes))
            for _ in range(rng.randrange(20)):
                await anyio.lowlevel.checkpoint()
            if rng.random() < 0.15:
                self._replace(rng.randrange(3), tasks)
            cluster.clock.advance(rng.choice((0.0, 0.3, 10.0)))
            if is_paused:
                node.sender.resumed.set()
                node.sender.resumed = None
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
        outcome = get_header(response.headers, "radishwind-outcome")
        if outcome == "not-run" and ran_before:
            self.violations.append(f"{key} had run but was reported as not run")
        if outcome is None:
            self.answered_count += 1
            if response.body != b"booked " + body:
                self.violations.append(
                    f"{key} got the response {response.body!r}"
                )


class ClaimAfterRun(ClaimGuard):
    """Weakened: writes the claim only after the call has run."""

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


class RunWithoutClaim(ClaimGuard):
    """Weakened: runs a call even if its claim cannot be written."""

    def __init__(self, guard, store, clock) -> None:
        self._guard = guard

    async def run(self, call, execute) -> Outcome:
        outcome = await self._guard.run(call, execute)
        if getattr(outcome, "code", None) is ResultCode.CLAIM_UNCHECKED:
            return await execute(call)
        return outcome


class UncheckedAsNotRun(RunWithoutClaim):
    """Weakened: reports "not run" if only this request was not run.

    An earlier request with the same key may have run.
    """

    async def run(self, call, execute) -> Outcome:
        outcome = await self._guard.run(call, execute)
        if getattr(outcome, "code", None) is ResultCode.CLAIM_UNCHECKED:
            return NotRun(ResultCode.CLAIM_UNAVAILABLE, "No store.", 1.0)
        return outcome


class RetryUnknown(CappedRetryPolicy):
    """Weakened: retries after an unknown outcome."""

    def should_retry(self, call, outcome, attempts, now) -> bool:
        return attempts < 3 and isinstance(outcome, Unknown)


def _run_sessions(seeds, **options) -> tuple[list[str], int]:
    """Returns the violations and the number of requests answered."""
    violations, answered_count = [], 0
    for seed in seeds:
        session = Session(seed, **options)
        anyio.run(session.run)
        violations += [f"seed {seed}: {text}" for text in session.violations]
        answered_count += session.answered_count
    return violations, answered_count


def test_key_runs_at_most_once_and_outcomes_are_true_under_random_faults():
    violations, answered_count = _run_sessions(SEEDS)
    print(f"seeds {SEEDS.start} to {SEEDS.stop - 1}: {answered_count} answered")

    assert not violations
    # A node that never runs anything must not pass.
    assert answered_count > len(SEEDS)


@pytest.mark.parametrize(
    ("options", "violation"),
    [
        ({"guard": lambda guard, store, clock: NoClaims()}, "more than once"),
        ({"guard": ClaimAfterRun}, "more than once"),
        ({"guard": RunWithoutClaim}, "more than once"),
        ({"guard": UncheckedAsNotRun}, "reported as not run"),
        ({"retries": RetryUnknown()}, "more than once"),
    ],
    ids=[
        "no claims",
        "claim after run",
        "run without claim",
        "unchecked as not run",
        "retry unknown",
    ],
)
def test_weakened_variant_is_detected(options, violation):
    violations, _ = _run_sessions(range(1, 41), **options)
    print(f"{len(violations)} violations, first: {violations[:1]}")

    assert any(violation in text for text in violations)
