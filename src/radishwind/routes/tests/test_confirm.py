"""What the store says of its newest configuration, and when that counts."""

import random

import anyio
import pytest

from radishwind.core import ManualClock
from radishwind.recency import FreshnessProof
from radishwind.routes.evacuation import EvacuatedDomains
from radishwind.routes.store_watcher import OperatorKeys
from radishwind.routes.store_watcher import StoreWatcher
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.base import StoreCompactedError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreUnavailableError
from radishwind.store.base import WatchEvent

pytestmark = pytest.mark.anyio


class Store:
    """Takes 0.25 s for an answer; counts the calls by kind."""

    def __init__(self, clock):
        self._clock = clock
        self.raw, self.written_at, self.now_at = b"7", 3, 3
        self.old_raw = b"5"
        self.error = None
        self.calls = []

    def write(self, raw):
        self.now_at += 1
        self.raw, self.written_at = raw, self.now_at

    async def revision(self):
        self.calls.append("revision")
        self._clock.advance(0.25)
        if self.error:
            raise self.error
        return self.now_at

    async def list(self, prefix, limit=0, *, allow_stale=False):
        self.calls.append("stale" if allow_stale else "list")
        self._clock.advance(0.25)
        if self.error:
            raise self.error
        raw = self.old_raw if allow_stale else self.raw
        if not raw:
            return ()
        return (StoreEntry("op/c", raw, 1, self.written_at, 0, self.now_at),)


class Node:
    def __init__(self):
        self.clock = ManualClock()
        self.store = Store(self.clock)
        self.taken = []
        self.side = StoreWatcher(
            keys=OperatorKeys("op/", "op/c", lambda key: None),
            store=self.store,
            clock=self.clock,
            rng=random.Random(1),
            is_watcher=lambda: True,
            on_config=self._take,
            on_evacuation=lambda told, source: None,
            evacuated=EvacuatedDomains,
        )

    def _take(self, raw, source):
        if not raw.isdigit():
            return 0
        self.taken.append(int(raw))
        return int(raw)


@pytest.fixture
def node():
    return Node()


async def test_the_first_confirmation_reads_all_and_counts_from_the_asking(
    node,
):
    node.clock.advance(10.0)

    assert await node.side.confirm() == FreshnessProof(10.0, 7)
    assert node.store.calls == ["list"]
    assert node.taken == [7]


async def test_while_nothing_changed_a_short_answer_does(node):
    await node.side.confirm()
    node.store.calls.clear()
    node.clock.advance(10.0)

    assert await node.side.confirm() == FreshnessProof(10.25, 7)
    assert node.store.calls == ["revision"]


async def test_after_any_change_all_is_read_anew(node):
    await node.side.confirm()
    node.store.calls.clear()
    node.store.now_at += 1

    assert (await node.side.confirm()).version == 7
    node.store.write(b"9")
    assert await node.side.confirm() == FreshnessProof(0.75, 9)
    assert node.store.calls == ["revision", "list"] * 2
    assert node.taken[-1] == 9


async def test_a_read_of_old_state_proves_nothing(node):
    assert await node.side.read(allow_stale=True)
    assert node.taken == [5]

    assert (await node.side.confirm()).version == 7
    assert node.store.calls == ["stale", "list"]


async def test_a_change_that_a_watch_told_is_known_at_its_revision(node):
    await node.side.confirm()
    node.store.write(b"9")
    entry = StoreEntry("op/c", b"9", 1, node.store.now_at)
    node.side._take(WatchEvent("op/c", entry, node.store.now_at))
    node.store.calls.clear()

    assert (await node.side.confirm()).version == 9
    assert node.store.calls == ["revision"]


async def test_a_watch_that_heard_of_a_change_late_proves_nothing(node):
    await node.side.confirm()
    node.store.write(b"8")
    entry = StoreEntry("op/c", b"8", 1, node.store.now_at)
    told = WatchEvent("op/c", entry, node.store.now_at)
    node.store.write(b"9")
    node.side._take(told)

    assert (await node.side.confirm()).version == 9


@pytest.mark.parametrize(
    "error",
    [
        StoreUnavailableError("expected status 200, got 503"),
        StoreUnavailableError("expected status 200, got 429"),
        StoreAnswerLostError("answer cut"),
        StoreCompactedError("expected history, got 410"),
    ],
)
@pytest.mark.parametrize("known", [False, True])
async def test_without_an_answer_nothing_is_proven(node, known, error):
    if known:
        await node.side.confirm()
    node.store.error = error

    assert await node.side.confirm() is None
    node.store.error = None
    assert (await node.side.confirm()).version == 7


@pytest.mark.parametrize("raw", [b"", b"malformed"])
async def test_a_configuration_that_cannot_be_read_proves_nothing(node, raw):
    await node.side.confirm()
    node.store.write(raw)

    assert await node.side.confirm() is None
    node.store.write(b"9")
    assert (await node.side.confirm()).version == 9


async def run_first(node):
    """Runs until the first read is done."""
    node.side._is_watcher = lambda: False
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.side.run, 0.0, lambda: bool(node.taken))
        with anyio.fail_after(5):
            while not node.taken:  # noqa: ASYNC110
                await anyio.sleep(0.001)
        tasks.cancel_scope.cancel()


async def test_the_first_read_proves_something_where_that_is_wanted(node):
    proofs = []
    node.side._take_proof = proofs.append

    await run_first(node)

    assert node.store.calls == ["list"]
    assert proofs == [FreshnessProof(0.0, 7)]


async def test_the_first_read_may_bring_old_state_where_it_is_not(node):
    await run_first(node)

    assert node.store.calls == ["stale"]
