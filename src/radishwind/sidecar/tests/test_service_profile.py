"""What was found of a service's servers outlives the nodes that found it."""

import anyio
import pytest

from radishwind.admission.concurrency_estimator import CompletedRun
from radishwind.admission.concurrency_estimator import ConcurrencyEstimator
from radishwind.core import ManualClock
from radishwind.sidecar import service_profile
from radishwind.sidecar.service_profile import LocalEstimates
from radishwind.sidecar.service_profile import PREFIX
from radishwind.sidecar.service_profile import ProfileSynchronizer
from radishwind.sidecar.service_profile import read_record
from radishwind.sidecar.service_profile import ServiceProfile
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreUnavailableError
from radishwind.target.change_grid import ChangeGrid
from radishwind.target.load_monitor import LoadMonitor

pytestmark = pytest.mark.anyio

KNEE = b'{"part":0.778,"slower":1.7,"period-s":0.15}'
SLOTS = 9


class Store:
    def __init__(self, fails=0):
        self.kept = {}
        self.fails = fails
        self.reads = 0

    async def get(self, key, *, allow_stale=False):
        self.reads += 1
        if self.fails:
            self.fails -= 1
            raise StoreUnavailableError("away")
        value = self.kept.get(key)
        return StoreEntry(key, value, 1, 1, 0) if value else None

    async def transact(self, compares, operations):
        for put in operations:
            self.kept[put.key] = put.value


class Node:
    def __init__(
        self,
        store,
        monkeypatch,
        first_start=False,
        on_duty=True,
        rumor_bus=None,
    ):
        self.clock = ManualClock()
        pulse = LoadMonitor(self.clock)
        self.findings = LocalEstimates(ConcurrencyEstimator(), pulse)
        self.findings.concurrency_estimator.best_concurrency(SLOTS)
        self.keeper = ProfileSynchronizer(
            clock=self.clock,
            store=store,
            findings=self.findings,
            service=lambda: "s",
            is_on_duty=lambda: on_duty,
            first_start=first_start,
            rumor_bus=rumor_bus,
        )
        self.left_s = 0.0
        monkeypatch.setattr(service_profile.anyio, "sleep", self.sleep)

    async def sleep(self, for_s):
        self.clock.advance(for_s)
        self.left_s -= for_s
        if self.left_s < 0:
            self.scope.cancel()
        await anyio.lowlevel.checkpoint()

    async def run(self, for_s):
        self.left_s = for_s
        with anyio.CancelScope() as self.scope:
            await self.keeper.run()

    def find_knee(self):
        """Sees runs that take longer beyond seven."""
        for i in range(400):
            number = 5 + i % 5
            took_s = 0.1 * (1.7 if number > 7 else 1.0)
            self.findings.concurrency_estimator.record_run(
                CompletedRun(number, 0.1, took_s), i * 0.02
            )
        assert self.findings.concurrency_estimator.best_concurrency(SLOTS) == 7


@pytest.fixture
def store():
    return Store()


async def test_a_node_that_starts_begins_with_what_is_kept(store, monkeypatch):
    store.kept[PREFIX + "s"] = KNEE
    node = Node(store, monkeypatch)

    await node.run(1.0)

    assert node.findings.concurrency_estimator.best_concurrency(SLOTS) == 7


async def test_what_is_found_is_kept_once(store, monkeypatch):
    node = Node(store, monkeypatch)
    node.find_knee()

    await node.run(60.0)

    record = read_record(store.kept.pop(PREFIX + "s"))
    assert record.part == pytest.approx(7 / 9, abs=0.01)
    assert record.slower == pytest.approx(1.7, abs=0.2)
    await node.run(60.0)
    assert store.kept == {}


async def test_the_next_life_of_the_server_begins_with_it(store, monkeypatch):
    node = Node(store, monkeypatch, on_duty=False)
    node.find_knee()
    await node.run(5.0)

    node.findings.concurrency_estimator.reset()

    assert node.findings.concurrency_estimator.best_concurrency(SLOTS) == 7


async def test_a_period_that_does_not_hold_is_withdrawn(store, monkeypatch):
    store.kept[PREFIX + "s"] = b'{"period-s":0.15}'
    node = Node(store, monkeypatch)
    await node.run(1.0)
    spells = node.findings.change_grid
    for at in (1.0, 1.3):
        spells.record_change(at - 0.002, at + 0.002)
    at = 1.3
    for step in range(12):
        at += 0.4 + 0.037 * (step % 5)
        spells.record_change(at - 0.002, at + 0.002)
    spells.reset()

    await node.run(60.0)

    assert read_record(store.kept[PREFIX + "s"]).period_s == 0.0


