"""Tests for the freshness proofs of the store watcher."""

import random

import anyio
import pytest

from radishwind.core import ManualClock
from radishwind.recency import FreshnessProof
from radishwind.routes import store_watcher
from radishwind.routes.evacuation import EvacuationState
from radishwind.routes.store_watcher import OperatorKeys
from radishwind.routes.store_watcher import StoreWatcher
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.base import StoreCompactedError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreUnavailableError
from radishwind.store.base import WatchEvent
from radishwind.store.position import StorePosition

pytestmark = pytest.mark.anyio


class Store:
    """Store stub that takes 0.25 s for each call and records the calls."""

    def __init__(self, clock):
        self._clock = clock
        self.raw, self.written_at, self.now_at = b"7", 3, 3
        self.stale_raw = b"5"
        self.error = None
        self.calls = []
        self.era = 0

    def write(self, raw):
        self.now_at += 1
        self.raw, self.written_at = raw, self.now_at

    async def position(self):
        self.calls.append("revision")
        self._clock.advance(0.25)
        if self.error:
            raise self.error
        return StorePosition(self.era, self.now_at)

    async def list(self, prefix, limit=0, *, allow_stale=False):
        self.calls.append("stale" if allow_stale else "list")
        self._clock.advance(0.25)
        if self.error:
            raise self.error
        raw = self.stale_raw if allow_stale else self.raw
        if not raw:
            return ()
        return (
            StoreEntry(
                "op/c", raw, 1, self.written_at, 0, self.now_at, self.era
            ),
        )


class Node:
    def __init__(self):
        self.clock = ManualClock()
        self.store = Store(self.clock)
        self.adopted = []
        self.watcher = StoreWatcher(
            keys=OperatorKeys("op/", "op/c", lambda key: None),
            store=self.store,
            clock=self.clock,
            rng=random.Random(1),
            is_watcher=lambda: True,
            on_config=self._adopt,
            on_evacuation=lambda domains, source: None,
            evacuation=EvacuationState(self.clock),
        )

    def _adopt(self, raw, source):
        if not raw.isdigit():
            return 0
        self.adopted.append(int(raw))
        return int(raw)


@pytest.fixture
def node():
    return Node()


async def test_first_confirmation_reads_all_and_is_dated_to_before_the_call(
    node,
):
    node.clock.advance(10.0)

    assert await node.watcher.confirm() == FreshnessProof(10.0, 7)
    assert node.store.calls == ["list"]
    assert node.adopted == [7]


async def test_unchanged_revision_confirms_without_a_full_read(node):
    await node.watcher.confirm()
    node.store.calls.clear()
    node.clock.advance(10.0)

    assert await node.watcher.confirm() == FreshnessProof(10.25, 7)
    assert node.store.calls == ["revision"]


async def test_any_change_causes_a_full_read(node):
    await node.watcher.confirm()
    node.store.calls.clear()
    node.store.now_at += 1

    assert (await node.watcher.confirm()).version == 7
    node.store.write(b"9")
    assert await node.watcher.confirm() == FreshnessProof(0.75, 9)
    assert node.store.calls == ["revision", "list"] * 2
    assert node.adopted[-1] == 9


async def test_stale_read_proves_nothing(node):
    assert await node.watcher.read(allow_stale=True)
    assert node.adopted == [5]

    assert (await node.watcher.confirm()).version == 7
    assert node.store.calls == ["stale", "list"]


async def test_watched_change_is_confirmed_at_its_revision(node):
    await node.watcher.confirm()
    node.store.write(b"9")
    entry = StoreEntry("op/c", b"9", 1, node.store.now_at)
    node.watcher._apply_event(WatchEvent("op/c", entry, node.store.now_at))
    node.store.calls.clear()

    assert (await node.watcher.confirm()).version == 9
    assert node.store.calls == ["revision"]


async def test_late_watch_event_proves_nothing(node):
    await node.watcher.confirm()
    node.store.write(b"8")
    entry = StoreEntry("op/c", b"8", 1, node.store.now_at)
    event = WatchEvent("op/c", entry, node.store.now_at)
    node.store.write(b"9")
    node.watcher._apply_event(event)

    assert (await node.watcher.confirm()).version == 9


@pytest.mark.parametrize(
    "error",
    [
        StoreUnavailableError("expected status 200, got 503"),
        StoreUnavailableError("expected status 200, got 429"),
        StoreAnswerLostError("response truncated"),
        StoreCompactedError("expected history, got 410"),
    ],
)
@pytest.mark.parametrize("known", [False, True])
async def test_failed_call_proves_nothing(node, known, error):
    if known:
        await node.watcher.confirm()
    node.store.error = error

    assert await node.watcher.confirm() is None
    node.store.error = None
    assert (await node.watcher.confirm()).version == 7


@pytest.mark.parametrize("raw", [b"", b"malformed"])
async def test_malformed_or_missing_configuration_proves_nothing(node, raw):
    await node.watcher.confirm()
    node.store.write(raw)

    assert await node.watcher.confirm() is None
    node.store.write(b"9")
    assert (await node.watcher.confirm()).version == 9


async def run_until_adopted(node):
    """Runs the watcher until the first read is done."""
    node.watcher._is_watcher = lambda: False
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.watcher.run, 0.0, lambda: bool(node.adopted))
        with anyio.fail_after(5):
            while not node.adopted:  # noqa: ASYNC110
                await anyio.sleep(0.001)
        tasks.cancel_scope.cancel()


async def test_first_read_yields_a_proof_if_one_is_needed(node):
    proofs = []
    node.watcher._on_proof = proofs.append

    await run_until_adopted(node)

    assert node.store.calls == ["list"]
    assert proofs == [FreshnessProof(0.0, 7)]


async def test_first_read_may_be_stale_if_no_proof_is_needed(node):
    await run_until_adopted(node)

    assert node.store.calls == ["stale"]


async def test_same_revision_of_a_later_era_confirms_nothing(node):
    await node.watcher.confirm()
    node.store.era += 1
    node.store.raw = b"9"
    node.store.calls.clear()

    assert (await node.watcher.confirm()).version == 9
    assert node.store.calls == ["revision", "list"]


async def test_store_that_lost_the_newest_version_proves_nothing(node):
    node.watcher.note_version(9)
    node.store.era += 1

    assert await node.watcher.confirm() is None
    node.store.write(b"9")
    assert (await node.watcher.confirm()).version == 9


class EnoughPausesError(Exception):
    """Ends a loop that would go on."""


async def test_malformed_configuration_is_read_less_and_less_often(
    node, monkeypatch
):
    pauses = []

    async def sleep(pause_s):
        pauses.append(pause_s)
        if len(pauses) == 40:
            raise EnoughPausesError

    monkeypatch.setattr(store_watcher.anyio, "sleep", sleep)
    node.watcher._on_proof = lambda proof: None
    node.store.write(b"malformed")

    with pytest.raises(EnoughPausesError):
        await node.watcher._follow(0.0, lambda: False)

    assert node.store.calls == ["list"] * (len(pauses) - 1)
    assert sum(pauses) / len(pauses) > 1.0
