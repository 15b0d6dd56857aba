"""Changes are in force in time beside random faults of the store and of nodes.

No watch reports anything here, so that the proofs alone must find each change.
"""

import asyncio
import random

import pytest
from tests.support.recency_net import RecencyNetwork

from radishwind.experiment.virtual_loop import run_in_virtual_time

NAMES = [f"{'abc'[n % 3]}-{n}" for n in range(12)]
BOUND_S = 2.0

#: A node is in touch once it and the store were undisturbed for this long (s).
STABLE_S = 3.0
LENGTH_S = 60.0
STEP_S = 0.05


class RandomPlay:
    """One seed: series of faults and of changes, and a check at each step."""

    def __init__(self, seed, reads_store=True):
        self.reads_store = reads_store
        self.rng = random.Random(seed)
        self.network = RecencyNetwork(NAMES, seed, (), bound_s=BOUND_S)
        self.node_disturbed_at = dict.fromkeys(NAMES, 0.0)
        self.store_disturbed_at = 0.0
        self.harms = {}
        self.changes = [(0.0, 1)]
        self.late = []
        self.away = set()
        self.checked = 0

    @property
    def now(self):
        return self.network.clock.monotonic()

    async def run(self):
        self.apply_harms()
        series = [
            asyncio.ensure_future(play())
            for play in (self.write, self.harm_store, self.harm_store)
            + (self.disturb_node,) * 2
        ]
        while self.now < LENGTH_S:
            await asyncio.sleep(STEP_S)
            self.check()
        for task in series:
            assert not task.done()
            task.cancel()
        self.network.stop()
        return self.late, self.checked

    async def write(self):
        while True:
            await asyncio.sleep(self.rng.expovariate(0.5))
            version = self.changes[-1][1] + 1
            self.network.store.write(version)
            self.changes.append((self.now, version))

    async def harm_store(self):
        while True:
            await asyncio.sleep(self.rng.uniform(1.0, 10.0))
            count = self.rng.choice((len(NAMES), self.rng.randrange(1, 12)))
            harm = dict.fromkeys(
                self.rng.sample(NAMES, count),
                self.rng.choice(("busy", "silent", 0.3)),
            )
            key = object()
            self.harms[key] = harm
            self.apply_harms()
            until = self.now + self.rng.uniform(0.2, 4.0)
            while self.now < until:
                self.store_disturbed_at = self.now
                await asyncio.sleep(STEP_S)
            del self.harms[key]
            self.apply_harms()

    def apply_harms(self):
        faults = {} if self.reads_store else dict.fromkeys(NAMES, "busy")
        for harm in self.harms.values():
            faults |= harm
        self.network.store.faults = faults

    async def disturb_node(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            name = self.rng.choice(sorted(set(NAMES) - self.away))
            away_s = self.rng.uniform(0.2, 3.0)
            self.away.add(name)
            await self.disturb(name, away_s)
            self.away.discard(name)

    async def disturb(self, name, away_s):
        """Pauses a node, or kills it and starts it again."""
        if self.rng.random() < 0.5:
            self.network.nodes[name].paused_until = self.now + away_s
            self.network.cut.add(name)
            await self.keep_disturbed(name, away_s)
            self.network.cut.discard(name)
            return
        version = self.network.nodes[name].routes.version
        self.network.kill(name)
        await self.keep_disturbed(name, away_s)
        # It got the routes of some peer, which may be old.
        self.network.start(name, version)
        self.network.connect_all()

    async def keep_disturbed(self, name, seconds):
        until = self.now + seconds
        while self.now < until:
            self.node_disturbed_at[name] = self.now
            await asyncio.sleep(STEP_S)
        self.node_disturbed_at[name] = self.now

    def check(self):
        now = self.now
        if now - self.store_disturbed_at < STABLE_S:
            return
        due = max(
            v for acked_at, v in self.changes if acked_at <= now - BOUND_S
        )
        for name, node in self.network.nodes.items():
            if now - self.node_disturbed_at[name] < STABLE_S:
                continue
            self.checked += 1
            if node.routes.version < due:
                self.late.append((round(now, 2), name, due))


def play(seed, *, reads_store=True):
    async def run():
        return await RandomPlay(seed, reads_store).run()

    return run_in_virtual_time(run())


@pytest.mark.parametrize("seed", range(8))
def test_changes_are_in_force_in_time_beside_random_faults(seed):
    late, checked = play(seed)

    assert late == []
    assert checked > 0


def test_weak_variant_that_trusts_silent_watches_is_caught():
    late, _ = play(0, reads_store=False)

    assert late != []