async def test_only_one_node_keeps_it(store, monkeypatch):
    node = Node(store, monkeypatch, on_duty=False)
    node.find_knee()

    await node.run(60.0)

    assert store.kept == {}


async def test_a_first_start_reads_nothing(store, monkeypatch):
    node = Node(store, monkeypatch, first_start=True)

    await node.run(5.0)

    assert store.reads == 0


async def test_a_store_that_is_away_is_asked_a_few_times(monkeypatch):
    store = Store(fails=2)
    store.kept[PREFIX + "s"] = KNEE
    node = Node(store, monkeypatch)

    await node.run(3.0)

    assert store.reads == 3
    assert node.findings.concurrency_estimator.best_concurrency(SLOTS) == 7


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{",
        b"[]",
        b'{"part":0}',
        b'{"part":"x"}',
        b'{"slower":0.5}',
        b'{"period-s":1e9}',
        b'{"period-s":0.001}',
        b"\xff",
    ],
)
async def test_a_record_of_another_writer_is_left_out(
    store, monkeypatch, value
):
    assert read_record(value) is None
    store.kept[PREFIX + "s"] = value
    node = Node(store, monkeypatch)

    await node.run(1.0)

    assert node.findings.concurrency_estimator.best_concurrency(SLOTS) == SLOTS


async def test_what_is_seen_soon_outweighs_what_was_kept(store, monkeypatch):
    store.kept[PREFIX + "s"] = KNEE
    node = Node(store, monkeypatch)
    await node.run(1.0)
    room = node.findings.concurrency_estimator

    now = 0.0
    for _ in range(1500):
        number = room.best_concurrency(SLOTS) + room.is_probe_due(now)
        now += 0.1 / number
        room.record_run(CompletedRun(number, 0.1, 0.1), now)

    assert room.best_concurrency(SLOTS) == SLOTS


def test_a_period_that_was_kept_is_believed_after_two_changes():
    spells = ChangeGrid()
    spells.expect_interval(0.15)

    spells.record_change(0.998, 1.002)
    assert not spells.interval_s
    spells.record_change(1.448, 1.452)

    assert spells.interval_s == pytest.approx(0.15)
    assert spells.last_change_point(1.52) == pytest.approx(1.45, abs=0.01)


def test_a_period_that_does_not_hold_any_more_is_given_up():
    spells = ChangeGrid()
    spells.expect_interval(0.15)
    for at in (1.0, 1.3):
        spells.record_change(at - 0.002, at + 0.002)
    assert spells.interval_s

    at = 1.3
    for step in range(12):
        at += 0.4 + 0.037 * (step % 5)
        spells.record_change(at - 0.002, at + 0.002)

    assert spells.interval_s != pytest.approx(0.15)


def test_records_that_tell_the_same_are_alike():
    record = ServiceProfile(0.778, 1.7, 0.15)

    assert record.is_like(ServiceProfile(0.778, 1.6, 0.1501))
    assert not record.is_like(ServiceProfile(0.667, 1.7, 0.15))
    assert not record.is_like(ServiceProfile(1.0, 1.0, 0.15))
    assert not record.is_like(ServiceProfile(0.778, 1.7, 0.1))


class Board:
    """Hands each rumor to every node at once."""

    def __init__(self):
        self.handlers = []
        self.published = []

    def subscribe(self, topic, handler):
        self.handlers.append(handler)

    def publish(self, topic, key, version, value, ttl_s):
        self.published.append(key)
        for handler in self.handlers:
            handler(key, value)


async def test_what_one_node_finds_the_others_of_its_service_expect(
    store, monkeypatch
):
    rumor_bus = Board()
    other = Node(Store(), monkeypatch, on_duty=False, rumor_bus=rumor_bus)
    node = Node(store, monkeypatch, rumor_bus=rumor_bus)
    node.findings.change_grid.interval_s = 0.15

    await node.run(10.0)

    assert rumor_bus.published == ["s"]
    assert other.findings.change_grid.expected_s


async def test_a_node_that_is_not_on_duty_tells_nothing(store, monkeypatch):
    rumor_bus = Board()
    node = Node(store, monkeypatch, on_duty=False, rumor_bus=rumor_bus)
    node.findings.change_grid.interval_s = 0.15

    await node.run(10.0)

    assert rumor_bus.published == []


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("another", b'{"period-s":0.15}'),
        ("s", b'{"period-s":-1}'),
        ("s", b"junk"),
        ("s", b'{"period-s":0.000001}'),
    ],
)
async def test_no_word_is_taken_that_is_of_another_service_or_unreadable(
    store, monkeypatch, key, value
):
    rumor_bus = Board()
    node = Node(store, monkeypatch, on_duty=False, rumor_bus=rumor_bus)

    rumor_bus.publish("habits", key, 1, value, 1.0)

    assert not node.findings.change_grid.expected_s
