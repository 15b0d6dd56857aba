"""Nodes as processes whose store comes back from older copies."""

import asyncio
import signal

import pytest

from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import Place
from radishwind.standins.platform_fleet import route
from radishwind.standins.store_faults import StoreFaults
from tests.test_platform_processes import is_served
from tests.test_platform_processes import wait_for

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

PLACES = [
    Place(f"{domain}-{number}", f"127.0.21.{10 * index + number}", domain, "s")
    for index, domain in enumerate("abc", 1)
    for number in (1, 2)
]
DOMAIN = "c"
KEY = f"op/evacuate/{DOMAIN}"
ROUTES = [route("s", "unsafe")]

#: Time for an evacuation to take effect (s): `evacuate-ms`.
EVACUATE_S = 5.0


@pytest.fixture
async def fleet(tmp_path):
    bounds = ("evacuate-ms=5000",)
    async with Fleet(PLACES, tmp_path, bounds=bounds) as running:
        running.configure(ROUTES)
        await running.start(7, spell_s=0.0)
        for instance in running.instances.values():
            await wait_for(lambda i=instance: is_served(running, i, "/s/x"))
        yield running


async def come_back(fleet, copy):
    """Takes the store away for a moment; it comes back from `copy`."""
    newest = fleet.store.value("op/config")
    fleet.store.faults = StoreFaults(down="reset", cut=True)
    await asyncio.sleep(0.3)
    fleet.store.restore(copy)
    fleet.store.faults = StoreFaults()
    fleet.store.put("op/config", newest)


def count_runs(fleet):
    return sum(
        i.server.runs.total()
        for i in fleet.instances.values()
        if i.place.failure_domain == DOMAIN
    )


async def is_evacuated(fleet):
    """Returns whether none of several requests runs in the domain."""
    before = count_runs(fleet)
    for instance in fleet.instances.values():
        for _ in range(6):
            await fleet.ask(instance, "/s/x", "POST")
    return count_runs(fleet) == before


async def assert_evacuates(fleet):
    """Evacuates the domain, and checks it after the bound and later."""
    fleet.store.put(KEY, b"1")
    await asyncio.sleep(EVACUATE_S)
    for _ in range(3):
        assert await is_evacuated(fleet)
        await asyncio.sleep(0.5)


async def take_back(fleet):
    fleet.store.remove(KEY)

    async def is_back():
        return not await is_evacuated(fleet)

    await wait_for(is_back)


async def test_evacuation_is_ignored_by_no_node_after_drills_of_the_store(
    fleet,
):
    copy = fleet.store.copy()
    fleet.store.put(KEY, b"1")
    await wait_for(lambda: is_evacuated(fleet))
    for _ in range(4):
        fleet.configure(ROUTES)
        await asyncio.sleep(0.2)
    await take_back(fleet)

    await come_back(fleet, copy)
    await assert_evacuates(fleet)
    await take_back(fleet)

    await come_back(fleet, copy)
    restarted = fleet.instances["a-1"]
    restarted.signal_node(signal.SIGKILL)
    await restarted.node_ended()
    await restarted.start_node()
    await fleet.until_ready(restarted)
    await assert_evacuates(fleet)
    assert fleet.store.restored_count == 2


async def test_evacuation_in_force_outlives_a_drill_that_loses_it(fleet):
    copy = fleet.store.copy()
    fleet.store.put(KEY, b"1")
    await wait_for(lambda: is_evacuated(fleet))

    await come_back(fleet, copy)

    for _ in range(4):
        assert await is_evacuated(fleet)
        await asyncio.sleep(0.3)
    fleet.store.put(KEY, b"1")
    await asyncio.sleep(1.0)
    assert await is_evacuated(fleet)


async def test_configuration_after_a_drill_is_adopted_at_a_revision_given_again(
    fleet,
):
    copy = fleet.store.copy()
    for _ in range(3):
        fleet.configure(ROUTES)
        await asyncio.sleep(0.2)
    revision = fleet.store.revision

    await come_back(fleet, copy)
    while fleet.store.revision < revision - 1:
        fleet.store.put("op/other", b"1")
    fleet.configure([*ROUTES, route("s", "safe", name="r-2", prefix="/new/")])

    async def is_adopted():
        return all(
            [
                await is_served(fleet, instance, "/new/x")
                for instance in fleet.instances.values()
            ]
        )

    await wait_for(is_adopted)
