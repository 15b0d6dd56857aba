"""A service profile outlives the nodes that measured it."""

import anyio
import pytest

from radishwind.admission.concurrency_estimator import CompletedRun
from radishwind.admission.concurrency_estimator import ConcurrencyEstimator
from radishwind.core import ManualClock
from radishwind.sidecar import service_profile
from radishwind.sidecar.service_profile import decode_profile
from radishwind.sidecar.service_profile import KEY_PREFIX
from radishwind.sidecar.service_profile import LocalEstimates
from radishwind.sidecar.service_profile import ProfileSynchronizer
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
        self.entries = {}
        self.fails = fails
        self.reads = 0

    async def get(self, key, *, allow_stale=False):
        self.reads += 1
        if self.fails:
            self.fails -= 1
            raise StoreUnavailableError("unavailable")
        value = self.entries.get(key)
        return StoreEntry(key, value, 1, 1, 0) if value else None

    async def transact(self, compares, operations):
        for put in operations:
            self.entries[put.key] = put.value


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
        load_monitor = LoadMonitor(self.clock)
        self.estimates = LocalEstimates(ConcurrencyEstimator(), load_monitor)
        self.estimates.concurrency_estimator.best_concurrency(SLOTS)
        self.synchronizer = ProfileSynchronizer(
            clock=self.clock,
            store=store,
            estimates=self.estimates,
            service=lambda: "s",
            is_on_duty=lambda: on_duty,
            first_start=first_start,
            rumor_bus=rumor_bus,
        )
        self.remaining_s = 0.0
        monkeypatch.setattr(service_profile.anyio, "sleep", self.sleep)

    async def sleep(self, duration_s):
        self.clock.advance(duration_s)
        self.remaining_s -= duration_s
        if self.remaining_s < 0:
            self.scope.cancel()
        await anyio.lowlevel.checkpoint()

    async def run(self, duration_s):
        self.remaining_s = duration_s
        with anyio.CancelScope() as self.scope:
            await self.synchronizer.run()

    def measure_knee(self):
        """Records runs that take longer beyond seven at once."""
        for i in range(400):
            number = 5 + i % 5
            duration_s = 0.1 * (1.7 if number > 7 else 1.0)
            self.estimates.concurrency_estimator.record_run(
                CompletedRun(number, 0.1, duration_s), i * 0.02
            )
        assert self.estimates.concurrency_estimator.best_concurrency(SLOTS) == 7


@pytest.fixture
def store():
    return Store()


async def test_starting_node_uses_stored_profile_as_prior(store, monkeypatch):
    store.entries[KEY_PREFIX + "s"] = KNEE
    node = Node(store, monkeypatch)

    await node.run(1.0)

    assert node.estimates.concurrency_estimator.best_concurrency(SLOTS) == 7


async def test_profile_is_stored_once(store, monkeypatch):
    node = Node(store, monkeypatch)
    node.measure_knee()

    await node.run(60.0)

    profile = decode_profile(store.entries.pop(KEY_PREFIX + "s"))
    assert profile.part == pytest.approx(7 / 9, abs=0.01)
    assert profile.slower == pytest.approx(1.7, abs=0.2)
    await node.run(60.0)
    assert store.entries == {}


async def test_profile_is_prior_after_server_restart(store, monkeypatch):
    node = Node(store, monkeypatch, on_duty=False)
    node.measure_knee()
    await node.run(5.0)

    node.estimates.concurrency_estimator.reset()

    assert node.estimates.concurrency_estimator.best_concurrency(SLOTS) == 7


async def test_refuted_period_is_removed_from_stored_profile(
    store, monkeypatch
):
    store.entries[KEY_PREFIX + "s"] = b'{"period-s":0.15}'
    node = Node(store, monkeypatch)
    await node.run(1.0)
    change_grid = node.estimates.change_grid
    for at in (1.0, 1.3):
        change_grid.record_change(at - 0.002, at + 0.002)
    at = 1.3
    for step in range(12):
        at += 0.4 + 0.037 * (step % 5)
        change_grid.record_change(at - 0.002, at + 0.002)
    change_grid.reset()

    await node.run(60.0)

    assert decode_profile(store.entries[KEY_PREFIX + "s"]).period_s == 0.0


async def test_only_node_on_duty_stores_profile(store, monkeypatch):
    node = Node(store, monkeypatch, on_duty=False)
    node.measure_knee()

    await node.run(60.0)

    assert store.entries == {}


