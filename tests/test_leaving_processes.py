"""A leave that was acknowledged outlives the processes of all nodes."""

import asyncio
import signal

import aiohttp
import pytest

from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import Place
from radishwind.standins.platform_fleet import route
from radishwind.standins.store_faults import StoreFaults
from tests.test_platform_processes import is_served
from tests.test_platform_processes import wait_for

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

PLACES = [
    Place(f"{domain}-{number}", f"127.0.22.{10 * index + number}", domain, "s")
    for index, domain in enumerate("abc", 1)
    for number in (1, 2)
]

#: Time after the start until requests count (s): `stable-ms`.
STABLE_S = 3.0

#: Delay of the store's answers (ms): longer than those of nodes.
STORE_DELAY_MS = 20.0


@pytest.fixture
async def fleet(tmp_path):
    async with Fleet(PLACES, tmp_path) as running:
        running.configure([route("s", "unsafe")])
        await running.start(7, spell_s=0.0)
        for instance in running.instances.values():
            await wait_for(lambda i=instance: is_served(running, i, "/s/x"))
        yield running


async def deregister(instance):
    """Deregisters the server until that is acknowledged."""
    async with aiohttp.ClientSession() as session:

        async def is_acknowledged():
            return await instance.server.deregister(session)

        await wait_for(is_acknowledged)


async def kill_all(fleet):
    for instance in fleet.instances.values():
        instance.signal_node(signal.SIGKILL)
    for instance in fleet.instances.values():
        await instance.node_ended()


async def start_all(fleet):
    for instance in fleet.instances.values():
        await instance.start_node()
    for instance in fleet.instances.values():
        await fleet.until_ready(instance)


async def send_late_heartbeat(leaving):
    """Delivers a heartbeat as the server sent it before it left."""
    leaving.server.draining = False
    async with aiohttp.ClientSession() as session:
        assert await leaving.server.send_heartbeat(session)


async def count_runs_at(leaving, fleet):
    """Returns how many of several requests reach the server."""
    before = leaving.server.runs.total()
    for _ in range(8):
        for instance in fleet.instances.values():
            await fleet.ask(instance, "/s/x", "POST")
    return leaving.server.runs.total() - before


async def leave(fleet):
    """Makes the first server leave; returns its instance."""
    leaving = next(iter(fleet.instances.values()))
    leaving.stop_heartbeats()
    await deregister(leaving)
    return leaving


async def test_leave_outlives_a_kill_of_all_nodes_right_after_its_ack(fleet):
    fleet.store.faults = StoreFaults(delay_ms=STORE_DELAY_MS)
    leaving = await leave(fleet)
    await kill_all(fleet)
    await start_all(fleet)
    await send_late_heartbeat(leaving)
    await asyncio.sleep(STABLE_S)

    assert await count_runs_at(leaving, fleet) == 0


async def test_leave_that_peers_wrote_outlives_a_kill_of_all_nodes(fleet):
    leaving = next(iter(fleet.instances.values()))
    fleet.store.faults = StoreFaults(
        down="busy", only=(leaving.place.host,), cut=True
    )
    await leave(fleet)
    await kill_all(fleet)
    fleet.store.faults = StoreFaults()
    await start_all(fleet)
    await send_late_heartbeat(leaving)
    await asyncio.sleep(STABLE_S)

    assert await count_runs_at(leaving, fleet) == 0


async def test_leave_is_known_again_once_the_store_is_back_after_the_start(
    fleet,
):
    leaving = await leave(fleet)
    await kill_all(fleet)
    fleet.store.faults = StoreFaults(down="busy", only=(leaving.place.host,))
    await start_all(fleet)
    await send_late_heartbeat(leaving)
    await asyncio.sleep(1.0)
    fleet.store.faults = StoreFaults()
    await asyncio.sleep(STABLE_S)

    assert await count_runs_at(leaving, fleet) == 0


async def test_leave_outlives_a_drill_of_the_store_and_a_kill_of_all_nodes(
    fleet,
):
    copy = fleet.store.copy()
    leaving = await leave(fleet)
    newest = fleet.store.value("op/config")
    fleet.store.restore(copy)
    fleet.store.put("op/config", newest)

    async def is_written_again():
        return fleet.store.has_prefix("radishwind/leaving/")

    await wait_for(is_written_again)
    await kill_all(fleet)
    await start_all(fleet)
    await send_late_heartbeat(leaving)
    await asyncio.sleep(STABLE_S)

    assert await count_runs_at(leaving, fleet) == 0
