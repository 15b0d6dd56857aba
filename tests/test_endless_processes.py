"""Nodes as processes beside servers whose responses never end."""

import asyncio
import re

import pytest

from radishwind.standins.endless_responses import EndlessPart
from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import Place
from radishwind.standins.platform_fleet import route
from radishwind.standins.platform_server import ENDLESS_SUFFIX
from radishwind.standins.platform_server import ServerFaults
from tests.test_platform_processes import is_served
from tests.test_platform_processes import wait_for

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

PLACES = [
    Place("a-1", "127.0.20.11", "a", "pages"),
    Place("b-1", "127.0.20.12", "b", "pages"),
]
TIMEOUT_MS = 1500

#: Requests with an endless response, one after the other, and the ordinary ones
#: sent beside each.
ENDLESS_REQUESTS = 2
ORDINARY_REQUESTS = 15

#: Interval between the ordinary requests (s).
INTERVAL_S = 0.02

#: Growth of the memory of a node that buffers no more than it states (bytes).
MAX_GROWTH_BYTES = 24 << 20


@pytest.fixture
async def fleet(tmp_path):
    async with Fleet(PLACES, tmp_path) as running:
        running.configure([route("pages", "unsafe")])
        await running.start(7, spell_s=0.0)
        for instance in running.instances.values():
            await wait_for(lambda i=instance: is_served(running, i, "/pages/x"))
        yield running


def resident_bytes(instance):
    with open(f"/proc/{instance.node_pid}/status") as status:
        kilobytes = re.search(r"VmRSS:\s+(\d+) kB", status.read())
    return int(kilobytes[1]) * 1024


def describe(response):
    """Returns the status of a success, and why another response came."""
    if response.status == 200:
        return 200
    return response.status, response.body[:200]


async def send_load(fleet, instance):
    """Returns the statuses of the endless requests and of the others."""
    endless, ordinary = [], []
    for _ in range(ENDLESS_REQUESTS):
        path = f"/pages{ENDLESS_SUFFIX}"
        async with asyncio.TaskGroup() as tasks:
            first = tasks.create_task(
                fleet.ask(instance, path, "POST", TIMEOUT_MS)
            )
            others = []
            for _ in range(ORDINARY_REQUESTS):
                ordinary_call = fleet.ask(
                    instance, "/pages/x", "POST", TIMEOUT_MS
                )
                others.append(tasks.create_task(ordinary_call))
                await asyncio.sleep(INTERVAL_S)
        endless.append(first.result().status)
        ordinary += [describe(other.result()) for other in others]
    return endless, ordinary


async def test_response_without_end_is_bounded_and_harms_no_other_request(
    fleet,
):
    servers = [i.server for i in fleet.instances.values()]
    instance = next(iter(fleet.instances.values()))
    before = resident_bytes(instance)
    for part in EndlessPart:
        for server in servers:
            server.faults = ServerFaults(endless=part)

        endless, ordinary = await send_load(fleet, instance)

        assert ordinary == [200] * len(ordinary), part
        assert endless == [502] * len(endless), part
        for node in fleet.instances.values():
            assert resident_bytes(node) - before < MAX_GROWTH_BYTES, part
    begun = sum(server.endless_count for server in servers)
    assert begun == len(EndlessPart) * ENDLESS_REQUESTS


async def test_health_response_without_end_is_bounded_and_the_server_serves(
    fleet,
):
    servers = [i.server for i in fleet.instances.values()]
    instance = next(iter(fleet.instances.values()))
    before = resident_bytes(instance)
    all_parts = list(EndlessPart)
    for parts in zip(all_parts[::2], all_parts[1::2], strict=True):
        begun = [server.endless_count for server in servers]
        for server, part in zip(servers, parts, strict=True):
            server.faults = ServerFaults(endless_health=part)

        async def is_checked(begun=begun):
            return all(
                server.endless_count > count
                for server, count in zip(servers, begun, strict=True)
            )

        await wait_for(is_checked)
        _, ordinary = await send_load(fleet, instance)

        assert ordinary == [200] * len(ordinary), parts
        for node in fleet.instances.values():
            assert resident_bytes(node) - before < MAX_GROWTH_BYTES, parts