async def test_first_start_reads_nothing(store, monkeypatch):
    node = Node(store, monkeypatch, first_start=True)

    await node.run(5.0)

    assert store.reads == 0


async def test_read_is_retried_while_store_is_unavailable(monkeypatch):
    store = Store(fails=2)
    store.entries[KEY_PREFIX + "s"] = KNEE
    node = Node(store, monkeypatch)

    await node.run(3.0)

    assert store.reads == 3
    assert node.estimates.concurrency_estimator.best_concurrency(SLOTS) == 7


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
async def test_malformed_stored_profile_is_ignored(store, monkeypatch, value):
    assert decode_profile(value) is None
    store.entries[KEY_PREFIX + "s"] = value
    node = Node(store, monkeypatch)

    await node.run(1.0)

    assert node.estimates.concurrency_estimator.best_concurrency(SLOTS) == SLOTS


async def test_measurements_soon_outweigh_stored_profile(store, monkeypatch):
    store.entries[KEY_PREFIX + "s"] = KNEE
    node = Node(store, monkeypatch)
    await node.run(1.0)
    estimator = node.estimates.concurrency_estimator

    now = 0.0
    for _ in range(1500):
        number = estimator.best_concurrency(SLOTS) + estimator.is_probe_due(now)
        now += 0.1 / number
        estimator.record_run(CompletedRun(number, 0.1, 0.1), now)

    assert estimator.best_concurrency(SLOTS) == SLOTS


def test_expected_interval_is_confirmed_by_two_changes():
    change_grid = ChangeGrid()
    change_grid.expect_interval(0.15)

    change_grid.record_change(0.998, 1.002)
    assert not change_grid.interval_s
    change_grid.record_change(1.448, 1.452)

    assert change_grid.interval_s == pytest.approx(0.15)
    assert change_grid.last_change_point(1.52) == pytest.approx(1.45, abs=0.01)


def test_expected_interval_is_dropped_when_changes_contradict_it():
    change_grid = ChangeGrid()
    change_grid.expect_interval(0.15)
    for at in (1.0, 1.3):
        change_grid.record_change(at - 0.002, at + 0.002)
    assert change_grid.interval_s

    at = 1.3
    for step in range(12):
        at += 0.4 + 0.037 * (step % 5)
        change_grid.record_change(at - 0.002, at + 0.002)

    assert change_grid.interval_s != pytest.approx(0.15)


def test_profiles_equal_within_tolerances_are_alike():
    profile = ServiceProfile(0.778, 1.7, 0.15)

    assert profile.is_like(ServiceProfile(0.778, 1.6, 0.1501))
    assert not profile.is_like(ServiceProfile(0.667, 1.7, 0.15))
    assert not profile.is_like(ServiceProfile(1.0, 1.0, 0.15))
    assert not profile.is_like(ServiceProfile(0.778, 1.7, 0.1))


class SynchronousRumorBus:
    """Delivers each rumor to every subscriber at once."""

    def __init__(self):
        self.handlers = []
        self.published = []

    def subscribe(self, topic, handler):
        self.handlers.append(handler)

    def publish(self, topic, key, version, value, ttl_s):
        self.published.append(key)
        for handler in self.handlers:
            handler(key, value)


async def test_published_profile_is_prior_of_other_nodes_of_service(
    store, monkeypatch
):
    rumor_bus = SynchronousRumorBus()
    other = Node(Store(), monkeypatch, on_duty=False, rumor_bus=rumor_bus)
    node = Node(store, monkeypatch, rumor_bus=rumor_bus)
    node.estimates.change_grid.interval_s = 0.15

    await node.run(10.0)

    assert rumor_bus.published == ["s"]
    assert other.estimates.change_grid.expected_s


async def test_node_not_on_duty_publishes_nothing(store, monkeypatch):
    rumor_bus = SynchronousRumorBus()
    node = Node(store, monkeypatch, on_duty=False, rumor_bus=rumor_bus)
    node.estimates.change_grid.interval_s = 0.15

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
async def test_rumor_of_other_service_or_malformed_is_ignored(
    store, monkeypatch, key, value
):
    rumor_bus = SynchronousRumorBus()
    node = Node(store, monkeypatch, on_duty=False, rumor_bus=rumor_bus)

    rumor_bus.publish("habits", key, 1, value, 1.0)

    assert not node.estimates.change_grid.expected_s
